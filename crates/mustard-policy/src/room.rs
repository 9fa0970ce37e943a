//! The share of a server's KV cache memory that the requests of one gateway may use.
//!
//! Gateways don't tell each other what they use. Each learns its share from refusals: a server that
//! refuses a request for lack of memory reduces the window of the gateway that sent it, and windows
//! grow again slowly. Less urgent requests may fill only a part of the window, so that urgent ones
//! find room at any gateway while less urgent ones wait.

use std::time::Duration;

use mustard_core::clock::Moment;

/// The window after a refusal, as a share of what the gateway used at the server.
const REDUCED_SHARE: f64 = 0.85;
/// The growth per second, as a share of the window or of an even share of the server's memory.
const GROWTH_RATE: f64 = 0.05;
/// The growth with each accepted request, as a share of its memory.
const ACCEPTED_GROWTH: f64 = 0.1;
/// The part of the window that each further priority may not fill, and the least part that any may.
const PRIORITY_STEP: f64 = 0.1;
const MIN_PRIORITY_SHARE: f64 = 0.7;
/// The least time between two requests that exceed the window.
const OVERSHOOT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a report of free memory can revoke the reduction after a refusal.
const REVOKE_TIME: Duration = Duration::from_millis(500);

/// What a request needs at a server, and what is known of the server. Memory is in tokens times
/// layers.
#[derive(Clone, Copy, Debug)]
pub struct RoomNeed {
    /// Memory in use by this gateway's requests.
    pub used: f64,
    /// Memory that the request takes.
    pub memory: f64,
    /// Memory of the server for requests.
    pub capacity: f64,
    /// The number of gateways.
    pub gateways: f64,
    /// The number of more urgent priorities that the service's requests may have.
    pub rank: usize,
}

/// A window after a refusal.
#[derive(Clone, Copy, Debug)]
struct Reduced {
    size: f64,
    since: Moment,
    /// The memory of the requests that were accepted since then.
    accepted: f64,
}

/// The window of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomWindow {
    /// None while the window is the whole memory of the server.
    reduced: Option<Reduced>,
    /// The window before a reduction that a report may revoke, and when it was reduced.
    before: Option<(Moment, Option<Reduced>)>,
    last_start: Option<Moment>,
}

/// Returns the part of a window that requests may fill, by the number of more urgent priorities.
pub fn priority_share(rank: usize) -> f64 {
    (1.0 - PRIORITY_STEP * rank as f64).max(MIN_PRIORITY_SHARE)
}

impl RoomWindow {
    /// Records that the server refused a request as full while this gateway used `used` there,
    /// without the refused request.
    pub fn record_full(&mut self, now: Moment, used: f64) {
        let is_revocable = |(at, _): &(Moment, _)| now.since(*at) < REVOKE_TIME;
        let before = self.before.filter(is_revocable);
        self.before = before.or(Some((now, self.reduced)));
        self.reduced = Some(Reduced {
            size: REDUCED_SHARE * used,
            since: now,
            accepted: 0.0,
        });
    }

    /// Records a report of the server that shows whether it has room. If it has, a refusal just before
    /// wasn't for lack of room; returns whether that revokes a reduction.
    pub fn record_report(&mut self, now: Moment, has_room: bool) -> bool {
        let Some((at, before)) = self.before.take() else {
            return false;
        };
        let is_revoked = has_room && now.since(at) < REVOKE_TIME;
        if is_revoked {
            self.reduced = before;
        }
        is_revoked
    }

    /// Records that a request was sent to the server.
    pub fn record_start(&mut self, now: Moment) {
        self.last_start = Some(now);
    }

    /// Records that the server accepted a request that takes `memory`.
    pub fn record_accepted(&mut self, memory: f64) {
        if let Some(reduced) = &mut self.reduced {
            reduced.accepted += memory;
        }
    }

    /// Returns whether the window is smaller than the server's memory, as far as refusals show.
    pub fn is_reduced(&self) -> bool {
        self.reduced.is_some()
    }

    /// Returns the size of the window.
    pub fn size(&self, now: Moment, capacity: f64, gateways: f64) -> f64 {
        let Some(reduced) = self.reduced else {
            return capacity;
        };
        // A gateway that used nothing when it was refused grows from zero towards an even share.
        let base = reduced.size.max(capacity / gateways.max(1.0));
        let seconds = now.since(reduced.since).as_secs_f64();
        let grown =
            reduced.size + base * GROWTH_RATE * seconds + ACCEPTED_GROWTH * reduced.accepted;
        grown.min(capacity)
    }

    /// Tells whether the window has room for a request.
    ///
    /// A request that needs more than what is left may exceed the window if none was sent to the server
    /// in the last second, so that large requests and small windows aren't shut out.
    pub fn admits(&self, now: Moment, need: &RoomNeed) -> bool {
        let allowed = self.size(now, need.capacity, need.gateways) * priority_share(need.rank);
        if need.used + need.memory <= allowed {
            return true;
        }
        let is_idle = self
            .last_start
            .is_none_or(|at| now.since(at) >= OVERSHOOT_INTERVAL);
        need.used <= allowed && is_idle
    }
}
