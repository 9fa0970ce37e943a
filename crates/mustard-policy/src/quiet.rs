//! Servers through which no stream makes progress any more.
//!
//! A server that ends stalls all streams through it at the same moment. A single stream counts as stalled only
//! after several times its usual pause ([`stall`](crate::stall)); several streams through one server show the
//! same sooner, as their events are spread over the usual pause. Such a server is asked for a report, which
//! decides. Gateways with fewer streams learn of silent servers from others and ask these servers themselves.

use std::hash::Hash;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

/// The least number of streams through a server whose common pause counts.
const MIN_STREAMS: u32 = 3;
/// How probable it may be that the streams through a server that runs pause together for so long. A wrong
/// guess costs one call.
const MAX_CHANCE: f64 = 1e-3;
/// The factor on the common pause that follows from it. Pauses of single streams differ (43 to 117 ms from the
/// 10th to the 90th percentile on B), and streams that share a server share its pauses: with 1.2, and a chance of
/// 0.002, running servers were asked 10,000 times on a quiet day of B (trial).
const PAUSE_FACTOR: f64 = 1.4;
/// The most servers that are asked in a second, on average over longer times than a burst of [`MAX_ASKED`].
const ASK_RATE: f64 = 4.0;
/// The least common pause: timers fire up to 15 ms late, and events of several streams can arrive together.
const MIN_PAUSE: Duration = Duration::from_millis(30);
/// The least time between two questions to one server, as in a stalled stream.
const ASK_INTERVAL: Duration = Duration::from_millis(150);
/// The most servers that are asked at once. A path has up to 16 servers, all of which are quiet if one ends.
const MAX_ASKED: usize = 16;
/// The most servers that a gateway reports as silent within [`ALERT_TIME`]: two failures at the same moment.
/// One that finds more of them is probably cut off itself.
const MAX_ALERTS: usize = 4;
/// The time over which alerts are counted.
const ALERT_TIME: Duration = Duration::from_secs(1);

/// The streams through one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Activity {
    /// The streams that have begun.
    pub streams: u32,
    /// The newest event of any of them.
    pub newest: Moment,
}

impl Activity {
    /// Adds a stream with its last event.
    pub fn add(&mut self, last_event: Moment) {
        self.streams += 1;
        self.newest = self.newest.max(last_event);
    }
}

/// Decides which servers are asked for a report before one of their streams counts as stalled, and which
/// silent servers other gateways are told of.
#[derive(Clone, Debug)]
pub struct QuietWatch<K> {
    asked: Map<K, Moment>,
    alerts: Vec<Moment>,
    /// The questions that may be asked now, and since when.
    saved: f64,
    updated_at: Moment,
}

impl<K> Default for QuietWatch<K> {
    fn default() -> Self {
        QuietWatch {
            asked: Map::default(),
            alerts: Vec::new(),
            saved: MAX_ASKED as f64,
            updated_at: Moment::default(),
        }
    }
}

impl<K: Copy + Eq + Hash> QuietWatch<K> {
    /// Returns the servers that are to be asked now, those with the most streams first. `pause` is the usual
    /// pause between two events of a stream.
    pub fn take_quiet(
        &mut self,
        now: Moment,
        pause: Duration,
        servers: impl Iterator<Item = (K, Activity)>,
    ) -> Vec<K> {
        let is_quiet = |a: &Activity| {
            a.streams >= MIN_STREAMS && now.since(a.newest) >= common_pause(a.streams, pause)
        };
        let mut quiet: Vec<(K, u32)> = servers
            .filter(|(k, a)| is_quiet(a) && self.is_due(now, *k))
            .map(|(k, a)| (k, a.streams))
            .collect();
        quiet.sort_by_key(|(_, streams)| std::cmp::Reverse(*streams));
        let gained = ASK_RATE * now.since(self.updated_at).as_secs_f64();
        self.saved = (self.saved + gained).min(MAX_ASKED as f64);
        self.updated_at = now;
        quiet.truncate(self.saved as usize);
        self.saved -= quiet.len() as f64;
        for (key, _) in &quiet {
            self.record_asked(now, *key);
        }
        quiet.into_iter().map(|(key, _)| key).collect()
    }

    /// Returns whether a server that another gateway found silent is to be asked now, and records that it is.
    pub fn take_alert(&mut self, now: Moment, server: K) -> bool {
        let is_due = self.is_due(now, server);
        if is_due {
            self.record_asked(now, server);
        }
        is_due
    }

    /// Returns whether other gateways are to be told of a server that this one has just found silent.
    pub fn begin_alert(&mut self, now: Moment) -> bool {
        self.alerts.retain(|at| now.since(*at) < ALERT_TIME);
        let is_allowed = self.alerts.len() < MAX_ALERTS;
        if is_allowed {
            self.alerts.push(now);
        }
        is_allowed
    }

    fn is_due(&self, now: Moment, server: K) -> bool {
        let asked = self.asked.get(&server);
        asked.is_none_or(|at| now.since(*at) >= ASK_INTERVAL)
    }

    fn record_asked(&mut self, now: Moment, server: K) {
        self.asked.retain(|_, at| now.since(*at) < ASK_INTERVAL);
        self.asked.insert(server, now);
    }
}

/// Returns the common pause of several streams from which their server is asked.
///
/// A stream with an event in each usual pause has none for a share `t` of it with the probability `1 - t`; `n`
/// streams with independent phases have none with the probability `(1 - t)^n`.
fn common_pause(streams: u32, pause: Duration) -> Duration {
    let share = 1.0 - MAX_CHANCE.powf(1.0 / f64::from(streams.max(1)));
    pause.mul_f64(PAUSE_FACTOR * share).max(MIN_PAUSE)
}
