//! Hybrid logical clock: wall time that never runs backwards and respects message order.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

const COUNT_BITS: u32 = 16;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// A timestamp: 48 bits of wall milliseconds above a 16 bit counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Hlc(pub u64);

impl Hlc {
    /// Returns the wall part, in milliseconds since the Unix epoch.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNT_BITS
    }

    /// Returns the counter that orders events of one millisecond.
    pub fn count(self) -> u64 {
        self.0 & COUNT_MASK
    }
}

impl fmt::Display for Hlc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.wall_ms(), self.count())
    }
}

/// Issues timestamps of one process; shared by all its threads without a lock.
#[derive(Debug, Default)]
pub struct HlcClock {
    last: AtomicU64,
}

impl HlcClock {
    /// Returns a timestamp later than every earlier one of this process.
    pub fn tick(&self, wall_ms: u64) -> Hlc {
        let wall = wall_ms << COUNT_BITS;
        let previous = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| {
                Some(wall.max(last + 1))
            });
        Hlc(wall.max(previous.unwrap_or_default() + 1))
    }

    /// Takes in the timestamp of a received message.
    pub fn observe(&self, remote: Hlc) {
        self.last.fetch_max(remote.0, Ordering::AcqRel);
    }
}
