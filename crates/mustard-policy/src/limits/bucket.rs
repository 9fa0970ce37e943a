//! A token bucket.

use mustard_core::clock::Moment;

/// A token bucket; rate and size are passed to each refill, since limits may change.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
    refilled: Moment,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(super) fn empty(now: Moment) -> Self {
        TokenBucket {
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Adds the tokens earned since the last refill and returns the number of whole tokens.
    pub(super) fn refill(&mut self, now: Moment, rate: f64, size: f64) -> u32 {
        let earned = now.since(self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(size.max(1.0));
        self.refilled = self.refilled.max(now);
        self.tokens as u32
    }

    /// Removes tokens, at most as many as [`TokenBucket::refill`] returned.
    pub(super) fn take_tokens(&mut self, tokens: u32) {
        self.tokens -= f64::from(tokens);
    }
}
