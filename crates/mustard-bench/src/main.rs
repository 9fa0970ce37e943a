//! `mustard-bench`: the load and experiment tool of mustardfield.

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
    /// Measures the cost of single decisions and the quality of chosen chains.
    Decide(decide::Args),
    /// Compares the product's policy with simple baselines.
    Compare(compare::Args),
    /// Compares the layer planner with simple baselines over emulated days.
    Place(place::Args),
    /// Sends load to running entry processes.
    Load(load::Args),
    /// Measures how the cost of control grows with the size of a deployment.
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
