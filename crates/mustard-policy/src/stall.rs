//! Detection of stalled streams.
//!
//! A pause is the time between two events of a stream. A server that dies without closing its
//! connections stalls every stream on whose path it is. A stream counts as stalled when its current
//! pause is much longer than the mean pause. The servers on its path are then asked for a report,
//! and the reports, or their absence, show the cause.

use std::time::Duration;

use mustard_core::clock::Moment;

/// The lower bound of [`PauseEstimate::limit`].
const MIN_LIMIT: Duration = Duration::from_millis(55);
/// The upper bound of [`PauseEstimate::limit`], also where the mean pause is long.
const MAX_LIMIT: Duration = Duration::from_millis(400);
/// The factor over the mean pause that gives the limit.
const PAUSE_FACTOR: f64 = 3.0;
/// The weight of one pause in the mean.
const PAUSE_WEIGHT: f64 = 0.02;

/// An estimate of the usual pause between events, over all streams of a process.
#[derive(Clone, Copy, Debug)]
pub struct PauseEstimate {
    mean_ms: f64,
}

impl Default for PauseEstimate {
    fn default() -> Self {
        PauseEstimate { mean_ms: 25.0 }
    }
}

impl PauseEstimate {
    /// Updates the estimate with a pause between two events.
    pub fn observe(&mut self, pause: Duration) {
        let ms = (pause.as_secs_f64() * 1e3).min(MAX_LIMIT.as_secs_f64() * 1e3);
        self.mean_ms += PAUSE_WEIGHT * (ms - self.mean_ms);
    }

    /// Returns the pause after which a stream counts as stalled; for the first event of a stream,
    /// [`Progress::should_ask`] allows a multiple of it.
    pub fn limit(&self) -> Duration {
        let limit = Duration::from_secs_f64(self.mean_ms * PAUSE_FACTOR / 1e3);
        limit.clamp(MIN_LIMIT, MAX_LIMIT)
    }
}

/// A record of how late this process's most recent timers fired, which shows in the log whether it
/// lacked processor time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerLateness {
    recent: [(Moment, Duration); RECENT_TIMERS],
    next: usize,
}

/// The number of timers recorded. The gateway records one every 15 ms, so that these cover 120 ms.
const RECENT_TIMERS: usize = 8;
impl TimerLateness {
    /// Records that a timer fired now, and by how much it was late.
    pub fn record(&mut self, now: Moment, late: Duration) {
        self.recent[self.next] = (now, late);
        self.next = (self.next + 1) % RECENT_TIMERS;
    }

    /// Returns by how much the timer that follows the last recorded one is late now; it fires an `interval`
    /// after that one.
    pub fn overdue(&self, now: Moment, interval: Duration) -> Duration {
        let last = (self.next + RECENT_TIMERS - 1) % RECENT_TIMERS;
        let (at, _) = self.recent[last];
        if at == Moment::default() {
            return Duration::ZERO;
        }
        now.since(at).saturating_sub(interval)
    }

    /// Returns the total lateness of the recorded timers that fired since a moment.
    pub fn since(&self, moment: Moment) -> Duration {
        let timers = self.recent.iter().filter(|(at, _)| *at >= moment);
        timers.map(|(_, late)| *late).sum()
    }
}

/// The progress of a stream, and the checks of its servers.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// When the last event arrived, or when the request was sent.
    pub last_event: Moment,
    /// Whether an event has arrived.
    pub has_begun: bool,
    /// When the servers on its path were last asked for a report in this pause; `None` if they
    /// weren't.
    pub asked_at: Option<Moment>,
    /// How often they were asked in this pause.
    pub ask_count: u32,
    /// For how long the servers of the path have been writing, without the rest of longer pauses.
    pub written: Duration,
}

/// The most of a pause that counts as writing: a process that was suspended between two events reads
/// the second one late.
const MAX_WRITING_PAUSE: Duration = Duration::from_millis(100);

/// The backoff until the same servers are asked again. It doubles each time that they are asked,
/// since reports that showed no cause seldom show one shortly after.
const ASK_BACKOFF: Duration = Duration::from_millis(150);
/// The most times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 2;
/// The factor on the limit while a stream waits for its first event, which takes longer because the
/// prompt is processed first.
const FIRST_EVENT_FACTOR: u32 = 3;

impl Progress {
    /// Returns whether the servers on the stream's path should be asked now.
    ///
    /// `limit` is the pause between events after which a stream counts as stalled.
    pub fn should_ask(&self, now: Moment, limit: Duration) -> bool {
        let is_stalled = self.has_stalled(now, limit);
        let backoff = ASK_BACKOFF * 2u32.pow(self.ask_count.saturating_sub(1).min(MAX_DOUBLINGS));
        is_stalled && self.asked_at.is_none_or(|a| now.since(a) >= backoff)
    }

    /// Returns whether the current pause counts as stalled.
    pub fn has_stalled(&self, now: Moment, limit: Duration) -> bool {
        let limit = if self.has_begun {
            limit
        } else {
            limit * FIRST_EVENT_FACTOR
        };
        now.since(self.last_event) >= limit
    }

    /// Records that the servers on the path are asked now.
    pub fn record_ask(&mut self, now: Moment) {
        self.asked_at = Some(now);
        self.ask_count += 1;
    }

    /// Creates the progress of an attempt that was sent now.
    pub fn start(now: Moment) -> Self {
        Progress {
            last_event: now,
            has_begun: false,
            asked_at: None,
            ask_count: 0,
            written: Duration::ZERO,
        }
    }

    /// Records that events arrived.
    pub fn advance(&mut self, now: Moment) {
        let pause = if self.has_begun {
            now.since(self.last_event).min(MAX_WRITING_PAUSE)
        } else {
            Duration::ZERO
        };
        *self = Progress {
            has_begun: true,
            written: self.written + pause,
            ..Progress::start(now)
        };
    }

    /// Records that the stream was moved to other servers, which have not written anything yet.
    pub fn record_move(&mut self, now: Moment) {
        self.written = Duration::ZERO;
        self.record_ask(now);
    }
}
