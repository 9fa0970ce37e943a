//! `mustardctl apply`.

use std::io::{BufRead, IsTerminal};

use serde_json::json;

use super::catalogue::fetch;
use super::change::{self, Proposal};
use crate::cli::{Apply, Cli, Format};
use crate::client::Client;
use crate::errors::{CtlError, Result, Usage};
use crate::file;
use crate::output;
use crate::plan::{self, Step};

/// Shows what a file would change and sends the changes.
pub(super) async fn run(cli: &Cli, args: &Apply, client: &Client) -> Result<()> {
    let file = file::load(&args.file)?;
    let steps = plan::plan(&file, &fetch(client).await?);
    preview(cli, &steps)?;
    if steps.is_empty() || args.dry_run {
        return Ok(());
    }
    if !args.yes {
        confirm(steps.len())?;
    }
    for step in &steps {
        send(cli, client, step).await?;
    }
    Ok(())
}

fn preview(cli: &Cli, steps: &[Step]) -> Result<()> {
    if cli.output == Format::Json {
        let plan: Vec<_> = steps.iter().map(as_json).collect();
        return output::print_line(&json!({ "plan": plan }));
    }
    if steps.is_empty() {
        return output::print("Nothing to change.\n");
    }
    let mut text = String::new();
    for step in steps {
        let (action, name) = (step.action.name(), step.op.name());
        text.push_str(&format!("{action} {name} (revision {})\n", step.expected));
        for field in &step.fields {
            text.push_str(&format!("    {field}\n"));
        }
    }
    output::print(&text)
}

fn as_json(step: &Step) -> serde_json::Value {
    let fields: Vec<_> = step
        .fields
        .iter()
        .map(|d| json!({ "field": d.field, "before": d.before, "after": d.after }))
        .collect();
    json!({
        "action": step.action.name(),
        "entry": step.op.name(),
        "expected": step.expected,
        "fields": fields,
    })
}

fn confirm(count: usize) -> Result<()> {
    let input = std::io::stdin();
    if !input.is_terminal() {
        return Err(CtlError::Usage(Usage::NoTerminal));
    }
    output::print(&format!("Send {count} changes? [y/N] "))?;
    let mut line = String::new();
    input.lock().read_line(&mut line)?;
    match line.trim() {
        "y" | "Y" | "yes" => Ok(()),
        _ => Err(CtlError::Usage(Usage::Declined)),
    }
}

async fn send(cli: &Cli, client: &Client, step: &Step) -> Result<()> {
    let proposal = Proposal {
        id: change::new_id(),
        expected: step.expected,
        op: &step.op,
    };
    let accepted = change::send(client, &proposal).await?;
    let name = step.op.name();
    match cli.output {
        Format::Json => output::print_line(&json!({
            "entry": name,
            "seq": accepted.seq,
            "revision": accepted.revision,
        })),
        Format::Table => output::print(&format!(
            "{name} is at revision {}, change {}\n",
            accepted.revision, accepted.seq
        )),
    }
}
