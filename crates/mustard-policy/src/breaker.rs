//! A circuit breaker per server: it opens after failures, probes the server, and returns it to full
//! load slowly.

use std::time::Duration;

use mustard_core::clock::Moment;

/// The consecutive failures that open a closed breaker; while the load ramps up, one does.
const FAILURES_TO_OPEN: u32 = 3;
/// The first pause, which is the time that a breaker stays open; it doubles with each opening.
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(30);
/// The time after closing until the server gets its full share again.
const RAMP_TIME: Duration = Duration::from_secs(5);
/// The share of usual work right after closing.
const RAMP_START_SHARE: f32 = 0.1;
/// The time that a breaker must stay closed until its next pause is the shortest again.
const RESET_AFTER: Duration = Duration::from_secs(60);

/// How much work a server may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Allowed {
    /// Up to this share of its usual work.
    Share(f32),
    /// This one request, as a probe.
    Probe,
    /// None.
    Nothing,
}

/// The state of the breaker; `ramping` means that the load still ramps up after an outage.
#[derive(Clone, Copy, Debug)]
enum State {
    Closed { since: Moment, ramping: bool },
    Open { until: Moment },
    HalfOpen { probing: bool },
}

/// The circuit breaker of one server.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    failures: u32,
    /// How long the breaker stays open when it opens next.
    pause: Duration,
}

impl Default for Breaker {
    fn default() -> Self {
        Breaker::new()
    }
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new() -> Self {
        Breaker {
            state: State::Closed {
                since: Moment::default(),
                ramping: false,
            },
            failures: 0,
            pause: MIN_PAUSE,
        }
    }

    /// Returns how much work the server may get now.
    ///
    /// A granted probe must end with [`Breaker::record_success`] or [`Breaker::record_failure`].
    pub fn permit(&mut self, now: Moment) -> Allowed {
        if let State::Open { until } = self.state
            && now >= until
        {
            self.state = State::HalfOpen { probing: false };
        }
        match &mut self.state {
            State::Open { .. } | State::HalfOpen { probing: true } => Allowed::Nothing,
            State::HalfOpen { probing } => {
                *probing = true;
                Allowed::Probe
            }
            State::Closed { .. } => Allowed::Share(self.share(now)),
        }
    }

    /// Returns the share of its usual work that the server may get; zero unless closed.
    pub fn share(&self, now: Moment) -> f32 {
        match self.state {
            State::Closed { ramping: false, .. } => 1.0,
            State::Closed {
                since,
                ramping: true,
            } => {
                let done = now.since(since).as_secs_f32() / RAMP_TIME.as_secs_f32();
                (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * done).min(1.0)
            }
            State::Open { .. } | State::HalfOpen { .. } => 0.0,
        }
    }

    /// Returns whether the breaker is open or half-open.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    /// Records a success at the server.
    pub fn record_success(&mut self, now: Moment) {
        self.failures = 0;
        match self.state {
            State::HalfOpen { .. } => {
                self.state = State::Closed {
                    since: now,
                    ramping: true,
                };
            }
            State::Closed { since, .. } if now.since(since) > RESET_AFTER => self.pause = MIN_PAUSE,
            State::Closed { .. } | State::Open { .. } => {}
        }
    }

    /// Records a failure of the server; returns whether it opened the breaker.
    pub fn record_failure(&mut self, now: Moment) -> bool {
        self.failures += 1;
        let opens = match self.state {
            State::Closed { ramping, .. } => ramping || self.failures >= FAILURES_TO_OPEN,
            State::HalfOpen { .. } => true,
            State::Open { .. } => false,
        };
        if opens {
            self.open(now);
        }
        opens
    }

    /// Opens the breaker at once, for example because the server is known to be down.
    pub fn open(&mut self, now: Moment) {
        self.state = State::Open {
            until: now + self.pause,
        };
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.failures = 0;
    }
}
