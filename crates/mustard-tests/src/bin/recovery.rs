//! Prints how long callers' streams stand still when a stage fails.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::Parser;

use mustard_tests::recovery::{Failure, measure};

/// Brings each failure of a stage about in the middle of streams over the real programs.
#[derive(Debug, Parser)]
#[command(name = "mustard-recovery", about, version)]
struct Flags {
    /// Streams for each failure.
    #[arg(long, default_value_t = 20)]
    rounds: usize,
}

fn main() -> anyhow::Result<ExitCode> {
    let flags = Flags::parse();
    println!("from the failure to the caller's next token, in ms");
    println!("failure         runs     p50     p95     max  wrong");
    let mut wrong = 0;
    for failure in Failure::ALL {
        let gaps = measure(failure, flags.rounds)?;
        println!("{gaps}");
        wrong += gaps.wrong();
    }
    Ok(match wrong {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}
