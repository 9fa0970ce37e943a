//! `mustardctl catalogue`.

use serde_json::json;

use mustard_core::catalogue::{Catalogue, Change, Entry, EntryVersion, Op, Snapshot, Target};
use mustard_core::ids::Revision;

use super::change::{self, Proposal};
use crate::cli::{self, Cli, Format};
use crate::client::Client;
use crate::errors::{CtlError, Refused, Result, Usage};
use crate::file;
use crate::output::{self, Table};

/// Reads the catalogue in force.
pub(super) async fn fetch(client: &Client) -> Result<Catalogue> {
    let snapshot: Snapshot = client.get("/admin/catalogue").await?;
    Ok(Catalogue::from_snapshot(snapshot))
}

/// Runs a command about entries.
pub(super) async fn run(cli: &Cli, args: &cli::Catalogue, client: &Client) -> Result<()> {
    match args {
        cli::Catalogue::List { all } => list(cli, *all, &fetch(client).await?),
        cli::Catalogue::Show { name } => show(cli, name, &fetch(client).await?),
        cli::Catalogue::History { name } => history(cli, name, client).await,
        cli::Catalogue::Add(put) => {
            // Adding over a live entry must conflict; over a retired one it must not.
            let catalogue = fetch(client).await?;
            let entry = one_entry(put)?;
            let live = catalogue.entry(&entry.name).is_some();
            let expected = match live {
                true => Revision(0),
                false => catalogue.revision(&entry.name),
            };
            send(cli, client, &put.send, expected, &Op::Put(entry)).await
        }
        cli::Catalogue::Change(put) => {
            let catalogue = fetch(client).await?;
            let entry = one_entry(put)?;
            let expected = in_force(&catalogue, &entry.name)?.revision;
            send(cli, client, &put.send, expected, &Op::Put(entry)).await
        }
        cli::Catalogue::Retire { name, send: how } => {
            let catalogue = fetch(client).await?;
            // With an id of an earlier try the entry may be retired already.
            let expected = match how.id {
                Some(_) => catalogue.revision(name),
                None => in_force(&catalogue, name)?.revision,
            };
            send(cli, client, how, expected, &Op::Retire(name.clone())).await
        }
    }
}

async fn send(
    cli: &Cli,
    client: &Client,
    how: &cli::Send,
    expected: Revision,
    op: &Op,
) -> Result<()> {
    let proposal = Proposal {
        id: how.id.clone().unwrap_or_else(change::new_id),
        expected: how.expect.map_or(expected, Revision),
        op,
    };
    let accepted = change::send(client, &proposal).await?;
    match cli.output {
        Format::Json => output::print_json(&accepted),
        Format::Table => output::print(&format!(
            "Entry {:?} is at revision {}, change {}.\n",
            op.name(),
            accepted.revision,
            accepted.seq
        )),
    }
}

fn one_entry(put: &cli::Put) -> Result<Entry> {
    let file = file::load(&put.file)?;
    match <[Entry; 1]>::try_from(file.entries) {
        Ok([entry]) if file.retire.is_empty() => Ok(entry),
        _ => Err(CtlError::Usage(Usage::ManyEntries)),
    }
}

fn in_force<'a>(catalogue: &'a Catalogue, name: &str) -> Result<&'a EntryVersion> {
    catalogue
        .version(name)
        .filter(|v| v.entry.is_some())
        .ok_or_else(|| not_in_force(name))
}

fn not_in_force(name: &str) -> CtlError {
    let problem = json!({
        "title": "Entry is not in force",
        "detail": format!("entry {name:?} does not exist or is retired"),
        "outcome": "not_run",
    });
    let status = 404;
    CtlError::Refused(Box::new(Refused { status, problem }))
}

fn list(cli: &Cli, all: bool, catalogue: &Catalogue) -> Result<()> {
    let snapshot = catalogue.snapshot();
    let shown = snapshot
        .entries
        .iter()
        .filter(|(_, v)| all || v.entry.is_some());
    if cli.output == Format::Json {
        let entries: serde_json::Map<_, _> =
            shown.map(|(name, v)| (name.clone(), json!(v))).collect();
        return output::print_json(&json!({ "seq": snapshot.seq, "entries": entries }));
    }
    let mut table = Table::new(&[
        "NAME",
        "OWNER",
        "CLASS",
        "TARGET",
        "RATE/S",
        "IN FLIGHT",
        "TOKENS",
        "DEADLINE MS",
        "REV",
    ]);
    for (name, version) in shown {
        table.row(line(name, version));
    }
    output::print(&format!("{}at change {}\n", table.text(), snapshot.seq))
}

fn line(name: &str, version: &EntryVersion) -> Vec<String> {
    let revision = version.revision.to_string();
    let Some(entry) = &version.entry else {
        let retired = "retired".to_owned();
        let mut cells = vec![name.to_owned(), retired];
        cells.resize(8, String::new());
        cells.push(revision);
        return cells;
    };
    let limits = &entry.limits;
    vec![
        name.to_owned(),
        entry.owner.clone(),
        format!("{:?}", entry.class).to_lowercase(),
        target(&entry.target),
        limits.rate.to_string(),
        limits.concurrency.to_string(),
        limits.max_tokens.to_string(),
        limits.deadline_ms.to_string(),
        revision,
    ]
}

fn target(target: &Target) -> String {
    match target {
        Target::Model { model, layers } => format!("model {model} ({layers} layers)"),
        Target::Service {
            service,
            repeatable: true,
        } => format!("service {service} (repeatable)"),
        Target::Service { service, .. } => format!("service {service}"),
    }
}

fn show(cli: &Cli, name: &str, catalogue: &Catalogue) -> Result<()> {
    let version = catalogue.version(name).ok_or_else(|| not_in_force(name))?;
    if cli.output == Format::Json {
        return output::print_json(version);
    }
    let mut text = format!("# revision {}, change {}\n", version.revision, version.seq);
    match &version.entry {
        None => text.push_str("# retired\n"),
        Some(entry) => {
            text.push_str("[[entry]]\n");
            let toml = toml::to_string(entry).unwrap_or_default();
            // Tables inside an entry need its name in their header.
            for line in toml.lines() {
                match line.strip_prefix('[') {
                    Some(rest) => text.push_str(&format!("[entry.{rest}\n")),
                    None => text.push_str(&format!("{line}\n")),
                }
            }
        }
    }
    output::print(&text)
}

async fn history(cli: &Cli, name: &str, client: &Client) -> Result<()> {
    let path = format!("/admin/catalogue/{name}/history");
    let changes: Vec<Change> = client.get(&path).await?;
    if cli.output == Format::Json {
        return output::print_json(&changes);
    }
    let mut table = Table::new(&["CHANGE", "REV", "UNIX MS", "AUTHOR", "WHAT", "ID"]);
    for change in &changes {
        let what = match &change.op {
            Op::Put(_) => "put",
            Op::Retire(_) => "retire",
        };
        table.row(vec![
            change.seq.to_string(),
            change.expected.next().to_string(),
            change.wall_ms.to_string(),
            change.author.clone(),
            what.to_owned(),
            change.id.clone(),
        ]);
    }
    output::print(&table.text())
}
