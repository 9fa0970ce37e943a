//! Streams that have fallen silent, and which servers are to blame.
//!
//! A server that dies without a word holds up every stream that crosses it. The watch raises an
//! alarm for a stream whose pause exceeds what its like usually show; the servers on its path are
//! then asked, and what they say or don't say decides.

use std::time::Duration;

use mustard_core::clock::Moment;

/// The shortest pause that raises an alarm.
const MIN_PAUSE: Duration = Duration::from_millis(55);
/// The longest pause that raises none.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// The alarm stands at this many times the usual pause.
const PAUSE_FACTOR: f64 = 3.0;
/// The weight of one pause in the mean.
const WEIGHT: f64 = 0.02;

/// Learns the usual pause between events, over all streams of a process.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    mean_ms: f64,
}

impl Default for Pauses {
    fn default() -> Self {
        Pauses { mean_ms: 25.0 }
    }
}

impl Pauses {
    /// Takes in a pause between two events.
    pub fn observe(&mut self, pause: Duration) {
        let ms = (pause.as_secs_f64() * 1e3).min(MAX_PAUSE.as_secs_f64() * 1e3);
        self.mean_ms += WEIGHT * (ms - self.mean_ms);
    }

    /// Returns the pause that raises an alarm.
    pub fn limit(&self) -> Duration {
        let limit = Duration::from_secs_f64(self.mean_ms * PAUSE_FACTOR / 1e3);
        limit.clamp(MIN_PAUSE, MAX_PAUSE)
    }
}

/// How late the timers of this process fire, over the last moments.
///
/// A process that lacks processor time reads answers late, and would take servers for silent that
/// have answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    recent: [(Moment, Duration); RECENT_TIMERS],
    next: usize,
}

/// The timers remembered; they must span the longest time for a report.
const RECENT_TIMERS: usize = 8;
/// The time lost in a call that shows nothing: timers count in whole milliseconds.
const TOLERATED: Duration = Duration::from_millis(3);
/// The time for another call, over the limit and the time lost in the first one: a process that
/// was held up has answers to read before the one it waits for.
const MORE_TIME: u32 = 2;

impl Lateness {
    /// Takes in that a timer fired now, this late.
    pub fn note(&mut self, now: Moment, late: Duration) {
        self.recent[self.next] = (now, late);
        self.next = (self.next + 1) % RECENT_TIMERS;
    }

    /// Returns the time that was lost in the span since a moment, as far as remembered.
    pub fn since(&self, moment: Moment) -> Duration {
        let within = self.recent.iter().filter(|(at, _)| *at >= moment);
        within.map(|(_, late)| *late).sum()
    }

    /// Returns the time for another call where the limit of one made at `moment` ran out while
    /// this process was late; `None` where it was on time, so that the silence is the server's.
    pub fn more_time(&self, moment: Moment, now: Moment, limit: Duration) -> Option<Duration> {
        let overrun = now.since(moment).saturating_sub(limit);
        let lost = self.since(moment).max(overrun);
        (lost >= TOLERATED).then(|| (limit + lost) * MORE_TIME)
    }
}

/// What is known of a stream's progress.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// When the last event arrived, or when the request was sent.
    pub last: Moment,
    /// Whether an event has arrived.
    pub begun: bool,
    /// When the servers of its path were last asked.
    pub asked: Option<Moment>,
    /// How often they were asked in this pause.
    pub asks: u32,
}

/// The pause after which the same path is asked again; it doubles with each time, since answers
/// that showed nothing seldom show more a moment later.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// The doublings at most.
const MAX_DOUBLINGS: u32 = 2;
/// The time to the first event that raises an alarm, over the pause between events.
const FIRST_FACTOR: u32 = 3;

impl Progress {
    /// Tells whether the servers of the stream's path are to be asked now.
    pub fn is_due(&self, now: Moment, limit: Duration) -> bool {
        let limit = if self.begun {
            limit
        } else {
            limit * FIRST_FACTOR
        };
        let silent = now.since(self.last) >= limit;
        let again = ASK_AGAIN * 2u32.pow(self.asks.saturating_sub(1).min(MAX_DOUBLINGS));
        silent && self.asked.is_none_or(|a| now.since(a) >= again)
    }

    /// Takes in that the servers of the path are asked.
    pub fn ask(&mut self, now: Moment) {
        self.asked = Some(now);
        self.asks += 1;
    }

    /// Starts to wait for the first event of an attempt.
    pub fn start(now: Moment) -> Self {
        Progress {
            last: now,
            begun: false,
            asked: None,
            asks: 0,
        }
    }

    /// Takes in that events arrived.
    pub fn advance(&mut self, now: Moment) {
        *self = Progress {
            begun: true,
            ..Progress::start(now)
        };
    }
}
