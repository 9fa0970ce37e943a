//! Hedged calls: when a second copy of a slow call may be sent, and how often.

use std::time::Duration;

use mustard_core::catalogue::Class;

use crate::estimators::QuantileEstimator;
use crate::retry::RetryBudget;

/// The share of calls that end before a second copy would be sent.
const DELAY_QUANTILE: f32 = 0.95;
/// The step of the ratio's quantile estimator.
const RATIO_STEP: f32 = 0.02;
const MIN_RATIO: f32 = 0.05;
const MAX_RATIO: f32 = 50.0;
/// The second copies that each call adds to the budget.
const BUDGET_SHARE: f64 = 0.05;
/// The second copies in the budget at the start, which are also the most it can hold.
const BUDGET_RESERVE: f64 = 5.0;

/// Decides when to hedge: a repeatable call is sent a second time, to another server, once it has
/// taken longer than 95 in 100 calls do. At most 5 in 100 calls get a second copy, plus a few from
/// the budget's reserve.
#[derive(Debug)]
pub struct HedgePolicy {
    expected_us: f32,
    /// The ratio of actual to expected times at the quantile.
    ratio: QuantileEstimator,
    budget: RetryBudget,
}

impl HedgePolicy {
    /// Creates a policy whose first delay is `expected`, the time that a call usually takes.
    pub fn new(expected: Duration) -> Self {
        HedgePolicy {
            expected_us: expected.as_micros().max(1) as f32,
            ratio: QuantileEstimator::new(DELAY_QUANTILE, RATIO_STEP, MIN_RATIO, MAX_RATIO),
            budget: RetryBudget::new(BUDGET_SHARE, BUDGET_RESERVE),
        }
    }

    /// Returns how long to wait before a second copy is sent; none if the call
    /// isn't repeatable or has the class [`Class::Batch`].
    pub fn delay(&self, class: Class, repeatable: bool) -> Option<Duration> {
        let allowed = repeatable && class != Class::Batch;
        let us = self.expected_us * self.ratio.get();
        allowed.then(|| Duration::from_micros(us as u64))
    }

    /// Takes one second copy out of the budget; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        self.budget.try_spend()
    }

    /// Records the time that a call took, and adds its share of a second copy to the budget.
    pub fn observe(&mut self, actual: Duration) {
        self.budget.record_attempt();
        self.ratio
            .observe(actual.as_micros() as f32 / self.expected_us);
    }
}
