//! Implements `mustardctl drain`, `settle` and `quarantine`.

use ntex::http::Method;
use serde_json::Value;

use mustard_proto::admin::{DrainRequest, SettleAnswer, SettleOutcome, SettleRequest};

use crate::cli::{self, Cli, OutputFormat};
use crate::client::AdminClient;
use crate::errors::Result;
use crate::output;

/// Tells an agent to stop taking new work, or with `--undo` to take it again.
pub(super) async fn drain(cli: &Cli, args: &cli::DrainArgs, client: &AdminClient) -> Result<()> {
    let path = format!("/admin/agents/{}/drain", args.vm);
    let request = DrainRequest { leave: !args.undo };
    let answer: Value = client.send(Method::POST, &path, &request).await?;
    let effect = match args.undo {
        true => "takes new work again",
        false => "takes no new work",
    };
    let text = format!("{} {effect}.\n", args.vm);
    print_result(cli, &answer, &text)
}

/// Determines whether a call with unknown outcome ran, and keeps it from running later.
pub(super) async fn settle(cli: &Cli, args: &cli::SettleArgs, client: &AdminClient) -> Result<()> {
    let request = SettleRequest {
        service: args.service.clone(),
        owner: args.owner.clone(),
        key: args.call.clone(),
    };
    let settled: SettleAnswer = client.send(Method::POST, "/admin/settle", &request).await?;
    let text = match settled.outcome {
        SettleOutcome::NotRun => {
            "The call did not run and never will; its idempotency key cannot be used again.\n".to_owned()
        }
        SettleOutcome::Done => format!(
            "The call ran; the service answered {}.\n",
            settled.status.unwrap_or_default()
        ),
        SettleOutcome::Unknown => {
            "The call may have run and will not run again; ask the operator of the service whether it did.\n".to_owned()
        }
    };
    print_result(cli, &settled, &text)
}

/// Lists the quarantined fingerprints, or releases one.
pub(super) async fn quarantine(
    cli: &Cli,
    args: &cli::QuarantineCommand,
    client: &AdminClient,
) -> Result<()> {
    match args {
        cli::QuarantineCommand::List => {
            let list: Value = client.get("/admin/quarantine").await?;
            output::print_json(&list)
        }
        cli::QuarantineCommand::Clear { fingerprint } => {
            let path = format!("/admin/quarantine/{fingerprint}");
            let answer: Value = client.send(Method::DELETE, &path, &()).await?;
            print_result(cli, &answer, &format!("{fingerprint} may run again.\n"))
        }
    }
}

fn print_result(cli: &Cli, value: &impl serde::Serialize, text: &str) -> Result<()> {
    match cli.output {
        OutputFormat::Json => output::print_json(value),
        OutputFormat::Table => output::print_text(text),
    }
}
