//! The share of a common retry budget that one process may spend.
//!
//! All processes together may repeat a share of the requests in each window plus a fixed number.
//! The share follows each process's own requests; the fixed number is divided by the number of
//! processes. No process takes more because it sees few others: the largest number that it ever
//! counted stays in force.

use std::collections::VecDeque;
use std::time::Duration;

use mustard_core::clock::Moment;

/// The part of the budget that is spent at most; windows of different processes don't line up.
const MARGIN: f64 = 0.8;

/// Settings of the budget.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries on top in each window, over all processes.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Counts requests and retries of one process.
#[derive(Clone, Debug)]
pub struct Allowance {
    budget: Budget,
    processes: usize,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl Allowance {
    /// Creates the allowance of one of `processes` processes.
    pub fn new(budget: Budget, processes: usize) -> Self {
        Allowance {
            budget,
            processes: processes.max(1),
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Takes in the number of processes that were counted.
    pub fn share(&mut self, processes: usize) {
        self.processes = self.processes.max(processes);
    }

    /// Takes in a request.
    pub fn request(&mut self, now: Moment) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a retry out of the budget; tells whether it is allowed.
    pub fn spend(&mut self, now: Moment) -> bool {
        self.expire(now);
        if self.left() < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the retries left in this window.
    pub fn left(&self) -> f64 {
        let earned = self.budget.ratio * self.requests.len() as f64;
        let fixed = self.budget.slack / self.processes as f64;
        (earned + fixed) * MARGIN - self.retries.len() as f64
    }

    fn expire(&mut self, now: Moment) {
        let start = now - self.budget.window;
        for list in [&mut self.requests, &mut self.retries] {
            while list.front().is_some_and(|t| *t < start) {
                list.pop_front();
            }
        }
    }
}
