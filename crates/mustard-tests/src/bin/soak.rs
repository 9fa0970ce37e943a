//! Runs the whole path under random faults for some minutes and prints what was seen.

#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use mustard_tests::soak::{self, SoakPlan};

/// Random faults over two entries, twelve or more stages and three booking servers.
#[derive(Debug, Parser)]
#[command(name = "mustard-soak", about, version)]
struct Flags {
    /// How long faults are brought about, in minutes.
    #[arg(long, default_value_t = 10.0)]
    minutes: f64,
    /// The seed of loads and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Stages for each of the three ranges of layers.
    #[arg(long, default_value_t = 4)]
    replicas: usize,
    /// Booking servers.
    #[arg(long, default_value_t = 3)]
    services: usize,
}

fn main() -> anyhow::Result<ExitCode> {
    let flags = Flags::parse();
    let tally = soak::run(SoakPlan {
        seed: flags.seed,
        time: Duration::from_secs_f64(flags.minutes * 60.0),
        replicas: flags.replicas,
        services: flags.services,
    })?;
    println!("seed {}, {} minutes of faults", flags.seed, flags.minutes);
    print!("{tally}");
    Ok(match tally.broken_count() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}
