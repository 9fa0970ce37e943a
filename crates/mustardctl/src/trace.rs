//! Reconstructs the history of one request from the logs of several processes.
//!
//! A log has one JSON object per line, with `ts` (RFC 3339), `process`, `level` and `msg`. Text
//! before the object, such as the time and host that a log collector adds, is ignored.

use chrono::{DateTime, FixedOffset, TimeDelta};
use serde_json::{Map, Value};

use mustard_core::collections::Set;

/// How long before the first line of a request the lines about its servers and dependencies are
/// included.
const CONTEXT_BEFORE: TimeDelta = TimeDelta::seconds(2);
/// How long after the last line of a request the lines about its servers and dependencies are
/// included.
const CONTEXT_AFTER: TimeDelta = TimeDelta::milliseconds(500);

/// The fields that every line has; all others are shown as details of the message.
const COMMON_FIELDS: [&str; 4] = ["ts", "process", "level", "msg"];
/// The fields whose values name servers: one address or a comma-separated list, each address
/// optionally followed by `/` and the layers that the server runs.
const SERVER_FIELDS: [&str; 3] = ["server", "first", "servers"];
/// The message prefixes of lines about what all requests of a process depend on.
const DEPENDENCY_PREFIXES: [&str; 4] = ["store:", "config:", "log:", "gateway:"];

/// One parsed line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, by the clock of the VM of the process.
    pub at: DateTime<FixedOffset>,
    /// The name of the process that wrote it; `?` if the line has none.
    pub process: String,
    /// The message, from the field `msg`.
    pub message: String,
    /// All fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; returns `None` if it has no JSON object with a time and a message.
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let text_of = |name: &str| fields.get(name).and_then(Value::as_str);
        Some(LogLine {
            at: DateTime::parse_from_rfc3339(text_of("ts")?).ok()?,
            process: text_of("process").unwrap_or("?").to_owned(),
            message: text_of("msg")?.to_owned(),
            fields,
        })
    }

    /// Formats all fields but time, process, level, message and request, sorted by name.
    pub fn details(&self) -> String {
        let format_field = |(name, value): (&String, &Value)| match value {
            Value::Null => None,
            _ if COMMON_FIELDS.contains(&name.as_str()) || name == "request" => None,
            Value::String(text) => Some(format!("{name}={text}")),
            other => Some(format!("{name}={other}")),
        };
        let mut parts: Vec<String> = self.fields.iter().filter_map(format_field).collect();
        parts.sort_unstable();
        parts.join(" ")
    }

    fn is_about(&self, request: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(request)
    }

    fn servers(&self) -> impl Iterator<Item = &str> {
        let value_of = |name: &&str| self.fields.get(*name).and_then(Value::as_str);
        let lists = SERVER_FIELDS.iter().filter_map(value_of);
        // Removes the layers after each address.
        lists.flat_map(|list| list.split(',').filter_map(|s| s.split('/').next()))
    }
}

/// One line in the history of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// The parsed log line.
    pub line: LogLine,
    /// Whether the line is about the request itself, and not about something it depended on.
    pub about_request: bool,
}

/// Returns the lines about a request in order of time, together with the lines about its servers
/// and, from the processes that handled it, those about store, configuration, gateway and lost
/// log lines. The result is empty if no line is about the request.
pub fn collect_trace(request: &str, lines: Vec<LogLine>) -> Vec<TraceLine> {
    let request_lines: Vec<&LogLine> = lines.iter().filter(|l| l.is_about(request)).collect();
    let Some(first) = request_lines.iter().map(|l| l.at).min() else {
        return Vec::new();
    };
    let last = request_lines.iter().map(|l| l.at).max().unwrap_or(first);
    let servers: Set<String> = request_lines
        .iter()
        .flat_map(|l| l.servers())
        .map(str::to_owned)
        .collect();
    let processes: Set<String> = request_lines.iter().map(|l| l.process.clone()).collect();
    let is_context = |line: &LogLine| {
        let in_time = line.at >= first - CONTEXT_BEFORE && line.at <= last + CONTEXT_AFTER;
        let of_dependency = DEPENDENCY_PREFIXES
            .iter()
            .any(|d| line.message.starts_with(d))
            && processes.contains(&line.process);
        let has_request = line.fields.contains_key("request");
        in_time && !has_request && (of_dependency || line.servers().any(|s| servers.contains(s)))
    };
    let mut trace: Vec<TraceLine> = Vec::new();
    for line in lines {
        let about_request = line.is_about(request);
        if about_request || is_context(&line) {
            trace.push(TraceLine {
                line,
                about_request,
            });
        }
    }
    trace.sort_by_key(|e| e.line.at);
    trace
}
