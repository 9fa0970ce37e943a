//! The gateway daemon: forwards requests from callers to backend servers that run their own model
//! pipelines.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use anyhow::{Context, ensure};
use clap::Parser;

use mustard_adapter::NodeSettings;
use mustard_gateway::serve::{self, Options};
use mustard_net::shutdown::install_hangup_handler;
use mustard_net::{ClientLimits, metric};
use mustard_policy::hedge;

const EXIT_BAD_SETTINGS: u8 = 2;
/// The least connections of a listener.
const MIN_CONNECTIONS: usize = 8;

/// Forwards requests from callers to backend servers that run their own model pipelines.
#[derive(Debug, Parser)]
#[command(
    version,
    about,
    after_help = "The platform sets the path of the settings file in the environment.\n\n\
                  Exit codes:\n  0  stopped, no request was cut off\n  1  failed\n  \
                  2  settings are invalid\n  3  grace period ended while requests were running\n  \
                  4  stopped at once by a second signal"
)]
struct Args {
    /// Port on which metrics are served.
    #[arg(long, value_name = "PORT", default_value_t = 9464)]
    metrics_port: u16,
    /// Least severe level that is logged: error, warning, info or debug.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log_level: String,
    /// Share of a service's requests that may get a second copy at another server, 0 to 0.2; 0 turns
    /// second copies off.
    #[arg(long, value_name = "SHARE", allow_negative_numbers = true, default_value_t = hedge::Settings::default().share)]
    hedge_share: f64,
    /// Second copies per second of a service over all gateways.
    #[arg(long, value_name = "RATE", allow_negative_numbers = true, default_value_t = hedge::Settings::default().rate)]
    hedge_rate: f64,
    /// Also sends second copies of resumable streams before their first event.
    #[arg(long)]
    hedge_streams: bool,
    /// Memory held for clients, in megabytes: bodies and what is still to be decoded; a quarter of the
    /// process's memory by default.
    #[arg(long, value_name = "MB", value_parser = clap::value_parser!(u64).range(8..))]
    client_memory_mb: Option<u64>,
    /// Connections of callers; half of all by default, so that each running request finds one to a server.
    #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u64).range(8..))]
    client_connections: Option<u64>,
    /// Checks the options and the settings file and exits.
    #[arg(long)]
    check: bool,
}

fn main() -> anyhow::Result<ExitCode> {
    install_hangup_handler().context("can't install a handler for the reload signal")?;
    run()
}

#[ntex::main]
async fn run() -> anyhow::Result<ExitCode> {
    let args = Args::parse();
    let hedge = hedge::Settings {
        share: args.hedge_share,
        rate: args.hedge_rate,
        streams: args.hedge_streams,
    };
    if let Err(e) = hedge.check() {
        eprintln!("{e}");
        return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
    }
    let node = match NodeSettings::load() {
        Ok(node) => node,
        Err(e) => {
            eprintln!("{e}");
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    let clients = match client_limits(&args, &node) {
        Ok(limits) => limits,
        Err(e) => {
            eprintln!("{e}");
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    if args.check {
        println!("{}: settings are valid", node.name);
        println!("held for clients: {clients}");
        return Ok(ExitCode::SUCCESS);
    }
    let metrics = metric::install().context("can't start the metrics recorder")?;
    let options = Options {
        metrics_port: args.metrics_port,
        log_level: args.log_level,
        hedge,
        clients,
    };
    match serve::run(node, &options, metrics).await? {}
}

/// Returns the limits of what is held for clients.
///
/// # Errors
///
/// Returns an error if an option exceeds what the platform gives the process.
fn client_limits(args: &Args, node: &NodeSettings) -> anyhow::Result<ClientLimits> {
    let bytes = match args.client_memory_mb {
        Some(mb) => mb * 1_000_000,
        None => node.memory_bytes / 4,
    };
    let connections = match args.client_connections {
        Some(count) => count as usize,
        None => (node.max_sockets / 2).max(MIN_CONNECTIONS),
    };
    ensure!(
        bytes < node.memory_bytes,
        "--client-memory-mb: the process has {} bytes",
        node.memory_bytes
    );
    ensure!(
        connections <= node.max_sockets.max(MIN_CONNECTIONS),
        "--client-connections: the process has {}",
        node.max_sockets
    );
    Ok(ClientLimits::default()
        .bytes(bytes as usize)
        .connections(connections)
        .per_listener((node.max_sockets / 8).max(MIN_CONNECTIONS)))
}
