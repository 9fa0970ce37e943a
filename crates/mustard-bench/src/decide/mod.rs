//! The `decide` command: what single decisions cost, and how good chains are.

mod chain;
mod memory;
mod queue;
mod slope;

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use slope::Slope;

/// Arguments of `decide`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Timed decisions per size.
    #[arg(long, default_value_t = 2_000)]
    rounds: u32,
}

/// The cost of one kind of decision at one size.
#[derive(Debug, Serialize)]
struct Cost {
    decision: &'static str,
    size: usize,
    median_us: f64,
    p99_us: f64,
}

impl Cost {
    /// Times a decision; the set-up of each round is not timed.
    fn time<T>(
        decision: &'static str,
        size: usize,
        rounds: u32,
        mut prepare: impl FnMut(u32) -> T,
        mut decide: impl FnMut(T),
    ) -> Self {
        let mut times: Vec<Duration> = (0..rounds)
            .map(|round| {
                let input = prepare(round);
                let begin = Instant::now();
                decide(input);
                begin.elapsed()
            })
            .collect();
        times.sort_unstable();
        let us = |share: f64| {
            let i = (times.len() as f64 * share) as usize;
            times[i.min(times.len() - 1)].as_secs_f64() * 1e6
        };
        Cost {
            decision,
            size,
            median_us: us(0.5),
            p99_us: us(0.99),
        }
    }
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    // Memory goes first, while the process holds nothing that could be reused.
    let memory = memory::measure(&mut rng);
    let mut costs = chain::costs(args.rounds, &mut rng);
    costs.extend(queue::costs(args.rounds, &mut rng));
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
    for slope in slopes(&costs) {
        println!("{slope}");
    }
    let quality = chain::quality(args.rounds, &mut rng);
    println!("\n{quality}\n{memory}\n");
    for cost in &costs {
        println!("{}", serde_json::to_string(cost)?);
    }
    println!("{}", serde_json::to_string(&quality)?);
    println!("{}", serde_json::to_string(&memory)?);
    Ok(())
}

fn slopes(costs: &[Cost]) -> Vec<Slope> {
    let mut names: Vec<&str> = costs.iter().map(|c| c.decision).collect();
    names.dedup();
    let points = |name: &str| -> Vec<(f64, f64)> {
        let of = costs.iter().filter(|c| c.decision == name);
        of.map(|c| (c.size as f64, c.median_us)).collect()
    };
    names
        .into_iter()
        .filter_map(|name| Slope::fit(name, &points(name)))
        .collect()
}
