//! The entry daemon: accepts callers' requests and runs them on the servers.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Parser;

use mustard_entry::settings::Settings;
use mustard_net::{metric, settings};

const EXIT_BAD_SETTINGS: u8 = 2;

/// Accepts callers' requests and runs them on the servers.
#[derive(Debug, Parser)]
#[command(
    version,
    about,
    after_help = "Example:\n  mustard-entry --config examples/config/entry.toml\n\n\
                  Exit codes:\n  0  stopped, no request was cut off\n  1  failed\n  \
                  2  settings are invalid\n  3  grace period ended while requests were running\n  \
                  4  stopped at once by a second signal"
)]
struct Args {
    /// Path of the settings file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Checks the settings file and exits.
    #[arg(long)]
    check: bool,
}

#[ntex::main]
async fn main() -> anyhow::Result<ExitCode> {
    let args = Args::parse();
    let settings = match load(&args) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    if args.check {
        println!("{}: settings are valid", args.config.display());
        println!(
            "held for clients by each thread: {}",
            settings.client_limits()
        );
        return Ok(ExitCode::SUCCESS);
    }
    let metrics = metric::install().context("can't start the metrics recorder")?;
    let code = mustard_entry::serve::run(settings, metrics).await?;
    Ok(ExitCode::from(code))
}

fn load(args: &Args) -> mustard_entry::Result<Settings> {
    let settings: Settings = settings::load(&args.config)?;
    settings.operator_keys()?;
    Ok(settings)
}
