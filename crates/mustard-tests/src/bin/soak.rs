//! Runs the whole path under random faults for some minutes and prints what was seen.

#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use mustard_tests::site_soak::{self, SitePlan};
use mustard_tests::soak::{self, SoakPlan};

/// Random faults over two entries, twelve or more stages and three booking servers; or over
/// gateways before a stand-in of the users' platform.
#[derive(Debug, Parser)]
#[command(name = "mustard-soak", about, version)]
struct Flags {
    /// How long faults are brought about, in minutes.
    #[arg(long, default_value_t = 10.0)]
    minutes: f64,
    /// The seed of loads and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs gateways before a stand-in site, with proxies between them.
    #[arg(long)]
    site: bool,
    /// Gateways of a run with `--site`, four at most.
    #[arg(long, default_value_t = 3)]
    gateways: usize,
    /// Callers at each gateway of a run with `--site`.
    #[arg(long, default_value_t = 4)]
    callers: usize,
    /// Stages for each of the three ranges of layers.
    #[arg(long, default_value_t = 4)]
    replicas: usize,
    /// Booking servers.
    #[arg(long, default_value_t = 3)]
    services: usize,
}

fn main() -> anyhow::Result<ExitCode> {
    let flags = Flags::parse();
    if flags.site {
        return site(&flags);
    }
    let tally = soak::run(SoakPlan {
        seed: flags.seed,
        time: Duration::from_secs_f64(flags.minutes * 60.0),
        replicas: flags.replicas,
        services: flags.services,
    })?;
    println!("seed {}, {} minutes of faults", flags.seed, flags.minutes);
    print!("{tally}");
    Ok(code_of(tally.broken_count()))
}

fn site(flags: &Flags) -> anyhow::Result<ExitCode> {
    let tally = site_soak::run(SitePlan {
        seed: flags.seed,
        time: Duration::from_secs_f64(flags.minutes * 60.0),
        gateways: flags.gateways,
        callers: flags.callers,
    })?;
    println!(
        "site, seed {}, {} minutes of faults",
        flags.seed, flags.minutes
    );
    print!("{tally}");
    Ok(code_of(tally.broken.len() as u64))
}

fn code_of(broken: u64) -> ExitCode {
    match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
