//! The budget of this process for paths that cross from one failure domain to another.
//!
//! All requests that cross share the bandwidth between domains, one transfer after another. When more
//! cross than it carries, each of them waits for all before it, none is answered in time, and sending
//! them again elsewhere only lengthens the queue. Each process therefore has an even part of the rate,
//! and lowers it when its crossing requests begin late.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::deployment::Engine;

/// For how long a part of the rate that isn't used is kept.
const SAVED_TIME: f64 = 0.5;
/// The factor on the rate after a crossing request that began late.
const LATE_FACTOR: f64 = 0.5;
/// What a crossing request that began in time adds to the factor.
const IN_TIME_STEP: f64 = 0.1;
/// What a second without a late request adds to the factor; few requests cross once the cause is gone.
const RECOVERY_RATE: f64 = 0.4;
/// The least factor, so that a request now and then shows whether there is room again.
const MIN_FACTOR: f64 = 0.05;
/// The interval between two reductions; requests that were late for the same reason reduce the rate
/// once.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(400);
/// The crossings per second and server below which crossings are scarce; set by
/// `docs/design/load-control.md`, parts 3 and 4.
const SCARCE_CROSSINGS: f64 = 3.0;

/// Returns how many crossings a second the bandwidth between `domains` failure domains carries for all
/// processes together.
pub fn crossing_capacity(engine: &Engine, domains: usize) -> f64 {
    let pairs = (domains * domains.saturating_sub(1) / 2).max(1) as f64;
    let tokens = engine.mean_prompt + engine.mean_answer;
    let bits = tokens * engine.activation_bytes * 8.0;
    pairs * engine.pipe_mbps * 1e6 / bits.max(1.0)
}

/// Returns whether the bandwidth between `domains` failure domains carries so few crossings that those of
/// a service with `servers` servers can't make up for a lost part of a domain.
///
/// The placement by capacity of each domain and the shares that follow demand are in use only then.
pub fn are_crossings_scarce(engine: &Engine, servers: usize, domains: usize) -> bool {
    if servers == 0 || domains < 2 {
        return false;
    }
    crossing_capacity(engine, domains) / (servers as f64) < SCARCE_CROSSINGS
}

/// The crossings that this process may still use.
#[derive(Clone, Copy, Debug)]
pub struct CrossingBudget {
    saved: f64,
    factor: f64,
    updated_at: Moment,
    reduced_at: Option<Moment>,
}

impl CrossingBudget {
    /// Creates the budget of a process that has just started. It has nothing saved, as its predecessor may have
    /// used what it had.
    pub fn new(now: Moment) -> Self {
        CrossingBudget {
            saved: 0.0,
            factor: 1.0,
            updated_at: now,
            reduced_at: None,
        }
    }

    /// Takes the crossings of one path out of the budget; tells whether they were there. `rate` is this
    /// process's part of the capacity, in crossings a second.
    pub fn take(&mut self, now: Moment, rate: f64, crossings: u32) -> bool {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.factor = (self.factor + RECOVERY_RATE * elapsed).min(1.0);
        let rate = rate * self.factor;
        let gained = rate * elapsed;
        let capacity = (rate * SAVED_TIME).max(1.0);
        self.saved = (self.saved + gained).min(capacity);
        self.updated_at = now;
        // A path with more crossings than are ever saved leaves a debt.
        let is_allowed = self.saved >= f64::from(crossings).min(capacity);
        if is_allowed {
            self.saved -= f64::from(crossings);
        }
        is_allowed
    }

    /// Records whether a request that crosses began in time.
    pub fn record_start(&mut self, now: Moment, in_time: bool) {
        if in_time {
            self.factor = (self.factor + IN_TIME_STEP).min(1.0);
            return;
        }
        let is_due = self
            .reduced_at
            .is_none_or(|at| now.since(at) >= REDUCTION_INTERVAL);
        if is_due {
            self.factor = (self.factor * LATE_FACTOR).max(MIN_FACTOR);
            self.reduced_at = Some(now);
        }
    }

    /// Records that an attempt that crosses ended without an event after `waited`. One that was refused at
    /// once, as a server is full, says nothing of the bandwidth.
    pub fn record_no_start(&mut self, now: Moment, waited: Duration, target: Duration) {
        if waited >= target {
            self.record_start(now, false);
        }
    }
}
