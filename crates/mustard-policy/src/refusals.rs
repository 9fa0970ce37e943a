//! Servers that refuse requests although they have room.
//!
//! A server that leaves, or gives up its layers, refuses what comes to it. While the list of servers
//! can't be read, only its refusals show that. One that is out of memory refuses too, but takes requests
//! again as soon as others end; its report tells the two apart.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::deployment::{PathPart, ServerReport};

/// The number of refusals without a cause after which a server counts as declining.
const MIN_REFUSALS: u32 = 2;
/// How long a refusal counts.
const REFUSAL_WINDOW: Duration = Duration::from_secs(2);
/// How long a server isn't used once it declines; twice as long with each further refusal.
const FIRST_TIME: Duration = Duration::from_millis(1_000);
/// The longest time that it isn't used.
const MAX_TIME: Duration = Duration::from_millis(4_000);

/// The share of a server's memory that is free if it has room for requests.
const ROOM_SHARE: f64 = 0.1;

/// Tells whether a report shows memory for another request; a server without memory in total, which holds no
/// layers, has none.
pub fn has_room(report: &ServerReport) -> bool {
    let free = report.memory_total - report.memory_used;
    report.memory_total > 0.0 && free >= ROOM_SHARE * report.memory_total
}

/// Tells whether a server that refused a part of a path had room for it, by a report that it sent afterwards;
/// `memory` is the most that the part needs, in tokens times layers.
pub fn had_room(report: &ServerReport, part: &PathPart, memory: f64) -> bool {
    let holds = report
        .held
        .is_some_and(|h| h.layers.first <= part.layers.first && part.layers.end <= h.layers.end);
    let with_request = ServerReport {
        memory_used: report.memory_used + memory,
        ..report.clone()
    };
    holds && !report.busy && has_room(&with_request)
}

/// The refusals of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalWatch {
    count: u32,
    last: Moment,
    until: Moment,
}

impl RefusalWatch {
    /// Records that the server refused a request although its report shows room.
    pub fn record_refusal(&mut self, now: Moment) {
        if self.is_declining(now) {
            return;
        }
        let is_recent = now.since(self.last.max(self.until)) < REFUSAL_WINDOW;
        self.count = if is_recent { self.count + 1 } else { 1 };
        self.last = now;
        if self.count >= MIN_REFUSALS {
            let doublings = (self.count - MIN_REFUSALS).min(2);
            self.until = now + (FIRST_TIME * 2u32.pow(doublings)).min(MAX_TIME);
        }
    }

    /// Records that the server runs a request.
    pub fn record_use(&mut self) {
        *self = RefusalWatch::default();
    }

    /// Tells whether the server declined lately and hasn't run a request since, so that others are
    /// preferred.
    pub fn is_suspect(&self, now: Moment) -> bool {
        self.count >= MIN_REFUSALS && now < self.until + MAX_TIME
    }

    /// Tells whether the server takes no requests now, as far as its refusals show.
    pub fn is_declining(&self, now: Moment) -> bool {
        now < self.until
    }
}
