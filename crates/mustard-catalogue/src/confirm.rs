//! How long ago this process last knew its catalogue to be the newest.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

const NEVER: u64 = 0;

/// Whether new work may start under the catalogue in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The table or a peer confirmed it recently.
    Confirmed,
    /// No process has confirmed it for longer than the limit.
    Lost {
        /// The time since the last confirmation.
        age: Duration,
    },
    /// It was never confirmed since the process started.
    Never,
}

/// Times of the last confirmations, shared by all threads without a lock.
///
/// Two times are kept. `known` is when the catalogue was last known to be the newest; it is
/// learned from the table or, with its age, from a peer. `contact` is when the table or a peer
/// that has ever known last answered. Only the table accepts changes, so during an outage of the
/// table that all processes see `known` grows old without harm, and `contact` decides.
#[derive(Debug)]
pub struct Confirm {
    origin: Instant,
    known: AtomicU64,
    contact: AtomicU64,
}

impl Default for Confirm {
    fn default() -> Self {
        Confirm {
            origin: Instant::now(),
            known: AtomicU64::new(NEVER),
            contact: AtomicU64::new(NEVER),
        }
    }
}

impl Confirm {
    /// Records that the table showed this catalogue to be the newest.
    pub fn by_table(&self) {
        let now = self.now();
        self.known.fetch_max(now, Ordering::AcqRel);
        self.contact.fetch_max(now, Ordering::AcqRel);
    }

    /// Records that a peer showed this catalogue to be as new as its own.
    ///
    /// `age_ms` is how long ago the peer knew its own to be the newest; a peer that never knew
    /// confirms nothing.
    pub fn by_peer(&self, age_ms: Option<u64>) {
        let Some(age) = age_ms else { return };
        let now = self.now();
        // A peer's knowledge may be older than this process.
        let known = now.saturating_sub(age).max(1);
        self.known.fetch_max(known, Ordering::AcqRel);
        self.contact.fetch_max(now, Ordering::AcqRel);
    }

    /// Returns how long ago, in milliseconds, the catalogue was known to be the newest.
    pub fn age_ms(&self) -> Option<u64> {
        match self.known.load(Ordering::Acquire) {
            NEVER => None,
            at => Some(self.now().saturating_sub(at)),
        }
    }

    /// Tells whether new work may start, given the longest time without contact.
    pub fn standing(&self, limit: Duration) -> Standing {
        match self.contact.load(Ordering::Acquire) {
            NEVER => Standing::Never,
            at => {
                let age = Duration::from_millis(self.now().saturating_sub(at));
                if age <= limit {
                    Standing::Confirmed
                } else {
                    Standing::Lost { age }
                }
            }
        }
    }

    fn now(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64 + 1
    }
}
