//! Implements `mustardctl apply`.

use std::io::{BufRead, IsTerminal};

use serde_json::json;

use super::catalogue::fetch_catalogue;
use super::change::{self, ChangeRequest};
use crate::catalogue_file;
use crate::cli::{ApplyArgs, Cli, OutputFormat};
use crate::client::AdminClient;
use crate::errors::{CtlError, Result, UsageError};
use crate::output;
use crate::plan::{self, PlannedChange};

/// Prints the changes that a file makes and, unless it is a dry run, sends them after confirmation.
pub(super) async fn run(cli: &Cli, args: &ApplyArgs, client: &AdminClient) -> Result<()> {
    let file = catalogue_file::load(&args.file)?;
    let changes = plan::plan_changes(&file, &fetch_catalogue(client).await?);
    print_plan(cli, &changes)?;
    if changes.is_empty() || args.dry_run {
        return Ok(());
    }
    if !args.yes {
        confirm(changes.len())?;
    }
    for planned in &changes {
        send_change(cli, client, planned).await?;
    }
    Ok(())
}

fn print_plan(cli: &Cli, changes: &[PlannedChange]) -> Result<()> {
    if cli.output == OutputFormat::Json {
        let plan: Vec<_> = changes.iter().map(planned_to_json).collect();
        return output::print_json_line(&json!({ "plan": plan }));
    }
    if changes.is_empty() {
        return output::print_text("Nothing to change.\n");
    }
    let mut text = String::new();
    for planned in changes {
        let (action, name) = (planned.action.name(), planned.op.name());
        text.push_str(&format!(
            "{action} {name} (revision {})\n",
            planned.expected
        ));
        for field in &planned.fields {
            text.push_str(&format!("    {field}\n"));
        }
    }
    output::print_text(&text)
}

fn planned_to_json(planned: &PlannedChange) -> serde_json::Value {
    let fields: Vec<_> = planned
        .fields
        .iter()
        .map(|f| json!({ "field": f.field, "before": f.before, "after": f.after }))
        .collect();
    json!({
        "action": planned.action.name(),
        "entry": planned.op.name(),
        "expected": planned.expected,
        "fields": fields,
    })
}

fn confirm(count: usize) -> Result<()> {
    let input = std::io::stdin();
    if !input.is_terminal() {
        return Err(CtlError::Usage(UsageError::NoTerminal));
    }
    output::print_text(&format!("Send {count} changes? [y/N] "))?;
    let mut line = String::new();
    input.lock().read_line(&mut line)?;
    match line.trim() {
        "y" | "Y" | "yes" => Ok(()),
        _ => Err(CtlError::Usage(UsageError::Declined)),
    }
}

async fn send_change(cli: &Cli, client: &AdminClient, planned: &PlannedChange) -> Result<()> {
    let request = ChangeRequest {
        id: change::new_change_id(),
        expected: planned.expected,
        op: &planned.op,
    };
    let accepted = change::send(client, &request).await?;
    let name = planned.op.name();
    match cli.output {
        OutputFormat::Json => output::print_json_line(&json!({
            "entry": name,
            "seq": accepted.seq,
            "revision": accepted.revision,
        })),
        OutputFormat::Table => output::print_text(&format!(
            "{name} is at revision {}, change {}\n",
            accepted.revision, accepted.seq
        )),
    }
}
