//! When a second copy of a slow call may be sent, and how often.

use std::time::Duration;

use mustard_core::catalogue::Class;

use crate::learn::Quantile;
use crate::retry::RetryBudget;

const SHARE: f32 = 0.95;
const STEP: f32 = 0.02;
const LOW: f32 = 0.05;
const HIGH: f32 = 50.0;
const BUDGET_SHARE: f64 = 0.05;
const BUDGET_RESERVE: f64 = 5.0;

/// Decides on hedges: a call that may be repeated is sent a second time, to another server,
/// once it takes longer than 95 in 100 do, for at most 5 in 100 calls.
#[derive(Debug)]
pub struct Hedge {
    usual: f32,
    ratio: Quantile,
    budget: RetryBudget,
}

impl Hedge {
    /// Creates a decider that expects calls to take `usual` at first.
    pub fn new(usual: Duration) -> Self {
        Hedge {
            usual: usual.as_micros().max(1) as f32,
            ratio: Quantile::new(SHARE, STEP, LOW, HIGH),
            budget: RetryBudget::new(BUDGET_SHARE, BUDGET_RESERVE),
        }
    }

    /// Returns how long to wait before a second copy, if the class allows one.
    pub fn delay(&self, class: Class, repeatable: bool) -> Option<Duration> {
        let allowed = repeatable && class != Class::Batch;
        let us = self.usual * self.ratio.get();
        allowed.then(|| Duration::from_micros(us as u64))
    }

    /// Asks to send a second copy now; tells whether the budget allows it.
    pub fn spend(&mut self) -> bool {
        self.budget.spend()
    }

    /// Takes in the time of a call.
    pub fn observe(&mut self, took: Duration) {
        self.budget.earn();
        self.ratio.observe(took.as_micros() as f32 / self.usual);
    }
}
