//! Limits that servers name: how many requests a second they take from all gateways together.
//!
//! An answer tells its gateway, and the gateways tell each other, so that each one knows of a limit
//! that it has not been told, and of its end.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::info;

use mustard_core::clock::Moment;
use mustard_core::deployment::ServerKey;
use mustard_policy::rate_share::RateShare;
use mustard_policy::subset::rank_by_hash;

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;

/// How long a limit is kept that no answer names again, because nobody sends any request.
const MAX_AGE: Duration = Duration::from_secs(30);
/// The most servers whose limits are in one message.
const MAX_SHARED: usize = 256;

/// What the newest answer of a server said of its limit.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    /// The share of this gateway; `None` if the answer named no limit although earlier ones had.
    pub share: Option<RateShare>,
    /// When the answer arrived.
    pub at: Moment,
}

impl NamedLimit {
    /// Returns the share of the limit that is in force.
    pub fn in_force(&self, now: Moment) -> Option<&RateShare> {
        self.share.as_ref().filter(|_| now.since(self.at) < MAX_AGE)
    }
}

/// A limit in a message between gateways.
#[derive(Debug, Serialize, Deserialize)]
pub struct LimitMessage {
    #[serde(rename = "s")]
    server: String,
    #[serde(rename = "b")]
    started_ms: u64,
    #[serde(rename = "l")]
    limit: Option<f64>,
    #[serde(rename = "a")]
    age_ms: u64,
}

/// Records what an answer that has just arrived from a server says of its limit.
pub fn record_answer(app: &App, server: ServerKey, limit: Option<f64>) {
    let now = app.now();
    let known = app.fleet.borrow().get(server).map(|s| s.named_limit);
    if known.is_some_and(|known| limit.is_some() || known.is_some()) {
        observe(app, server, limit, now);
    }
}

/// Records an observation, unless a newer one is known.
fn observe(app: &App, key: ServerKey, limit: Option<f64>, at: Moment) {
    let now = app.now();
    let Some(id) = app.fleet.borrow().get(key).map(|s| s.entry.id.clone()) else {
        return;
    };
    let (processes, rank) = place(app, &id);
    let mut fleet = app.fleet.borrow_mut();
    let Some(server) = fleet.get_mut(key) else {
        return;
    };
    let known = server.named_limit;
    if known.is_some_and(|k| k.at >= at) {
        return;
    }
    let known = known.and_then(|k| k.share);
    let share = limit.map(|limit| {
        let mut share = known.unwrap_or_else(|| RateShare::new(now, limit));
        share.set_limit(now, limit);
        share.divide(now, processes, rank);
        share
    });
    server.named_limit = Some(NamedLimit { share, at });
    if known.map(|k| k.limit()) != limit {
        metric::count_limit(if limit.is_some() { "named" } else { "ended" });
        if let Some(log) = app.log.logger_for(Topic::Server) {
            info!(log, "servers: Named another limit."; "id" => &id,
                "server" => %server.entry.addr, "requests_s" => limit, "gateways" => processes);
        }
    }
}

/// Divides all limits anew between the gateways that are alive.
pub fn divide_again(app: &App) {
    let now = app.now();
    let limited = app.fleet.borrow().limited_servers(now);
    for (key, id) in limited {
        let (processes, rank) = place(app, &id);
        let mut fleet = app.fleet.borrow_mut();
        let server = fleet.get_mut(key);
        let share = server.and_then(|s| s.named_limit.as_mut()?.share.as_mut());
        if let Some(share) = share {
            share.divide(now, processes, rank);
        }
    }
}

/// Returns the number of gateways that use a server, and the place of this one among them.
fn place(app: &App, id: &str) -> (usize, usize) {
    let peers = app.peers.borrow();
    let includes_all = !peers.has_heard_all(app.age());
    let others: Vec<String> = peers
        .others(includes_all)
        .map(|addr| addr.to_string())
        .collect();
    let names: Vec<&str> = others.iter().map(String::as_str).collect();
    let rank = rank_by_hash(id, &peers.own_addr().to_string(), &names);
    (names.len() + 1, rank)
}

/// Returns the limits to be sent to another gateway.
pub fn messages(app: &App) -> Vec<LimitMessage> {
    let now = app.now();
    let fleet = app.fleet.borrow();
    let known = fleet.iter().filter_map(|(_, s)| {
        let named = s.named_limit.filter(|n| now.since(n.at) < MAX_AGE)?;
        Some(LimitMessage {
            server: s.entry.id.clone(),
            started_ms: s.entry.started_ms,
            limit: named.share.map(|share| share.limit()),
            age_ms: now.ms_since(named.at),
        })
    });
    known.take(MAX_SHARED).collect()
}

/// Applies the limits that another gateway has sent.
pub fn apply_messages(app: &App, messages: Vec<LimitMessage>) {
    let now = app.now();
    for m in messages {
        let at = now - Duration::from_millis(m.age_ms);
        let server = app.fleet.borrow().find_process(&m.server, m.started_ms);
        if let Some(server) = server {
            observe(app, server, m.limit, at);
        }
    }
}
