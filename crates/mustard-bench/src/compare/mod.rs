//! The `compare` command: the product's policy and plain ones over the same requests.

mod arrivals;
mod bound;
mod plain;
mod plot;
mod policy;
mod product;
mod queues;
mod report;
mod scenario;
mod state;
mod tally;

use std::path::PathBuf;
use std::thread;

use plain::{Pick, Plain};
use policy::Policy;
use product::Product;
use queues::Run;
use report::Row;
use scenario::{ENTRIES, Scenario};

/// Arguments of `compare`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Compares over small fakes of servers in place of real processes.
    #[arg(long)]
    quick: bool,
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs only scenarios whose name contains this text.
    #[arg(long)]
    only: Option<String>,
    /// Draws goodput by scenario and policy into an SVG file.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Errors of the command.
#[derive(Debug, thiserror::Error)]
enum CompareError {
    #[error("scenarios over real processes are not built, use --quick")]
    NotBuilt,
    #[error("no scenario's name contains {0:?}")]
    NoScenario(String),
    #[error("a scenario's thread ended early")]
    Thread,
}

/// A policy of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contender {
    Random,
    RoundRobin,
    LeastInFlight,
    FirstCome,
    Product,
}

const CONTENDERS: [Contender; 5] = [
    Contender::Random,
    Contender::RoundRobin,
    Contender::LeastInFlight,
    Contender::FirstCome,
    Contender::Product,
];

impl Contender {
    fn name(self) -> &'static str {
        match self {
            Contender::Random => "random",
            Contender::RoundRobin => "round-robin",
            Contender::LeastInFlight => "least-in-flight",
            Contender::FirstCome => "first-come",
            Contender::Product => "mustardfield",
        }
    }

    fn policy(self, scenario: &Scenario, seed: u64) -> Box<dyn Policy> {
        let plain = |pick| Box::new(Plain::new(scenario, pick, seed));
        match self {
            Contender::Random => plain(Pick::Random),
            Contender::RoundRobin => plain(Pick::RoundRobin),
            Contender::LeastInFlight => plain(Pick::LeastInFlight),
            Contender::FirstCome => Box::new(Plain::first_come(scenario, seed)),
            Contender::Product => Box::new(Product::new(scenario, seed)),
        }
    }
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    if !args.quick {
        return Err(CompareError::NotBuilt.into());
    }
    let wanted = |s: &Scenario| args.only.as_deref().is_none_or(|t| s.name.contains(t));
    let scenarios: Vec<Scenario> = scenario::all().into_iter().filter(wanted).collect();
    if scenarios.is_empty() {
        let name = args.only.clone().unwrap_or_default();
        return Err(CompareError::NoScenario(name).into());
    }
    let seed = args.seed;
    let results: Vec<thread::Result<Vec<Row>>> = thread::scope(|scope| {
        let threads: Vec<_> = scenarios
            .iter()
            .map(|s| scope.spawn(move || compare(s, seed)))
            .collect();
        threads
            .into_iter()
            .map(thread::ScopedJoinHandle::join)
            .collect()
    });
    let mut rows = Vec::new();
    for result in results {
        rows.extend(result.map_err(|_| CompareError::Thread)?);
    }
    report::print(&rows)?;
    if let Some(path) = &args.plot {
        plot::draw(path, &rows)?;
    }
    Ok(())
}

fn compare(scenario: &Scenario, seed: u64) -> Vec<Row> {
    let requests = arrivals::draw(scenario, seed);
    let bound = bound::answers(scenario, &requests);
    let run = |contender: Contender| {
        let policies = (0..ENTRIES as u64)
            .map(|e| contender.policy(scenario, seed * 1_000 + e))
            .collect();
        let tally = Run::new(scenario, &requests, policies, seed).run();
        Row::new(scenario, contender.name(), seed, bound, &tally)
    };
    CONTENDERS.into_iter().map(run).collect()
}
