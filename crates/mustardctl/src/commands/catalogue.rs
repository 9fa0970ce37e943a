//! Implements `mustardctl catalogue`.

use serde_json::json;

use mustard_core::catalogue::{Catalogue, Change, Entry, EntryVersion, Op, Snapshot, Target};
use mustard_core::ids::Revision;

use super::change::{self, ChangeRequest};
use crate::catalogue_file;
use crate::cli::{self, Cli, OutputFormat};
use crate::client::AdminClient;
use crate::errors::{CtlError, Refusal, Result, UsageError};
use crate::output::{self, Table};

/// Reads the current catalogue from an entry process.
pub(super) async fn fetch_catalogue(client: &AdminClient) -> Result<Catalogue> {
    let snapshot: Snapshot = client.get("/admin/catalogue").await?;
    Ok(Catalogue::from_snapshot(snapshot))
}

/// Runs a subcommand of `catalogue`.
pub(super) async fn run(
    cli: &Cli,
    args: &cli::CatalogueCommand,
    client: &AdminClient,
) -> Result<()> {
    match args {
        cli::CatalogueCommand::List { all } => {
            print_list(cli, *all, &fetch_catalogue(client).await?)
        }
        cli::CatalogueCommand::Show { name } => {
            print_entry(cli, name, &fetch_catalogue(client).await?)
        }
        cli::CatalogueCommand::History { name } => print_history(cli, name, client).await,
        cli::CatalogueCommand::Add(put) => {
            // Revision 0 makes the addition of an entry that is already active fail with a conflict.
            // A retired entry may be added again, so its current revision is expected.
            let catalogue = fetch_catalogue(client).await?;
            let entry = load_single_entry(put)?;
            let is_active = catalogue.entry(&entry.name).is_some();
            let expected = match is_active {
                true => Revision(0),
                false => catalogue.revision(&entry.name),
            };
            send_change(cli, client, &put.send, expected, &Op::Put(entry)).await
        }
        cli::CatalogueCommand::Change(put) => {
            let catalogue = fetch_catalogue(client).await?;
            let entry = load_single_entry(put)?;
            let expected = find_active(&catalogue, &entry.name)?.revision;
            send_change(cli, client, &put.send, expected, &Op::Put(entry)).await
        }
        cli::CatalogueCommand::Retire {
            name,
            send: send_args,
        } => {
            let catalogue = fetch_catalogue(client).await?;
            // A change that is sent again under its id may have retired the entry already.
            let expected = match send_args.id {
                Some(_) => catalogue.revision(name),
                None => find_active(&catalogue, name)?.revision,
            };
            send_change(cli, client, send_args, expected, &Op::Retire(name.clone())).await
        }
    }
}

async fn send_change(
    cli: &Cli,
    client: &AdminClient,
    send_args: &cli::SendArgs,
    expected: Revision,
    op: &Op,
) -> Result<()> {
    let request = ChangeRequest {
        id: send_args.id.clone().unwrap_or_else(change::new_change_id),
        expected: send_args.expect.map_or(expected, Revision),
        op,
    };
    let accepted = change::send(client, &request).await?;
    match cli.output {
        OutputFormat::Json => output::print_json(&accepted),
        OutputFormat::Table => output::print_text(&format!(
            "Entry {:?} is at revision {}, change {}.\n",
            op.name(),
            accepted.revision,
            accepted.seq
        )),
    }
}

fn load_single_entry(put: &cli::PutArgs) -> Result<Entry> {
    let file = catalogue_file::load(&put.file)?;
    match <[Entry; 1]>::try_from(file.entries) {
        Ok([entry]) if file.retire.is_empty() => Ok(entry),
        _ => Err(CtlError::Usage(UsageError::NotOneEntry)),
    }
}

fn find_active<'a>(catalogue: &'a Catalogue, name: &str) -> Result<&'a EntryVersion> {
    catalogue
        .version(name)
        .filter(|v| v.entry.is_some())
        .ok_or_else(|| not_active_error(name))
}

fn not_active_error(name: &str) -> CtlError {
    let problem = json!({
        "title": "Entry is not in force",
        "detail": format!("entry {name:?} does not exist or is retired"),
        "outcome": "not_run",
    });
    let status = 404;
    CtlError::Refused(Box::new(Refusal { status, problem }))
}

fn print_list(cli: &Cli, all: bool, catalogue: &Catalogue) -> Result<()> {
    let snapshot = catalogue.snapshot();
    let shown = snapshot
        .entries
        .iter()
        .filter(|(_, v)| all || v.entry.is_some());
    if cli.output == OutputFormat::Json {
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
        table.add_row(format_row(name, version));
    }
    output::print_text(&format!("{}at change {}\n", table.to_text(), snapshot.seq))
}

fn format_row(name: &str, version: &EntryVersion) -> Vec<String> {
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
        format_target(&entry.target),
        limits.rate.to_string(),
        limits.concurrency.to_string(),
        limits.max_tokens.to_string(),
        limits.deadline_ms.to_string(),
        revision,
    ]
}

fn format_target(target: &Target) -> String {
    match target {
        Target::Model { model, layers } => format!("model {model} ({layers} layers)"),
        Target::Service {
            service,
            repeatable: true,
        } => format!("service {service} (repeatable)"),
        Target::Service { service, .. } => format!("service {service}"),
    }
}

fn print_entry(cli: &Cli, name: &str, catalogue: &Catalogue) -> Result<()> {
    let version = catalogue
        .version(name)
        .ok_or_else(|| not_active_error(name))?;
    if cli.output == OutputFormat::Json {
        return output::print_json(version);
    }
    let mut text = format!("# revision {}, change {}\n", version.revision, version.seq);
    match &version.entry {
        None => text.push_str("# retired\n"),
        Some(entry) => {
            text.push_str("[[entry]]\n");
            let toml = toml::to_string(entry).unwrap_or_default();
            // The header of a table inside an entry starts with the name of the entry list.
            for line in toml.lines() {
                match line.strip_prefix('[') {
                    Some(rest) => text.push_str(&format!("[entry.{rest}\n")),
                    None => text.push_str(&format!("{line}\n")),
                }
            }
        }
    }
    output::print_text(&text)
}

async fn print_history(cli: &Cli, name: &str, client: &AdminClient) -> Result<()> {
    let path = format!("/admin/catalogue/{name}/history");
    let changes: Vec<Change> = client.get(&path).await?;
    if cli.output == OutputFormat::Json {
        return output::print_json(&changes);
    }
    let mut table = Table::new(&["CHANGE", "REV", "UNIX MS", "AUTHOR", "WHAT", "ID"]);
    for change in &changes {
        let what = match &change.op {
            Op::Put(_) => "put",
            Op::Retire(_) => "retire",
        };
        table.add_row(vec![
            change.seq.to_string(),
            change.expected.next().to_string(),
            change.wall_ms.to_string(),
            change.author.clone(),
            what.to_owned(),
            change.id.clone(),
        ]);
    }
    output::print_text(&table.to_text())
}
