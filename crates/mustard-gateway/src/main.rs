//! The gateway daemon: serves callers before servers that drive their own pipelines.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use anyhow::Context;
use clap::Parser;

use mustard_adapter::Node;
use mustard_gateway::serve::{self, Options};
use mustard_net::metric;
use mustard_net::shutdown::hold_hangup;

const EXIT_BAD_SETTINGS: u8 = 2;

/// Serves callers before servers that drive their own pipelines.
#[derive(Debug, Parser)]
#[command(
    version,
    about,
    after_help = "The platform names the settings file in the environment.\n\n\
                  Exit codes:\n  0  stopped, no request was cut\n  1  failed\n  \
                  2  settings are at fault\n  3  grace limit passed with requests running\n  \
                  4  ended by a second signal"
)]
struct Args {
    /// The port on which metrics are served.
    #[arg(long, value_name = "PORT", default_value_t = 9464)]
    metrics_port: u16,
    /// The least severe level that is logged: error, warning, info or debug.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log_level: String,
    /// Only checks the settings file.
    #[arg(long)]
    check: bool,
}

fn main() -> anyhow::Result<ExitCode> {
    hold_hangup().context("reload signal can't be held")?;
    run()
}

#[ntex::main]
async fn run() -> anyhow::Result<ExitCode> {
    let args = Args::parse();
    let node = match Node::load() {
        Ok(node) => node,
        Err(e) => {
            eprintln!("{e}");
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    if args.check {
        println!("settings of {} are right", node.name);
        return Ok(ExitCode::SUCCESS);
    }
    let metrics = metric::install().context("metrics do not start")?;
    let options = Options {
        metrics_port: args.metrics_port,
        log_level: args.log_level,
    };
    match serve::run(node, &options, metrics).await? {}
}
