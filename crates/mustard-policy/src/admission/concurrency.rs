//! The number of requests that may run at once, adjusted by the times between tokens.

use std::time::Duration;

use mustard_core::clock::Moment;

/// The share of token gaps that may be late; below the 5 in 100 that
/// `Settings::target_gap` allows.
const MAX_LATE_SHARE: f64 = 0.04;
/// The token gaps, and the time, that one adjustment needs at least.
const MIN_GAPS: u32 = 50;
const MIN_INTERVAL: Duration = Duration::from_millis(100);
const INITIAL_SIZE: f64 = 32.0;
const MIN_SIZE: f64 = 4.0;
const MAX_SIZE: f64 = 1e6;
/// The part by which the window grows with each adjustment in slow start, which ends when too many
/// gaps are late for the first time.
const SLOW_START_GROWTH: f64 = 0.5;
/// The part by which the window grows after slow start while the share of late gaps is far below
/// [`MAX_LATE_SHARE`].
const FAST_GROWTH: f64 = 0.05;
/// The part of [`MAX_LATE_SHARE`] below which growth is fast.
const FAST_GROWTH_BELOW: f64 = 0.3;
/// The number of requests by which the window grows otherwise.
const ADDITIVE_GROWTH: f64 = 2.0;
/// The part by which the window shrinks when the share of late gaps is twice [`MAX_LATE_SHARE`] or
/// more.
const MAX_SHRINK: f64 = 0.05;
/// The part of the window that must be in use for it to grow.
const MIN_UTILIZATION: f64 = 0.8;

/// A limit on running requests, adjusted by additive increase and multiplicative decrease.
///
/// It grows by a constant while token gaps are in time and shrinks by a part of itself when too
/// many are late, so that the windows of entry processes with the same servers become equal.
#[derive(Debug)]
pub(super) struct ConcurrencyWindow {
    size: f64,
    slow_start: bool,
    /// The gaps since the last adjustment.
    gap_count: u32,
    /// The late gaps among them.
    late_count: u32,
    /// The most requests that ran at once since the last adjustment.
    peak_running: usize,
    last_adjusted: Moment,
}

impl ConcurrencyWindow {
    pub(super) fn new() -> Self {
        ConcurrencyWindow {
            size: INITIAL_SIZE,
            slow_start: true,
            gap_count: 0,
            late_count: 0,
            peak_running: 0,
            last_adjusted: Moment::default(),
        }
    }

    /// Returns the number of requests that may run at once.
    pub(super) fn size(&self) -> usize {
        self.size as usize
    }

    /// Records a gap between two tokens, late or not, while `running` requests ran.
    pub(super) fn observe_gap(&mut self, now: Moment, late: bool, running: usize) {
        self.gap_count += 1;
        self.late_count += u32::from(late);
        self.peak_running = self.peak_running.max(running);
        if self.gap_count < MIN_GAPS || now.since(self.last_adjusted) < MIN_INTERVAL {
            return;
        }
        self.adjust_size();
        (self.gap_count, self.late_count, self.peak_running) = (0, 0, 0);
        self.last_adjusted = now;
    }

    /// Returns the number of requests by which the window may grow.
    fn growth(&self, late_share: f64) -> f64 {
        if self.slow_start {
            self.size * SLOW_START_GROWTH
        } else if late_share < MAX_LATE_SHARE * FAST_GROWTH_BELOW {
            (self.size * FAST_GROWTH).max(ADDITIVE_GROWTH)
        } else {
            ADDITIVE_GROWTH
        }
    }

    fn adjust_size(&mut self) {
        let late_share = f64::from(self.late_count) / f64::from(self.gap_count);
        let excess = late_share / MAX_LATE_SHARE - 1.0;
        if excess > 0.0 {
            self.slow_start = false;
            self.size *= 1.0 - MAX_SHRINK * excess.min(1.0);
        } else if self.peak_running as f64 >= self.size * MIN_UTILIZATION {
            self.size += self.growth(late_share);
        }
        self.size = self.size.clamp(MIN_SIZE, MAX_SIZE);
    }
}
