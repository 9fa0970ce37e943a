//! `mustardctl`: changes the catalogue of a mustardfield deployment and shows its state.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::Parser;

use mustardctl::cli::Cli;
use mustardctl::commands;

#[ntex::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match commands::run(&cli).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mustardctl: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
