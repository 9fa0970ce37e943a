//! A hybrid logical clock: timestamps close to wall-clock time that never go backwards and that
//! order a message's receipt after its sending.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

const COUNTER_BITS: u32 = 16;
const COUNTER_MASK: u64 = (1 << COUNTER_BITS) - 1;

/// A timestamp: 48 bits of wall-clock milliseconds above a 16 bit counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Hlc(pub u64);

impl Hlc {
    /// Returns the wall-clock part, in milliseconds since the Unix epoch.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the counter that orders timestamps of the same millisecond.
    pub fn count(self) -> u64 {
        self.0 & COUNTER_MASK
    }
}

impl fmt::Display for Hlc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.wall_ms(), self.count())
    }
}

/// Issues the timestamps of one process; threads share it without a lock.
#[derive(Debug, Default)]
pub struct HlcClock {
    last: AtomicU64,
}

impl HlcClock {
    /// Returns a timestamp later than every earlier one of this process.
    pub fn tick(&self, wall_ms: u64) -> Hlc {
        let wall = wall_ms << COUNTER_BITS;
        let previous = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| {
                Some(wall.max(last + 1))
            });
        Hlc(wall.max(previous.unwrap_or_default() + 1))
    }

    /// Advances the clock to the timestamp of a received message, if that is later.
    pub fn observe(&self, remote: Hlc) {
        self.last.fetch_max(remote.0, Ordering::AcqRel);
    }
}
