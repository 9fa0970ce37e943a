//! The `decide` command: measures the cost of single decisions and the quality of chosen chains.

mod admission;
mod chain;
mod linear_fit;
mod memory;

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use linear_fit::LinearFit;

/// Arguments of `decide`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of timed decisions per size.
    #[arg(long, default_value_t = 2_000)]
    rounds: u32,
}

/// The time of one kind of decision at one size.
#[derive(Debug, Serialize)]
struct Cost {
    decision: &'static str,
    size: usize,
    median_us: f64,
    p99_us: f64,
}

impl Cost {
    /// Measures the time of `decide`, without that of `prepare`, which makes its input.
    fn measure<T>(
        decision: &'static str,
        size: usize,
        rounds: u32,
        mut prepare: impl FnMut(u32) -> T,
        mut decide: impl FnMut(T),
    ) -> Self {
        let mut times: Vec<Duration> = (0..rounds)
            .map(|round| {
                let input = prepare(round);
                let start = Instant::now();
                decide(input);
                start.elapsed()
            })
            .collect();
        times.sort_unstable();
        let quantile_us = |quantile: f64| {
            let i = (times.len() as f64 * quantile) as usize;
            times[i.min(times.len() - 1)].as_secs_f64() * 1e6
        };
        Cost {
            decision,
            size,
            median_us: quantile_us(0.5),
            p99_us: quantile_us(0.99),
        }
    }
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    // Memory is measured first, while the process has no freed memory that allocations could reuse.
    let memory = memory::measure(&mut rng);
    let mut costs = chain::measure_costs(args.rounds, &mut rng);
    costs.extend(admission::measure_costs(args.rounds, &mut rng));
    println!(
        "{:<28} {:>8} {:>10} {:>10}",
        "decision", "size", "median us", "p99 us"
    );
    for c in &costs {
        println!(
            "{:<28} {:>8} {:>10.2} {:>10.2}",
            c.decision, c.size, c.median_us, c.p99_us
        );
    }
    println!();
    for fit in fit_costs(&costs) {
        println!("{fit}");
    }
    let quality = chain::measure_quality(args.rounds, &mut rng);
    println!("\n{quality}\n{memory}\n");
    for cost in &costs {
        println!("{}", serde_json::to_string(cost)?);
    }
    println!("{}", serde_json::to_string(&quality)?);
    println!("{}", serde_json::to_string(&memory)?);
    Ok(())
}

/// Fits a line through the median times of each kind of decision over its sizes.
fn fit_costs(costs: &[Cost]) -> Vec<LinearFit> {
    let mut names: Vec<&str> = costs.iter().map(|c| c.decision).collect();
    names.dedup();
    let points = |name: &str| -> Vec<(f64, f64)> {
        let same_kind = costs.iter().filter(|c| c.decision == name);
        same_kind.map(|c| (c.size as f64, c.median_us)).collect()
    };
    names
        .into_iter()
        .filter_map(|name| LinearFit::fit(name, &points(name)))
        .collect()
}
