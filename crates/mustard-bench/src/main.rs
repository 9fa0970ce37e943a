//! `mustard-bench`: load and experiment tool.

#![forbid(unsafe_code)]

mod compare;
mod decide;
mod load;
mod place;
mod slopes;

use clap::{Parser, Subcommand};

/// Measures mustardfield.
#[derive(Debug, Parser)]
#[command(name = "mustard-bench", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measures the cost and quality of single decisions.
    Decide(decide::Args),
    /// Compares the product's policy with plain baselines.
    Compare(compare::Args),
    /// Compares the planner of layers with plain baselines over emulated days.
    Place(place::Args),
    /// Offers load to running entry processes.
    Load(load::Args),
    /// Measures what control costs against the counts that will grow.
    Slopes(slopes::Args),
}

fn main() -> anyhow::Result<()> {
    match Cli::parse().command {
        Command::Decide(args) => decide::run(&args),
        Command::Compare(args) => compare::run(&args),
        Command::Place(args) => place::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Slopes(args) => slopes::run(&args),
    }
}
