//! A retry budget that limits the retries of one process to a share of its first attempts;
//! [`budget_share`](crate::budget_share) limits those of all processes together.

/// Allows retries in proportion to first attempts, plus a small reserve.
///
/// Retries multiply the load of servers that are failing already; with a share of 0.1 they add at
/// most a tenth.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget that starts with `reserve` retries and earns `share` of a retry per first
    /// attempt, up to `reserve`.
    pub fn new(share: f64, reserve: f64) -> Self {
        RetryBudget {
            share,
            reserve,
            balance: reserve,
        }
    }

    /// Adds the share earned by a first attempt.
    pub fn record_attempt(&mut self) {
        self.balance = (self.balance + self.share).min(self.reserve);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
