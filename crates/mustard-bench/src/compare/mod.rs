//! The `compare` command: runs the product's policy and simple baselines over the same requests,
//! on simulated servers.

mod arrivals;
mod baseline;
mod bound;
mod plot;
mod policy;
mod product;
mod report;
mod scenario;
mod simulation;
mod state;
mod tally;

use std::path::PathBuf;
use std::thread;

use baseline::{Baseline, Selection};
use policy::Policy;
use product::Product;
use report::Row;
use scenario::{ENTRIES, Scenario};
use simulation::Simulation;

/// Arguments of `compare`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Simulates the servers instead of starting real processes (required for now).
    #[arg(long)]
    quick: bool,
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs only the scenarios whose name contains this text.
    #[arg(long)]
    only: Option<String>,
    /// Writes a chart of goodput by scenario and policy to this SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Errors of the command.
#[derive(Debug, thiserror::Error)]
enum CompareError {
    #[error("scenarios over real processes are not implemented; use --quick")]
    NotImplemented,
    #[error("no scenario's name contains {0:?}")]
    NoSuchScenario(String),
    #[error("a scenario's thread panicked")]
    ThreadPanicked,
}

/// A policy to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PolicyKind {
    Random,
    RoundRobin,
    LeastInFlight,
    FirstCome,
    Product,
}

const POLICY_KINDS: [PolicyKind; 5] = [
    PolicyKind::Random,
    PolicyKind::RoundRobin,
    PolicyKind::LeastInFlight,
    PolicyKind::FirstCome,
    PolicyKind::Product,
];

impl PolicyKind {
    fn name(self) -> &'static str {
        match self {
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::LeastInFlight => "least-in-flight",
            PolicyKind::FirstCome => "first-come",
            PolicyKind::Product => "mustardfield",
        }
    }

    fn build(self, scenario: &Scenario, seed: u64) -> Box<dyn Policy> {
        let baseline = |selection| Box::new(Baseline::new(scenario, selection, seed));
        match self {
            PolicyKind::Random => baseline(Selection::Random),
            PolicyKind::RoundRobin => baseline(Selection::RoundRobin),
            PolicyKind::LeastInFlight => baseline(Selection::LeastInFlight),
            PolicyKind::FirstCome => Box::new(Baseline::first_come(scenario, seed)),
            PolicyKind::Product => Box::new(Product::new(scenario, seed)),
        }
    }
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    if !args.quick {
        return Err(CompareError::NotImplemented.into());
    }
    let selected = |s: &Scenario| args.only.as_deref().is_none_or(|t| s.name.contains(t));
    let scenarios: Vec<Scenario> = scenario::all_scenarios()
        .into_iter()
        .filter(selected)
        .collect();
    if scenarios.is_empty() {
        let name = args.only.clone().unwrap_or_default();
        return Err(CompareError::NoSuchScenario(name).into());
    }
    let seed = args.seed;
    let results: Vec<thread::Result<Vec<Row>>> = thread::scope(|scope| {
        let threads: Vec<_> = scenarios
            .iter()
            .map(|s| scope.spawn(move || compare_policies(s, seed)))
            .collect();
        threads
            .into_iter()
            .map(thread::ScopedJoinHandle::join)
            .collect()
    });
    let mut rows = Vec::new();
    for result in results {
        rows.extend(result.map_err(|_| CompareError::ThreadPanicked)?);
    }
    report::print_rows(&rows)?;
    if let Some(path) = &args.plot {
        plot::draw_chart(path, &rows)?;
    }
    Ok(())
}

/// Runs every policy over the requests of a scenario; the seed determines the requests.
fn compare_policies(scenario: &Scenario, seed: u64) -> Vec<Row> {
    let requests = arrivals::generate_requests(scenario, seed);
    let bound = bound::max_work(scenario, &requests);
    let run = |kind: PolicyKind| {
        let policies = (0..ENTRIES as u64)
            .map(|e| kind.build(scenario, seed * 1_000 + e))
            .collect();
        let tally = Simulation::new(scenario, &requests, policies, seed).run();
        Row::new(scenario, kind.name(), seed, bound, &tally)
    };
    POLICY_KINDS.into_iter().map(run).collect()
}
