//! Implements `mustardctl timeline`.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::time;

use mustard_core::event::Event;
use mustard_core::hlc::Hlc;
use mustard_core::ids::Incarnation;
use mustard_net::{MessageClient, Process};
use mustard_proto::admin::Status;
use mustard_proto::timeline::TimelineRequest;

use crate::cli::{self, Cli, OutputFormat};
use crate::client::AdminClient;
use crate::errors::{CtlError, Result};
use crate::output;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const FOLLOW_DELAY: Duration = Duration::from_millis(500);
/// The capacity of the timeline of this client, which records only its own start.
const EVENT_CAPACITY: usize = 4;

/// A process whose events are read, and how far they are read.
struct EventSource {
    name: String,
    addr: SocketAddr,
    /// The time of the last event read; only later ones are asked for.
    after: Hlc,
    /// Whether the last call failed.
    failed: bool,
}

/// Prints the events of all processes that the entry process knows, merged in order of time.
pub(super) async fn run(cli: &Cli, args: &cli::TimelineArgs, client: &AdminClient) -> Result<()> {
    let status: Status = client.get("/admin/status").await?;
    let mut sources = list_sources(&status);
    let messages = MessageClient::new(Process::new("mustardctl", EVENT_CAPACITY));
    loop {
        let events = read_events(&messages, &mut sources, args).await;
        for event in &events {
            print_event(cli, event)?;
        }
        if !args.follow {
            break;
        }
        time::sleep(FOLLOW_DELAY).await;
    }
    let unanswered: Vec<String> = sources
        .into_iter()
        .filter(|s| s.failed)
        .map(|s| s.name)
        .collect();
    match unanswered.is_empty() {
        true => Ok(()),
        false => Err(CtlError::Unanswered(unanswered)),
    }
}

fn list_sources(status: &Status) -> Vec<EventSource> {
    let own = [(&status.name, status.addr)];
    let entries = status.entries.iter().map(|e| (&e.name, e.addr));
    let agents = status.agents.iter().map(|a| (&a.name, a.addr));
    let mut sources: Vec<EventSource> = Vec::new();
    for (name, addr) in own.into_iter().chain(entries).chain(agents) {
        if sources.iter().any(|s| s.addr == addr) {
            continue;
        }
        sources.push(EventSource {
            name: name.clone(),
            addr,
            after: Hlc::default(),
            failed: false,
        });
    }
    sources
}

async fn read_events(
    messages: &MessageClient,
    sources: &mut [EventSource],
    args: &cli::TimelineArgs,
) -> Vec<Event> {
    let calls = sources.iter().map(|source| {
        let message = TimelineRequest {
            after: source.after,
            request: args.request,
        };
        messages.call(source.addr, Incarnation(0), message, CALL_TIMEOUT)
    });
    let answers = ntex::util::join_all(calls.collect::<Vec<_>>()).await;
    let mut events = Vec::new();
    for (source, answer) in sources.iter_mut().zip(answers) {
        source.failed = answer.is_err();
        let Ok(answer) = answer else { continue };
        if let Some(last) = answer.events.last() {
            source.after = last.at;
        }
        events.extend(answer.events);
    }
    events.sort_by_key(|e| e.at);
    events
}

fn print_event(cli: &Cli, event: &Event) -> Result<()> {
    if cli.output == OutputFormat::Json {
        return output::print_json_line(event);
    }
    output::print_text(&format_event(event)?)
}

fn format_event(event: &Event) -> Result<String> {
    let seconds = event.at.wall_ms() / 1_000;
    let clock = format!(
        "{:02}:{:02}:{:02}.{:03}+{}",
        seconds / 3_600 % 24,
        seconds / 60 % 60,
        seconds % 60,
        event.at.wall_ms() % 1_000,
        event.at.count(),
    );
    let request = event.request.map_or("-".to_owned(), |r| r.to_string());
    let (kind, fields) = split_kind(event)?;
    Ok(format!(
        "{clock:<16} {:<16} {request:<32} {kind:<18} {fields}\n",
        event.process
    ))
}

fn split_kind(event: &Event) -> Result<(String, String)> {
    let Value::Object(mut members) = serde_json::to_value(&event.kind)? else {
        return Ok((String::new(), String::new()));
    };
    let kind = match members.remove("kind") {
        Some(Value::String(kind)) => kind,
        _ => String::new(),
    };
    let format_value = |v: &Value| match v {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let fields: Vec<String> = members
        .iter()
        .map(|(name, value)| format!("{name}={}", format_value(value)))
        .collect();
    Ok((kind, fields.join(" ")))
}
