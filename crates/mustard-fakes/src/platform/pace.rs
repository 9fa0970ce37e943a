//! Limits on rates.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A limit on calls per second, with a burst of one second.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: f64,
    state: Mutex<(f64, Instant)>,
}

impl Bucket {
    pub(super) fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Bucket {
            rate,
            state: Mutex::new((rate, Instant::now())),
        }
    }

    /// Takes one call, unless the rate is used up.
    pub(super) fn take(&self) -> bool {
        let mut state = lock(&self.state);
        let (left, at) = *state;
        let now = Instant::now();
        let filled = (left + now.duration_since(at).as_secs_f64() * self.rate).min(self.rate);
        let taken = filled >= 1.0;
        *state = (if taken { filled - 1.0 } else { filled }, now);
        taken
    }
}

/// A limit on bytes per second that delays the sender.
#[derive(Debug)]
pub(super) struct Pipe {
    rate: u64,
    free_at: Mutex<Instant>,
}

impl Pipe {
    pub(super) fn new(rate: u64) -> Self {
        Pipe {
            rate: rate.max(1),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Returns how long the sender has to wait until its bytes have passed.
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
