//! Which clearances are to be kept beside the strikes that they answer.
//!
//! Strikes outlast the processes that saw them, so what clears them has to. Most runs that go well answer no strike,
//! and a run of a frequent content answers the same one as the run before.

use std::hash::Hash;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

/// How much later a run has to be than the last one that was recorded, if it ran well before a strike and only shows
/// that more of them are needed.
const PROOF_INTERVAL: Duration = Duration::from_secs(10);
/// The most contents whose last clearance is remembered; without it one is recorded once more.
const CAPACITY: usize = 4_096;

/// The clearances of contents that arose in this process.
#[derive(Clone, Debug)]
pub struct ClearanceLog<K> {
    /// The newest clearance of each content that was recorded.
    recorded: Map<K, Moment>,
    /// Those that weren't taken yet.
    fresh: Map<K, Moment>,
}

impl<K> Default for ClearanceLog<K> {
    fn default() -> Self {
        ClearanceLog {
            recorded: Map::default(),
            fresh: Map::default(),
        }
    }
}

impl<K: Copy + Eq + Hash> ClearanceLog<K> {
    /// Records that a content with strikes ran well.
    pub fn record(&mut self, content: K, at: Moment) {
        if self.recorded.len() >= CAPACITY {
            self.recorded.clear();
        }
        self.recorded.insert(content, at);
        let fresh = self.fresh.entry(content).or_insert(at);
        *fresh = at.max(*fresh);
    }

    /// Records that a content had run well at `proven` when a strike for a death at `strike_at` came.
    pub fn record_proof(&mut self, content: K, proven: Moment, strike_at: Moment) {
        let known = self.recorded.get(&content).copied();
        let is_known = known.is_some_and(|known| {
            if proven >= strike_at {
                known >= strike_at
            } else {
                known + PROOF_INTERVAL > proven
            }
        });
        if !is_known {
            self.record(content, proven);
        }
    }

    /// Returns whether there are clearances that weren't taken yet.
    pub fn is_empty(&self) -> bool {
        self.fresh.is_empty()
    }

    /// Removes the clearances that weren't taken yet, and returns them.
    pub fn take(&mut self) -> Vec<(K, Moment)> {
        self.fresh.drain().collect()
    }
}
