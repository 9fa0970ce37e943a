//! A token bucket.

use mustard_core::clock::Moment;

/// Fills at a rate up to a size.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    filled: Moment,
}

impl Bucket {
    /// Creates an empty bucket.
    pub(super) fn empty(now: Moment) -> Self {
        Bucket {
            tokens: 0.0,
            filled: now,
        }
    }

    /// Fills up to now and returns the whole tokens.
    pub(super) fn fill(&mut self, now: Moment, rate: f64, size: f64) -> u32 {
        let earned = now.since(self.filled).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(size.max(1.0));
        self.filled = self.filled.max(now);
        self.tokens as u32
    }

    /// Takes tokens that [`Bucket::fill`] returned.
    pub(super) fn take(&mut self, tokens: u32) {
        self.tokens -= f64::from(tokens);
    }
}
