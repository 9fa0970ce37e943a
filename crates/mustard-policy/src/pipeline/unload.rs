//! Detection of servers that don't get rid of layers.
//!
//! A server that is ordered to hold other layers first waits for the requests that still use the old
//! ones. Requests that wait for memory elsewhere, or whose callers have gone, may never leave. Until
//! then the server holds nothing, and a plan that counts on it leaves a gap.

use std::time::Duration;

use mustard_core::clock::Moment;

/// How long a server may wait for its requests; most of them end within this time, also where streams are slow.
const UNLOAD_TIME: Duration = Duration::from_millis(6_000);
/// How long after the last report that shows a server waiting it still counts as waiting.
const REPORT_VALIDITY: Duration = Duration::from_secs(10);

/// What the reports of a server show of the layers that it gives up.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnloadWatch {
    waiting: Option<Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Moment,
    reported: Moment,
}

impl UnloadWatch {
    /// Records a report: since when the server has held nothing, if it waits for requests that use layers
    /// that it gives up.
    pub fn observe(&mut self, now: Moment, waiting_since: Option<Moment>) {
        self.waiting = waiting_since.map(|since| Waiting {
            since,
            reported: now,
        });
    }

    /// Tells whether the server has waited for too long, so that other servers should hold the layers
    /// that it was ordered to load.
    pub fn is_stuck(&self, now: Moment) -> bool {
        self.waiting.is_some_and(|w| {
            w.reported.since(w.since) >= UNLOAD_TIME && now.since(w.reported) < REPORT_VALIDITY
        })
    }
}
