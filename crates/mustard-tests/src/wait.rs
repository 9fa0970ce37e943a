//! Polls a condition until it is met.

use std::thread;
use std::time::{Duration, Instant};

use crate::errors::{Result, TestError};

/// The time limit of each wait; long, since only failing tests reach it.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition until it returns a value; `what` names it in the error.
///
/// # Errors
///
/// Returns [`TestError::TimedOut`] with the name of the condition after [`WAIT_LIMIT`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> Result<T> {
    let deadline = Instant::now() + WAIT_LIMIT;
    while Instant::now() < deadline {
        if let Some(value) = condition() {
            return Ok(value);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(TestError::TimedOut(what.to_owned()))
}
