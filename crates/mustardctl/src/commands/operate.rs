//! `mustardctl drain`, `settle` and `quarantine`.

use ntex::http::Method;
use serde_json::Value;

use mustard_proto::admin::{DrainAsk, Settle, Settled, SettledAs};

use crate::cli::{self, Cli, Format};
use crate::client::Client;
use crate::errors::Result;
use crate::output;

/// Tells an agent to take no new work, or to take it again.
pub(super) async fn drain(cli: &Cli, args: &cli::Drain, client: &Client) -> Result<()> {
    let path = format!("/admin/agents/{}/drain", args.vm);
    let ask = DrainAsk { leave: !args.undo };
    let answer: Value = client.send(Method::POST, &path, &ask).await?;
    let word = match args.undo {
        true => "takes new work again",
        false => "takes no new work",
    };
    let text = format!("{} {word}.\n", args.vm);
    show(cli, &answer, &text)
}

/// Settles a call whose outcome is unknown.
pub(super) async fn settle(cli: &Cli, args: &cli::Settle, client: &Client) -> Result<()> {
    let ask = Settle {
        service: args.service.clone(),
        owner: args.owner.clone(),
        key: args.call.clone(),
    };
    let settled: Settled = client.send(Method::POST, "/admin/settle", &ask).await?;
    let text = match settled.outcome {
        SettledAs::NotRun => {
            "The call did not run and never will; its key is used up.\n".to_owned()
        }
        SettledAs::Done => format!(
            "The call ran; the service answered {}.\n",
            settled.status.unwrap_or_default()
        ),
        SettledAs::Unknown => {
            "The call may have run; ask the service's keeper, it will not run again.\n".to_owned()
        }
    };
    show(cli, &settled, &text)
}

/// Lists quarantines or ends one.
pub(super) async fn quarantine(cli: &Cli, args: &cli::Quarantine, client: &Client) -> Result<()> {
    match args {
        cli::Quarantine::List => {
            let list: Value = client.get("/admin/quarantine").await?;
            output::print_json(&list)
        }
        cli::Quarantine::Clear { fingerprint } => {
            let path = format!("/admin/quarantine/{fingerprint}");
            let answer: Value = client.send(Method::DELETE, &path, &()).await?;
            show(cli, &answer, &format!("{fingerprint} may run again.\n"))
        }
    }
}

fn show(cli: &Cli, value: &impl serde::Serialize, text: &str) -> Result<()> {
    match cli.output {
        Format::Json => output::print_json(value),
        Format::Table => output::print(text),
    }
}
