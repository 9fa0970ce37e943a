//! Prints how long callers' streams stall when a stage fails.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::Parser;

use mustard_tests::recovery::{Failure, measure_gaps};

/// Measures how long streams through the real programs stall when a stage fails.
#[derive(Debug, Parser)]
#[command(name = "mustard-recovery", about, version)]
struct Flags {
    /// Number of streams for each kind of failure.
    #[arg(long, default_value_t = 20)]
    rounds: usize,
}

fn main() -> anyhow::Result<ExitCode> {
    let flags = Flags::parse();
    println!("from the failure to the caller's next token, in ms");
    println!("failure         runs     p50     p95     max  wrong");
    let mut wrong_streams = 0;
    for failure in Failure::ALL {
        let report = measure_gaps(failure, flags.rounds)?;
        println!("{report}");
        wrong_streams += report.wrong_streams();
    }
    Ok(match wrong_streams {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}
