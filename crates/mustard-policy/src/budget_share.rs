//! The part of a retry budget, common to all processes, that one process may spend.
//!
//! In each window all processes together may retry a share of the requests plus a fixed number.
//! The share is taken of each process's own requests; the fixed number is divided by the number
//! of processes. A process that sees too few others would take too large a part, so the largest
//! number of processes that it ever counted stays in force.

use std::collections::VecDeque;
use std::time::Duration;

use mustard_core::clock::Moment;

/// The largest part of its share that a process spends. The rest is a margin, since the windows of
/// different processes don't align.
const MAX_SPENT_SHARE: f64 = 0.8;
/// The part of what retries leave of the share that second copies may use, so that failed requests can still
/// be sent again.
const MAX_COPY_SHARE: f64 = 0.5;

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

/// The requests and retries of one process within the window.
#[derive(Clone, Debug)]
pub struct RetryBudgetShare {
    budget: Budget,
    /// The largest number of processes ever counted.
    processes: usize,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
    /// The second copies of slow requests; they count as retries too.
    copies: VecDeque<Moment>,
    usage: Usage,
}

impl RetryBudgetShare {
    /// Creates the share of one of `processes` processes.
    pub fn new(budget: Budget, processes: usize) -> Self {
        RetryBudgetShare {
            budget,
            processes: processes.max(1),
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            copies: VecDeque::new(),
            usage: Usage::default(),
        }
    }

    /// Records the number of processes counted; a smaller one than before changes nothing.
    pub fn observe_processes(&mut self, processes: usize) {
        self.processes = self.processes.max(processes);
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Moment) {
        self.remove_expired(now);
        self.requests.push_back(now);
        self.usage.requests += 1;
    }

    /// Takes one retry out of the share; returns whether there was one.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.remove_expired(now);
        if self.remaining() < 1.0 {
            self.usage.refused += 1;
            return false;
        }
        self.retries.push_back(now);
        self.usage.retries += 1;
        true
    }

    /// Takes one second copy of a slow request out of the share; returns whether there was one.
    pub fn try_spend_copy(&mut self, now: Moment) -> bool {
        self.remove_expired(now);
        let has_copy = self.has_copy();
        if has_copy {
            self.copies.push_back(now);
            self.usage.copies += 1;
        } else {
            self.usage.refused += 1;
        }
        has_copy
    }

    /// Returns whether there is a second copy in the share, as of the last change.
    pub fn has_copy(&self) -> bool {
        let copies = self.copies.len() as f64;
        let without_copies = self.remaining() + copies;
        copies + 1.0 <= without_copies * MAX_COPY_SHARE
    }

    /// Returns the retries left in this window; negative if more were spent than is allowed now.
    pub fn remaining(&self) -> f64 {
        let earned = self.budget.ratio * self.requests.len() as f64;
        let fixed_part = self.budget.slack / self.processes as f64;
        let spent = self.retries.len() + self.copies.len();
        (earned + fixed_part) * MAX_SPENT_SHARE - spent as f64
    }

    /// Returns what was spent since the process started.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns the number of processes among which the fixed number is divided.
    pub fn processes(&self) -> usize {
        self.processes
    }

    fn remove_expired(&mut self, now: Moment) {
        let window_start = now - self.budget.window;
        for times in [&mut self.requests, &mut self.retries, &mut self.copies] {
            while times.front().is_some_and(|t| *t < window_start) {
                times.pop_front();
            }
        }
    }
}
