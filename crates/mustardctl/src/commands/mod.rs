//! The commands.

mod apply;
mod catalogue;
mod change;
mod check;
mod explain;
mod operate;
mod status;
mod timeline;

use std::io::Read;

use mustard_core::fingerprint::KeyHash;

use crate::cli::{self, Cli, Command};
use crate::client::Client;
use crate::errors::Result;
use crate::output;

/// Runs the command of the arguments.
pub async fn run(cli: &Cli) -> Result<()> {
    match &cli.command {
        Command::KeyHash(args) => key_hash(args),
        Command::CheckConfig(args) => check::run(args),
        Command::Explain(args) => explain::run(cli, args),
        other => {
            let client = Client::new(cli).await?;
            run_remote(cli, other, &client).await
        }
    }
}

async fn run_remote(cli: &Cli, command: &Command, client: &Client) -> Result<()> {
    match command {
        Command::Catalogue(args) => catalogue::run(cli, args, client).await,
        Command::Apply(args) => apply::run(cli, args, client).await,
        Command::Status => status::run(cli, client).await,
        Command::Drain(args) => operate::drain(cli, args, client).await,
        Command::Settle(args) => operate::settle(cli, args, client).await,
        Command::Quarantine(args) => operate::quarantine(cli, args, client).await,
        Command::Timeline(args) => timeline::run(cli, args, client).await,
        Command::CheckConfig(_) | Command::Explain(_) | Command::KeyHash(_) => Ok(()),
    }
}

fn key_hash(args: &cli::KeyHash) -> Result<()> {
    let key = match &args.bearer {
        Some(key) => key.clone(),
        None => {
            let mut text = String::new();
            std::io::stdin().read_to_string(&mut text)?;
            text.trim_end_matches(['\r', '\n']).to_owned()
        }
    };
    output::print(&format!("{}\n", KeyHash::of(&key).0))
}
