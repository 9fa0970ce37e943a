//! Rate limits on calls and on bytes.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A token bucket: limits calls per second and allows a burst of one second's calls.
#[derive(Debug)]
pub(super) struct TokenBucket {
    rate: f64,
    // The tokens left and the time of that count.
    state: Mutex<(f64, Instant)>,
}

impl TokenBucket {
    pub(super) fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        TokenBucket {
            rate,
            state: Mutex::new((rate, Instant::now())),
        }
    }

    /// Takes one token if there is one; tells whether it did.
    pub(super) fn try_take(&self) -> bool {
        let mut state = lock(&self.state);
        let (left, at) = *state;
        let now = Instant::now();
        let available = (left + now.duration_since(at).as_secs_f64() * self.rate).min(self.rate);
        let taken = available >= 1.0;
        *state = (if taken { available - 1.0 } else { available }, now);
        taken
    }
}

/// A limit on bytes per second; senders wait in the order in which they reserve.
#[derive(Debug)]
pub(super) struct Bandwidth {
    rate: u64,
    free_at: Mutex<Instant>,
}

impl Bandwidth {
    pub(super) fn new(rate: u64) -> Self {
        Bandwidth {
            rate: rate.max(1),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Reserves the transfer of some bytes; returns the time until it ends.
    pub(super) fn reserve(&self, bytes: u64) -> Duration {
        let mut free_at = lock(&self.free_at);
        let now = Instant::now();
        let time = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        *free_at = (*free_at).max(now) + time;
        free_at.duration_since(now)
    }
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
