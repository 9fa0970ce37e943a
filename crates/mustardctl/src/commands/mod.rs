//! Carries out the commands of the command line.

mod apply;
mod catalogue;
mod change;
mod check;
mod check_config;
mod explain;
mod operations;
mod status;
mod timeline;

use std::io::Read;

use mustard_core::fingerprint::KeyHash;

use crate::cli::{self, Cli, Command};
use crate::client::AdminClient;
use crate::errors::Result;
use crate::output;

/// Runs the command given on the command line.
pub async fn run(cli: &Cli) -> Result<()> {
    match &cli.command {
        Command::KeyHash(args) => print_key_hash(args),
        Command::Check(args) => check::run(args),
        Command::CheckConfig(args) => check_config::run(args),
        Command::Explain(args) => explain::run(cli, args),
        other => {
            let client = AdminClient::new(cli).await?;
            run_remote(cli, other, &client).await
        }
    }
}

/// Runs a command that calls an entry process.
async fn run_remote(cli: &Cli, command: &Command, client: &AdminClient) -> Result<()> {
    match command {
        Command::Catalogue(args) => catalogue::run(cli, args, client).await,
        Command::Apply(args) => apply::run(cli, args, client).await,
        Command::Status => status::run(cli, client).await,
        Command::Drain(args) => operations::drain(cli, args, client).await,
        Command::Settle(args) => operations::settle(cli, args, client).await,
        Command::Quarantine(args) => operations::quarantine(cli, args, client).await,
        Command::Timeline(args) => timeline::run(cli, args, client).await,
        Command::Check(_) | Command::CheckConfig(_) | Command::Explain(_) | Command::KeyHash(_) => {
            Ok(())
        }
    }
}

fn print_key_hash(args: &cli::KeyHashArgs) -> Result<()> {
    let key = match &args.bearer {
        Some(key) => key.clone(),
        None => {
            let mut text = String::new();
            std::io::stdin().read_to_string(&mut text)?;
            text.trim_end_matches(['\r', '\n']).to_owned()
        }
    };
    output::print_text(&format!("{}\n", KeyHash::of(&key).0))
}
