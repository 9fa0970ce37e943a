//! A stand-in of the platform's store: rows with versions, a feed of changes, conditional writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Value};
use crate::net::{Conn, listen};

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    /// Table, key and version of each change, with the value unless the row was removed.
    log: Vec<(String, String, u64, Option<String>)>,
    version: u64,
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let state = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let started = Instant::now();
        let shared = Arc::clone(&state);
        let addr = listen(move |conn| serve(conn, &shared, started));
        Store { state, addr }
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let value = json::encode_base64(value.as_bytes());
        state.set(table, key, Some(value));
        self.state.1.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        state.set(table, key, None);
        self.state.1.notify_all();
    }
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) {
        let version = self.version;
        let place = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                let value = value.clone();
                self.rows.insert(place, Row { value, version });
            }
            None => {
                self.rows.remove(&place);
            }
        }
        self.log
            .push((table.to_owned(), key.to_owned(), version, value));
    }

    fn answer(&self, rows: &str, has_more: bool, started: Instant) -> String {
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"resource_version\":{},\"server_time_ms\":{}}}",
            self.version,
            started.elapsed().as_millis()
        )
    }
}

fn serve(mut conn: Conn, state: &(Mutex<State>, Condvar), started: Instant) {
    loop {
        let Ok(head) = conn.read_head() else { return };
        let (body, _) = conn.read_up_to(head.length().unwrap_or(0));
        let (method, target) = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k.to_owned(), unescape(v)))
            .collect();
        std::thread::sleep(Duration::from_millis(4));
        let (status, text) = match (method, path) {
            ("GET", "/v1/rows-get") => (200, rows_get(state, &query, started)),
            ("GET", "/v1/rows-feed") => (200, rows_feed(state, &query, started)),
            ("POST", "/v1/rows-tx") => rows_tx(state, &body, started),
            _ => (404, "{}".to_owned()),
        };
        let answer = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        if conn.send(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn text_of(query: &BTreeMap<String, String>, name: &str) -> String {
    query.get(name).cloned().unwrap_or_default()
}

fn number_of(query: &BTreeMap<String, String>, name: &str) -> Option<u64> {
    query.get(name)?.parse().ok()
}

fn format_row(table: &str, key: &str, version: u64, value: Option<&str>) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},{rest},\"resource_version\":{version}}}",
        json::quote(table),
        json::quote(key)
    )
}

fn rows_get(
    state: &(Mutex<State>, Condvar),
    query: &BTreeMap<String, String>,
    started: Instant,
) -> String {
    let state = state.0.lock().unwrap();
    let (table, from, to) = (
        text_of(query, "table"),
        text_of(query, "from"),
        text_of(query, "to"),
    );
    let limit = number_of(query, "limit").unwrap_or(500).min(500) as usize;
    let found: Vec<String> = state
        .rows
        .iter()
        .filter(|((t, k), _)| *t == table && *k >= from && (to.is_empty() || *k < to))
        .map(|((t, k), r)| format_row(t, k, r.version, Some(&r.value)))
        .collect();
    let has_more = found.len() > limit;
    let rows = found[..found.len().min(limit)].join(",");
    state.answer(&rows, has_more, started)
}

fn rows_feed(
    state: &(Mutex<State>, Condvar),
    query: &BTreeMap<String, String>,
    started: Instant,
) -> String {
    let table = text_of(query, "table");
    let since = number_of(query, "since_rev").unwrap_or(0);
    let wait = Duration::from_millis(number_of(query, "wait_ms").unwrap_or(0).min(30_000));
    let until = Instant::now() + wait;
    let mut guard = state.0.lock().unwrap();
    loop {
        let rows: Vec<String> = guard
            .log
            .iter()
            .filter(|(t, _, version, _)| *t == table && *version > since)
            .map(|(t, k, version, value)| format_row(t, k, *version, value.as_deref()))
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !rows.is_empty() || left.is_zero() {
            return guard.answer(&rows.join(","), false, started);
        }
        guard = state.1.wait_timeout(guard, left).unwrap().0;
    }
}

fn rows_tx(state: &(Mutex<State>, Condvar), body: &[u8], started: Instant) -> (u16, String) {
    let call = json::parse(&String::from_utf8_lossy(body));
    let place = |v: &Value| (v.text("table"), v.text("key"));
    let mut guard = state.0.lock().unwrap();
    let checks = call.list("precondition");
    let is_met = |v: &Value| {
        let version = guard.rows.get(&place(v)).map_or(0, |r| r.version);
        version == v.number("resource_version") as u64
    };
    if !checks.iter().all(is_met) {
        let rows = checks.iter().filter_map(|v| {
            let (table, key) = place(v);
            let row = guard.rows.get(&(table.clone(), key.clone()))?;
            Some(format_row(&table, &key, row.version, Some(&row.value)))
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        return (412, guard.answer(&rows, false, started));
    }
    guard.version += 1;
    for v in call.list("set_keys") {
        let (table, key) = place(&v);
        guard.set(&table, &key, Some(v.text("value")));
    }
    for v in call.list("remove") {
        let (table, key) = place(&v);
        guard.set(&table, &key, None);
    }
    state.1.notify_all();
    (200, guard.answer("", false, started))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
