//! The share of this process in the number of requests a second that a server takes from all
//! processes together.
//!
//! A server in need names such a limit. The processes divide it evenly, without messages; if it is
//! lower than their number, only as many of them as it allows requests in a second get a part, others
//! for each server. A part that isn't used is kept for one request or a short time, so that all parts
//! together never add up to a burst.

use std::time::Duration;

use mustard_core::clock::Moment;

/// For how long a part that isn't used is kept if it is more than one request.
const SAVED_TIME: f64 = 0.25;

/// The part of a server's limit that this process may use.
#[derive(Clone, Copy, Debug)]
pub struct RateShare {
    /// The requests a second of all processes.
    limit: f64,
    /// The requests a second of this process.
    part: f64,
    /// The requests that this process may send now.
    saved: f64,
    updated_at: Moment,
}

impl RateShare {
    /// Creates the share of a limit that a server has just named. No request may be sent at once, as all
    /// processes may learn of it at the same time.
    pub fn new(now: Moment, limit: f64) -> Self {
        RateShare {
            limit: limit.max(0.0),
            part: 0.0,
            saved: 0.0,
            updated_at: now,
        }
    }

    /// Returns the limit, in requests a second.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Sets the limit.
    pub fn set_limit(&mut self, now: Moment, limit: f64) {
        self.refill(now);
        self.limit = limit.max(0.0);
    }

    /// Divides the limit between `processes` processes, of which this one has the place `rank` in an
    /// order that differs between servers.
    pub fn divide(&mut self, now: Moment, processes: usize, rank: usize) {
        self.refill(now);
        let users = (self.limit.ceil() as usize).clamp(1, processes.max(1));
        self.part = if rank < users {
            self.limit / users as f64
        } else {
            0.0
        };
        self.saved = self.saved.min(self.capacity());
    }

    /// Returns the time until a request may be sent; `None` if this process has no part.
    pub fn wait(&self, now: Moment) -> Option<Duration> {
        let saved = self.saved_at(now);
        if saved >= 1.0 {
            return Some(Duration::ZERO);
        }
        (self.part > 0.0).then(|| Duration::from_secs_f64(((1.0 - saved) / self.part).min(1e6)))
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Moment) {
        self.refill(now);
        self.saved -= 1.0;
    }

    fn refill(&mut self, now: Moment) {
        self.saved = self.saved_at(now);
        self.updated_at = now;
    }

    fn saved_at(&self, now: Moment) -> f64 {
        let gained = self.part * now.since(self.updated_at).as_secs_f64();
        (self.saved + gained).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        (self.part * SAVED_TIME).max(1.0)
    }
}
