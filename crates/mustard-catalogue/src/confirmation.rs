//! Records when the table or a peer last confirmed that the catalogue in force is the newest.
//!
//! New work starts only under a catalogue that was confirmed within a limit, so that a process that
//! is cut off from all others stops accepting work under an old one.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Stands for a confirmation that never happened; times start at 1 ms.
const NEVER: u64 = 0;

/// Whether new work may start under the catalogue in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationState {
    /// It may: the table or a peer has confirmed the catalogue within the limit.
    Confirmed,
    /// It may not: the last confirmation is older than the limit.
    Unconfirmed {
        /// The time since the last confirmation.
        age: Duration,
    },
    /// It may not: there was no confirmation since the process started.
    NeverConfirmed,
}

/// Times of the last confirmations, shared by all threads without a lock.
///
/// Two times are kept, in milliseconds since the start. `newest_at` is when the catalogue was last
/// known to be the newest: the table shows it directly, and a peer reports how long ago it knew
/// this of its own. `contact_at` is when the table, or a peer whose catalogue was ever confirmed,
/// last answered. [`ConfirmationState`] depends on `contact_at` only: the table alone accepts
/// changes, so while it is down for all processes no newer catalogue can appear, and an old
/// `newest_at` does no harm.
#[derive(Debug)]
pub struct Confirmations {
    start: Instant,
    newest_at: AtomicU64,
    contact_at: AtomicU64,
}

impl Default for Confirmations {
    fn default() -> Self {
        Confirmations {
            start: Instant::now(),
            newest_at: AtomicU64::new(NEVER),
            contact_at: AtomicU64::new(NEVER),
        }
    }
}

impl Confirmations {
    /// Records that the table showed this catalogue to be the newest.
    pub fn record_table(&self) {
        let now_ms = self.now_ms();
        self.newest_at.fetch_max(now_ms, Ordering::AcqRel);
        self.contact_at.fetch_max(now_ms, Ordering::AcqRel);
    }

    /// Records that a peer showed this catalogue to be at least as new as its own.
    ///
    /// `age_ms` is how long ago the peer last knew its catalogue to be the newest; a peer that
    /// never did (`None`) confirms nothing.
    pub fn record_peer(&self, age_ms: Option<u64>) {
        let Some(age) = age_ms else { return };
        let now_ms = self.now_ms();
        // The peer may have been confirmed before this process started.
        let newest_at = now_ms.saturating_sub(age).max(1);
        self.newest_at.fetch_max(newest_at, Ordering::AcqRel);
        self.contact_at.fetch_max(now_ms, Ordering::AcqRel);
    }

    /// Returns the milliseconds since the catalogue was last known to be the newest, or `None` if
    /// it never was.
    pub fn age_ms(&self) -> Option<u64> {
        match self.newest_at.load(Ordering::Acquire) {
            NEVER => None,
            at => Some(self.now_ms().saturating_sub(at)),
        }
    }

    /// Returns whether new work may start; `limit` is the longest time without a confirmation.
    pub fn state(&self, limit: Duration) -> ConfirmationState {
        match self.contact_at.load(Ordering::Acquire) {
            NEVER => ConfirmationState::NeverConfirmed,
            at => {
                let age = Duration::from_millis(self.now_ms().saturating_sub(at));
                if age <= limit {
                    ConfirmationState::Confirmed
                } else {
                    ConfirmationState::Unconfirmed { age }
                }
            }
        }
    }

    /// Returns the milliseconds since the start, counted from 1 because 0 is [`NEVER`].
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }
}
