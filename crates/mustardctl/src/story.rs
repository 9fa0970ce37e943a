//! The story of one request, put together from the log lines of several processes.
//!
//! A log is JSON, one object a line, with `ts` (RFC 3339), `process`, `level` and `msg`. Text in
//! front of an object, such as a collector's own time and host, is skipped.

use chrono::{DateTime, FixedOffset, TimeDelta};
use serde_json::{Map, Value};

use mustard_core::collections::Set;

/// Lines about servers and dependencies count this long before the request's first line.
const BEFORE: TimeDelta = TimeDelta::seconds(2);
/// Lines about servers and dependencies count this long after the request's last line.
const AFTER: TimeDelta = TimeDelta::milliseconds(500);

/// The fields that every line has; the others are shown beside the message.
const COMMON: [&str; 4] = ["ts", "process", "level", "msg"];
/// The fields whose values name servers, as one address or a list parted by commas, each with
/// its layers or without.
const SERVERS: [&str; 3] = ["server", "first", "servers"];
/// Where lines about what all requests depend on come from.
const DEPENDENCIES: [&str; 4] = ["store:", "config:", "log:", "gateway:"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, by the clock of its VM.
    pub at: DateTime<FixedOffset>,
    /// The process that wrote it.
    pub process: String,
    /// What happened.
    pub message: String,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if it holds no object with a time and a message.
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let of = |name: &str| fields.get(name).and_then(Value::as_str);
        Some(Line {
            at: DateTime::parse_from_rfc3339(of("ts")?).ok()?,
            process: of("process").unwrap_or("?").to_owned(),
            message: of("msg")?.to_owned(),
            fields,
        })
    }

    /// Describes the fields beside time, process, level and message.
    pub fn details(&self) -> String {
        let shown = |(name, value): (&String, &Value)| match value {
            Value::Null => None,
            _ if COMMON.contains(&name.as_str()) || name == "request" => None,
            Value::String(text) => Some(format!("{name}={text}")),
            other => Some(format!("{name}={other}")),
        };
        let mut parts: Vec<String> = self.fields.iter().filter_map(shown).collect();
        parts.sort_unstable();
        parts.join(" ")
    }

    fn is_of(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn servers(&self) -> impl Iterator<Item = &str> {
        let named = |name: &&str| self.fields.get(*name).and_then(Value::as_str);
        let lists = SERVERS.iter().filter_map(named);
        // The layers that a server runs stand after its address.
        lists.flat_map(|list| list.split(',').filter_map(|s| s.split('/').next()))
    }
}

/// One line of a story.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The line.
    pub line: Line,
    /// Whether it is about the request itself, and not about what the request depended on.
    pub own: bool,
}

/// Returns the lines about a request in order of time, together with those about its servers and
/// about store, configuration and lost lines at the processes that drove it.
pub fn tell(request: &str, lines: Vec<Line>) -> Vec<Event> {
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_of(request)).collect();
    let Some(first) = own.iter().map(|l| l.at).min() else {
        return Vec::new();
    };
    let last = own.iter().map(|l| l.at).max().unwrap_or(first);
    let servers: Set<String> = own
        .iter()
        .flat_map(|l| l.servers())
        .map(str::to_owned)
        .collect();
    let drivers: Set<String> = own.iter().map(|l| l.process.clone()).collect();
    let matters = |line: &Line| {
        let in_time = line.at >= first - BEFORE && line.at <= last + AFTER;
        let of_dependency = DEPENDENCIES.iter().any(|d| line.message.starts_with(d))
            && drivers.contains(&line.process);
        let is_other = line.fields.contains_key("request");
        in_time && !is_other && (of_dependency || line.servers().any(|s| servers.contains(s)))
    };
    let mut events: Vec<Event> = Vec::new();
    for line in lines {
        let own = line.is_of(request);
        if own || matters(&line) {
            events.push(Event { line, own });
        }
    }
    events.sort_by_key(|e| e.line.at);
    events
}
