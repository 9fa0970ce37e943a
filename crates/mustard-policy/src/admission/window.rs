//! The number of requests that run at once, by feedback from the times between tokens.

use std::time::Duration;

use mustard_core::clock::Moment;

/// The share of times between tokens that may be late.
const LATE_SHARE: f64 = 0.04;
/// The times between tokens, and the time, that one correction looks at.
const MIN_COUNT: u32 = 50;
const MIN_TIME: Duration = Duration::from_millis(100);
const START: f64 = 32.0;
const LEAST: f64 = 4.0;
const MOST: f64 = 1e6;
/// The part by which the window grows with each correction until tokens come late at first.
const FIRST_GROWTH: f64 = 0.5;
/// The part by which it grows later, while far fewer tokens are late than may be.
const FAR_GROWTH: f64 = 0.05;
/// The part of the allowed share of late tokens that counts as far fewer.
const FAR: f64 = 0.3;
/// The number by which it grows otherwise.
const NEAR_GROWTH: f64 = 2.0;
/// The part by which the window shrinks when twice the allowed share of tokens is late.
const SHRINK: f64 = 0.05;
/// The part of the window that must be in use for it to grow.
const IN_USE: f64 = 0.8;

/// Grows by a constant while tokens come in time and shrinks by a part of itself when too many
/// are late, so that the windows of entry processes with the same servers become equal.
#[derive(Debug)]
pub(super) struct Window {
    size: f64,
    probing: bool,
    count: u32,
    late: u32,
    peak: usize,
    since: Moment,
}

impl Window {
    pub(super) fn new() -> Self {
        Window {
            size: START,
            probing: true,
            count: 0,
            late: 0,
            peak: 0,
            since: Moment::default(),
        }
    }

    /// Returns the number of requests that may run at once.
    pub(super) fn size(&self) -> usize {
        self.size as usize
    }

    /// Takes in a time between two tokens, late or not, with `running` requests.
    pub(super) fn observe(&mut self, now: Moment, late: bool, running: usize) {
        self.count += 1;
        self.late += u32::from(late);
        self.peak = self.peak.max(running);
        if self.count < MIN_COUNT || now.since(self.since) < MIN_TIME {
            return;
        }
        self.correct();
        (self.count, self.late, self.peak) = (0, 0, 0);
        self.since = now;
    }

    fn growth(&self, late_share: f64) -> f64 {
        if self.probing {
            self.size * FIRST_GROWTH
        } else if late_share < LATE_SHARE * FAR {
            (self.size * FAR_GROWTH).max(NEAR_GROWTH)
        } else {
            NEAR_GROWTH
        }
    }

    fn correct(&mut self) {
        let share = f64::from(self.late) / f64::from(self.count);
        let excess = share / LATE_SHARE - 1.0;
        if excess > 0.0 {
            self.probing = false;
            self.size *= 1.0 - SHRINK * excess.min(1.0);
        } else if self.peak as f64 >= self.size * IN_USE {
            self.size += self.growth(share);
        }
        self.size = self.size.clamp(LEAST, MOST);
    }
}
