//! Monotonic and wall-clock time. The crate `mustard-policy` reads no clock;
//! its callers pass the current time in.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point of monotonic time, in microseconds since an arbitrary origin of this process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the moment the given number of milliseconds after the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Moment(ms * 1_000)
    }

    /// Returns the time elapsed since another moment, or zero if that moment is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the whole milliseconds elapsed since another moment, or zero if that moment is
    /// later.
    pub fn ms_since(self, earlier: Moment) -> u64 {
        self.since(earlier).as_millis() as u64
    }

    /// Returns the time left until another moment, or zero if that moment has passed.
    pub fn until(self, later: Moment) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, d: Duration) -> Moment {
        Moment(self.0.saturating_add(d.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, d: Duration) -> Moment {
        Moment(self.0.saturating_sub(d.as_micros() as u64))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Moment;

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64;
}

/// The clock of the operating system.
///
/// Its monotonic time also counts while the machine is suspended, so that a lease, a confirmed
/// configuration or a deadline that ends meanwhile has ended when the process goes on.
#[derive(Clone, Debug)]
pub struct SystemClock {
    created: Duration,
}

/// How long before the creation of the clock the origin of its moments lies, so that the age of
/// something that happened before can be subtracted from the current time.
const ORIGIN_OFFSET: Duration = Duration::from_secs(3_600);

impl Default for SystemClock {
    fn default() -> Self {
        SystemClock {
            created: time_since_boot(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        let elapsed = time_since_boot().saturating_sub(self.created);
        Moment((ORIGIN_OFFSET + elapsed).as_micros() as u64)
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64)
    }
}

/// Returns the time since the machine booted, suspended time included.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
