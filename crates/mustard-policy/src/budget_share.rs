//! The part of a retry budget, common to all processes, that one process may spend.
//!
//! In each window all processes together may retry a share of the requests plus a fixed number. Nobody
//! grants anything: each process earns retries, by its own requests and by time, and saves what it doesn't
//! spend up to a limit. A process starts with nothing saved, so a predecessor's spending needs no record:
//! what a process saved is gone with it. The retries of a window are at most what was saved at its begin plus
//! what was earned in it, however often processes end, start or take over each other's requests.
//!
//! The fixed number is divided by the largest number of processes ever counted, and not at all before
//! that number is known. Design: `docs/design/retry-budget.md`.

use std::collections::VecDeque;
use std::time::Duration;

use mustard_core::clock::Moment;

/// The part of the budget that is used. The rest covers requests that are counted late, as a process was
/// suspended, and processes that others don't know of yet.
const USED_PART: f64 = 0.95;
/// The part of what the requests of a window allow that may be saved; the rest is earned as they arrive.
const SAVED_RATIO: f64 = 0.3;
/// The part of the fixed number that may be saved; the rest is earned evenly over a window.
const SAVED_SLACK: f64 = 0.6;
/// The part of what is earned, and of what is saved, that second copies may use, so that failed requests can
/// still be sent again.
const COPY_PART: f64 = 0.5;

/// The retry budget of all processes together.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The retries allowed per request.
    pub ratio: f64,
    /// The retries allowed on top in each window, over all processes.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// What a process spent of a retry budget since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The requests, each of which adds its share.
    pub requests: u64,
    /// The retries that were allowed.
    pub retries: u64,
    /// The second copies that were allowed.
    pub copies: u64,
    /// The retries and second copies that were refused.
    pub refused: u64,
}

/// The retries that one process may spend.
#[derive(Clone, Debug)]
pub struct RetryBudgetShare {
    budget: Budget,
    /// The largest number of processes ever counted; `None` until one is known.
    processes: Option<usize>,
    /// The retries and second copies that may be spent now.
    saved: f64,
    /// The second copies among them.
    copies: f64,
    /// Until when the fixed number is contained in `saved`.
    earned_until: Moment,
    /// When the requests of the last window arrived.
    requests: VecDeque<Moment>,
    usage: Usage,
}

impl RetryBudgetShare {
    /// Creates the share of a process that has just started.
    pub fn new(budget: Budget, now: Moment) -> Self {
        RetryBudgetShare {
            budget,
            processes: None,
            saved: 0.0,
            copies: 0.0,
            earned_until: now,
            requests: VecDeque::new(),
            usage: Usage::default(),
        }
    }

    /// Records the number of processes counted; a smaller one than before changes nothing.
    pub fn observe_processes(&mut self, processes: usize) {
        self.processes = self.processes.max(Some(processes.max(1)));
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Moment) {
        self.requests.push_back(now);
        self.earn((1.0 - SAVED_RATIO) * USED_PART * self.budget.ratio);
        self.usage.requests += 1;
        self.advance(now);
    }

    /// Takes one retry out of the share; returns whether there was one.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.advance(now);
        if self.saved < 1.0 {
            self.usage.refused += 1;
            return false;
        }
        self.saved -= 1.0;
        self.copies = self.copies.min(COPY_PART * self.saved);
        self.usage.retries += 1;
        true
    }

    /// Takes one second copy of a slow request out of the share; returns whether there was one.
    pub fn try_spend_copy(&mut self, now: Moment) -> bool {
        self.advance(now);
        if !self.has_copy() {
            self.usage.refused += 1;
            return false;
        }
        self.saved -= 1.0;
        self.copies -= 1.0;
        self.usage.copies += 1;
        true
    }

    /// Returns whether there is a second copy in the share, as of the last change.
    pub fn has_copy(&self) -> bool {
        self.copies >= 1.0
    }

    /// Returns the retries that may be spent, as of the last change.
    pub fn remaining(&self) -> f64 {
        self.saved
    }

    /// Adds what was earned by time.
    pub fn advance(&mut self, now: Moment) {
        let window_start = now - self.budget.window;
        while self.requests.front().is_some_and(|t| *t < window_start) {
            self.requests.pop_front();
        }
        if self.processes.is_some() {
            let windows =
                now.since(self.earned_until).as_secs_f64() / self.budget.window.as_secs_f64();
            self.earn((1.0 - SAVED_SLACK) * self.fixed_part() * windows);
            self.earned_until = now;
        }
        self.saved = self.saved.min(self.capacity());
        self.copies = self.copies.min(COPY_PART * self.saved);
    }

    /// Returns what was spent since the process started.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns the number of processes among which the fixed number is divided, if it is known.
    pub fn processes(&self) -> Option<usize> {
        self.processes
    }

    fn earn(&mut self, retries: f64) {
        self.saved += retries;
        self.copies += COPY_PART * retries;
    }

    /// Returns the most that may be saved.
    fn capacity(&self) -> f64 {
        let by_requests = USED_PART * self.budget.ratio * self.requests.len() as f64;
        SAVED_RATIO * by_requests + SAVED_SLACK * self.fixed_part()
    }

    /// Returns the part of the fixed number that this process may spend in a window.
    fn fixed_part(&self) -> f64 {
        let processes = self.processes.map_or(f64::INFINITY, |n| n as f64);
        USED_PART * self.budget.slack / processes
    }
}
