//! Runs the real programs under random faults for some minutes and prints a report.

#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use mustard_tests::site_soak::{self, SitePlan};
use mustard_tests::soak::{self, SoakPlan};

/// Injects random faults into two entry processes, stages and booking servers, or with `--site`
/// into gateways in front of a stand-in for the users' platform.
#[derive(Debug, Parser)]
#[command(name = "mustard-soak", about, version)]
struct Flags {
    /// How long faults are injected, in minutes.
    #[arg(long, default_value_t = 10.0)]
    minutes: f64,
    /// The seed of load and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs gateways in front of a stand-in site, with proxies before its servers and its store.
    #[arg(long)]
    site: bool,
    /// Number of gateways with `--site`, at most 4.
    #[arg(long, default_value_t = 3)]
    gateways: usize,
    /// Number of callers for each gateway with `--site`.
    #[arg(long, default_value_t = 4)]
    callers: usize,
    /// Number of stages for each of the three ranges of layers; not used with `--site`.
    #[arg(long, default_value_t = 4)]
    replicas: usize,
    /// Number of booking servers; not used with `--site`.
    #[arg(long, default_value_t = 3)]
    services: usize,
}

fn main() -> anyhow::Result<ExitCode> {
    let flags = Flags::parse();
    if flags.site {
        return run_site(&flags);
    }
    let tally = soak::run(SoakPlan {
        seed: flags.seed,
        duration: Duration::from_secs_f64(flags.minutes * 60.0),
        replicas: flags.replicas,
        services: flags.services,
    })?;
    println!("seed {}, {} minutes of faults", flags.seed, flags.minutes);
    print!("{tally}");
    Ok(exit_code(tally.violation_count()))
}

fn run_site(flags: &Flags) -> anyhow::Result<ExitCode> {
    let tally = site_soak::run(SitePlan {
        seed: flags.seed,
        duration: Duration::from_secs_f64(flags.minutes * 60.0),
        gateways: flags.gateways,
        callers: flags.callers,
    })?;
    println!(
        "site, seed {}, {} minutes of faults",
        flags.seed, flags.minutes
    );
    print!("{tally}");
    Ok(exit_code(tally.violations.len() as u64))
}

fn exit_code(violations: u64) -> ExitCode {
    match violations {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
