//! Waiting for a condition.

use std::thread;
use std::time::{Duration, Instant};

use crate::errors::{Result, TestError};

/// The limit of every wait; it only ends tests that fail.
pub const GENEROUS: Duration = Duration::from_secs(30);

const PAUSE: Duration = Duration::from_millis(20);

/// Waits until a condition yields a value.
///
/// # Errors
///
/// Returns [`TestError::TimedOut`] with the name of the condition after [`GENEROUS`].
pub fn eventually<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> Result<T> {
    let end = Instant::now() + GENEROUS;
    while Instant::now() < end {
        if let Some(value) = condition() {
            return Ok(value);
        }
        thread::sleep(PAUSE);
    }
    Err(TestError::TimedOut(what.to_owned()))
}
