//! The `slopes` command: measures what a process spends against counts that grow with the
//! platform (servers, catalogue entries, changes, customers), and fits a line to each cost.
//!
//! It starts the real programs from the directory of its own executable and ends them by their
//! process ids.

mod control;
mod fake_agents;
mod fit;
mod fleet;
mod probe;
mod propagation;
mod report;
mod requests;
mod tokens;

use std::path::Path;
use std::time::{Duration, Instant};

use clap::ValueEnum;
use serde_json::json;

use fleet::Fleet;
use report::Series;

/// One measurement of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Part {
    /// Costs of an entry process against the servers that it knows.
    Servers,
    /// Costs of an entry process against the entries of the catalogue.
    Entries,
    /// Costs of an entry process against the changes of the catalogue a second.
    Changes,
    /// Costs of an agent against the entry processes that know it.
    Agent,
    /// Time until an accepted change is applied everywhere, against the number of entry processes.
    Delays,
    /// Start-up time of an entry process against the entries of the catalogue, and of several
    /// started one right after the other.
    Joiners,
    /// Costs of an entry process and an agent against status reads a second.
    Reads,
    /// Costs of an entry process and an agent against bookings a second.
    Bookings,
    /// Costs of an entry process and an agent against drafts in flight.
    Flight,
    /// Costs of an entry process against the customers that use it.
    Customers,
    /// Token latency through an entry process against that of calling the stages directly.
    Tokens,
}

const ALL_PARTS: [Part; 11] = [
    Part::Servers,
    Part::Entries,
    Part::Changes,
    Part::Agent,
    Part::Delays,
    Part::Joiners,
    Part::Reads,
    Part::Bookings,
    Part::Flight,
    Part::Customers,
    Part::Tokens,
];

/// Arguments of `slopes`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct Args {
    /// Measures smaller sizes for a shorter time; ends within three minutes.
    #[arg(long)]
    quick: bool,
    /// The parts to measure; all of them by default.
    #[arg(long, value_enum, value_delimiter = ',')]
    only: Vec<Part>,
}

impl Args {
    /// Returns the sizes to measure.
    fn sizes(&self, quick: &[usize], full: &[usize]) -> Vec<usize> {
        if self.quick { quick } else { full }.to_vec()
    }

    /// Returns how long one point is measured.
    fn window(&self) -> Duration {
        Duration::from_secs(if self.quick { 2 } else { 15 })
    }

    /// Returns how long to wait after a change of size before the measurement.
    fn settle_time(&self) -> Duration {
        Duration::from_secs(if self.quick { 1 } else { 4 })
    }
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    let started = Instant::now();
    let dir = std::env::temp_dir().join(format!("mustard-slopes-{}", std::process::id()));
    let mut parts = serde_json::Map::new();
    for part in ALL_PARTS {
        if !args.only.is_empty() && !args.only.contains(&part) {
            continue;
        }
        std::fs::create_dir_all(&dir)?;
        let value = measure_part(args, part, &dir)?;
        parts.insert(format!("{part:?}").to_lowercase(), value);
        std::fs::remove_dir_all(&dir)?;
    }
    println!("took {:.0} s\n", started.elapsed().as_secs_f64());
    println!(
        "{}",
        json!({ "command": "slopes", "quick": args.quick, "parts": parts })
    );
    Ok(())
}

fn measure_part(args: &Args, part: Part, dir: &Path) -> anyhow::Result<serde_json::Value> {
    // Each part starts its own processes, so that no part's state affects another's measurement.
    let mut fleet = Fleet::new(dir)?;
    let series = match part {
        Part::Reads => {
            return Ok(print_series(&requests::measure_calls(
                args, &mut fleet, false,
            )?));
        }
        Part::Bookings => {
            return Ok(print_series(&requests::measure_calls(
                args, &mut fleet, true,
            )?));
        }
        Part::Flight => {
            return Ok(print_series(&requests::measure_flight(args, &mut fleet)?));
        }
        Part::Customers => requests::measure_customers(args, &mut fleet)?,
        Part::Tokens => return tokens::compare_tokens(args, &mut fleet),
        Part::Servers => control::measure_servers(args, &mut fleet)?,
        Part::Entries => control::measure_entries(args, &mut fleet)?,
        Part::Changes => control::measure_changes(args, &mut fleet)?,
        Part::Agent => control::measure_agent(args, &mut fleet)?,
        Part::Delays => {
            let delays = propagation::measure_delays(args, &mut fleet)?;
            report::print_delays(&delays);
            return Ok(report::json_delays(&delays));
        }
        Part::Joiners => {
            let value = propagation::measure_joiners(args, &mut fleet)?;
            println!("joiners: {value}\n");
            return Ok(value);
        }
    };
    Ok(print_series(&[series]))
}

/// Prints series and returns their fitted lines as JSON.
fn print_series(all: &[Series]) -> serde_json::Value {
    all.iter().for_each(Series::print);
    all.iter().map(Series::json).collect()
}
