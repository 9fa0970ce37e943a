//! `mustardctl timeline`.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::time;

use mustard_core::event::Event;
use mustard_core::hlc::Hlc;
use mustard_core::ids::Incarnation;
use mustard_net::{Client as Messages, Process};
use mustard_proto::admin::Status;
use mustard_proto::timeline::Timeline;

use crate::cli::{self, Cli, Format};
use crate::client::Client;
use crate::errors::{CtlError, Result};
use crate::output;

const CALL_LIMIT: Duration = Duration::from_secs(3);
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);
const OWN_EVENTS: usize = 4;

/// A process whose events are read.
struct Source {
    name: String,
    addr: SocketAddr,
    after: Hlc,
    failed: bool,
}

/// Shows the events of all processes in one order.
pub(super) async fn run(cli: &Cli, args: &cli::Timeline, client: &Client) -> Result<()> {
    let status: Status = client.get("/admin/status").await?;
    let mut sources = sources(&status);
    let messages = Messages::new(Process::new("mustardctl", OWN_EVENTS)).await;
    loop {
        let events = read_all(&messages, &mut sources, args).await;
        for event in &events {
            show(cli, event)?;
        }
        if !args.follow {
            break;
        }
        time::sleep(FOLLOW_PAUSE).await;
    }
    let silent: Vec<String> = sources
        .into_iter()
        .filter(|s| s.failed)
        .map(|s| s.name)
        .collect();
    match silent.is_empty() {
        true => Ok(()),
        false => Err(CtlError::Partial(silent)),
    }
}

fn sources(status: &Status) -> Vec<Source> {
    let own = [(&status.name, status.addr)];
    let entries = status.entries.iter().map(|e| (&e.name, e.addr));
    let agents = status.agents.iter().map(|a| (&a.name, a.addr));
    let mut sources: Vec<Source> = Vec::new();
    for (name, addr) in own.into_iter().chain(entries).chain(agents) {
        if sources.iter().any(|s| s.addr == addr) {
            continue;
        }
        sources.push(Source {
            name: name.clone(),
            addr,
            after: Hlc::default(),
            failed: false,
        });
    }
    sources
}

async fn read_all(messages: &Messages, sources: &mut [Source], args: &cli::Timeline) -> Vec<Event> {
    let asks = sources.iter().map(|source| {
        let ask = Timeline {
            after: source.after,
            request: args.request,
        };
        messages.call(source.addr, Incarnation(0), ask, CALL_LIMIT)
    });
    let answers = ntex::util::join_all(asks.collect::<Vec<_>>()).await;
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

fn show(cli: &Cli, event: &Event) -> Result<()> {
    if cli.output == Format::Json {
        return output::print_line(event);
    }
    output::print(&line(event)?)
}

fn line(event: &Event) -> Result<String> {
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
    let (kind, fields) = kind_of(event)?;
    Ok(format!(
        "{clock:<16} {:<16} {request:<32} {kind:<18} {fields}\n",
        event.process
    ))
}

fn kind_of(event: &Event) -> Result<(String, String)> {
    let Value::Object(mut members) = serde_json::to_value(&event.kind)? else {
        return Ok((String::new(), String::new()));
    };
    let kind = match members.remove("kind") {
        Some(Value::String(kind)) => kind,
        _ => String::new(),
    };
    let plain = |v: &Value| match v {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let fields: Vec<String> = members
        .iter()
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    Ok((kind, fields.join(" ")))
}
