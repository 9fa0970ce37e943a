//! The store of a stand-in site.

use std::collections::BTreeMap;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ntex::http::Response;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};

use super::http::{Call, json};
use super::{Site, StoreMode};

#[derive(Clone, Debug)]
struct Row {
    value: Option<Vec<u8>>,
    revision: u64,
}

/// Rows by table and key.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) mode: StoreMode,
    rows: BTreeMap<(String, String), Row>,
    revision: u64,
}

impl Store {
    pub(crate) fn put(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        let row = Row {
            value,
            revision: self.revision,
        };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn version(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|r| r.value.is_some()).map_or(0, |r| r.revision)
    }

    fn list(&self, table: &str, wanted: impl Fn(&str, &Row) -> bool) -> Vec<Value> {
        let rows = self
            .rows
            .iter()
            .filter(|((t, k), r)| t == table && wanted(k, r));
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|(_, r)| r.revision);
        rows.into_iter().map(|((t, k), r)| spell(t, k, r)).collect()
    }

    fn answer(&self, rows: &[Value]) -> Value {
        json!({"rows": rows, "has_more": false, "resource_version": self.revision,
            "server_time_ms": 1})
    }

    fn commit(&mut self, body: &Value) -> Response {
        let text = |v: &Value, f: &str| v[f].as_str().unwrap_or_default().to_owned();
        let list = |f: &str| body[f].as_array().cloned().unwrap_or_default();
        let fails = |c: &Value| {
            let wanted = c["resource_version"].as_u64().unwrap_or(0);
            self.version(&text(c, "table"), &text(c, "key")) != wanted
        };
        if list("precondition").iter().any(fails) {
            return json(412, &self.answer(&[]));
        }
        for row in list("set_keys") {
            let value = STANDARD.decode(text(&row, "value")).unwrap_or_default();
            self.put(&text(&row, "table"), &text(&row, "key"), Some(value));
        }
        for row in list("remove") {
            self.put(&text(&row, "table"), &text(&row, "key"), None);
        }
        json(200, &self.answer(&[]))
    }
}

fn spell(table: &str, key: &str, row: &Row) -> Value {
    match &row.value {
        Some(value) => {
            json!({"table": table, "part": "", "key": key, "value": STANDARD.encode(value),
            "resource_version": row.revision})
        }
        None => json!({"table": table, "part": "", "key": key, "deleted": true,
            "resource_version": row.revision}),
    }
}

pub(super) async fn answer(site: &Site, call: Call) -> Response {
    let mode = site.lock().store.mode;
    match mode {
        StoreMode::Busy => return json(503, &json!({})),
        StoreMode::Resets => {
            call.close();
            return Response::Ok().finish();
        }
        _ => {}
    }
    match call.path.as_str() {
        "/v1/rows-get" => get(site, &call),
        "/v1/rows-feed" => feed(site, &call).await,
        "/v1/rows-tx" => {
            let body = serde_json::from_slice(&call.body).unwrap_or_default();
            let response = site.lock().store.commit(&body);
            site.changed.notify_waiters();
            if mode == StoreMode::LosesAnswers {
                call.close();
            }
            response
        }
        _ => json(404, &json!({})),
    }
}

fn get(site: &Site, call: &Call) -> Response {
    let from = unescape(call.query("from").unwrap_or_default());
    let to = call.query("to").map(unescape);
    let table = call.query("table").unwrap_or_default();
    let state = site.lock();
    let mut rows = state.store.list(table, |k, r| {
        r.value.is_some() && k >= from.as_str() && to.as_ref().is_none_or(|t| k < t.as_str())
    });
    rows.sort_by_key(|r| r["key"].to_string());
    json(200, &state.store.answer(&rows))
}

async fn feed(site: &Site, call: &Call) -> Response {
    let number = |name| {
        call.query(name)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let (since, table) = (number("since_rev"), call.query("table").unwrap_or_default());
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    loop {
        let changed = site.changed.notified();
        {
            let state = site.lock();
            match state.store.mode {
                StoreMode::Well | StoreMode::LosesAnswers => {}
                StoreMode::Forgets => return json(410, &json!({})),
                StoreMode::Busy | StoreMode::Resets => return json(503, &json!({})),
            }
            let rows = state.store.list(table, |_, r| r.revision > since);
            if !rows.is_empty() || Instant::now() >= until {
                return json(200, &state.store.answer(&rows));
            }
        }
        // The end of the wait is answered like a change, with no rows.
        let _ = timeout_at(until, changed).await;
    }
}

fn unescape(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
