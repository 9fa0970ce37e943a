//! A breaker per server: it opens after failures, probes, and returns to full load slowly.

use std::time::Duration;

use mustard_core::clock::Moment;

const FAILURES_TO_OPEN: u32 = 3;
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(30);
const RAMP: Duration = Duration::from_secs(5);
const RAMP_START: f32 = 0.1;
/// The time that a closed breaker must hold before its next pause starts short again.
const FORGIVE: Duration = Duration::from_secs(60);

/// Whether a server may get work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Permit {
    /// It may, up to this share of the usual work.
    Share(f32),
    /// It may get this one request as a probe.
    Probe,
    /// It may not.
    No,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed { since: Moment, ramp: bool },
    Open { until: Moment },
    HalfOpen { probing: bool },
}

/// Guards one server.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    failures: u32,
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
                ramp: false,
            },
            failures: 0,
            pause: FIRST_PAUSE,
        }
    }

    /// Tells whether the server may get a request now.
    ///
    /// A granted probe must end with [`Breaker::success`] or [`Breaker::failure`].
    pub fn permit(&mut self, now: Moment) -> Permit {
        if let State::Open { until } = self.state
            && now >= until
        {
            self.state = State::HalfOpen { probing: false };
        }
        match &mut self.state {
            State::Open { .. } | State::HalfOpen { probing: true } => Permit::No,
            State::HalfOpen { probing } => {
                *probing = true;
                Permit::Probe
            }
            State::Closed { .. } => Permit::Share(self.share(now)),
        }
    }

    /// Returns the share of usual work that the server may get, zero unless closed.
    pub fn share(&self, now: Moment) -> f32 {
        match self.state {
            State::Closed { ramp: false, .. } => 1.0,
            State::Closed { since, ramp: true } => {
                let done = now.since(since).as_secs_f32() / RAMP.as_secs_f32();
                (RAMP_START + (1.0 - RAMP_START) * done).min(1.0)
            }
            State::Open { .. } | State::HalfOpen { .. } => 0.0,
        }
    }

    /// Tells whether the breaker lets no usual work through.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    /// Takes in a success at the server.
    pub fn success(&mut self, now: Moment) {
        self.failures = 0;
        match self.state {
            State::HalfOpen { .. } => {
                self.state = State::Closed {
                    since: now,
                    ramp: true,
                };
            }
            State::Closed { since, .. } if now.since(since) > FORGIVE => self.pause = FIRST_PAUSE,
            State::Closed { .. } | State::Open { .. } => {}
        }
    }

    /// Takes in a failure of the server; tells whether the breaker opened by it.
    pub fn failure(&mut self, now: Moment) -> bool {
        self.failures += 1;
        let opens = match self.state {
            State::Closed { ramp, .. } => ramp || self.failures >= FAILURES_TO_OPEN,
            State::HalfOpen { .. } => true,
            State::Open { .. } => false,
        };
        if opens {
            self.open(now);
        }
        opens
    }

    /// Opens the breaker at once, as for a server that is known to be down.
    pub fn open(&mut self, now: Moment) {
        self.state = State::Open {
            until: now + self.pause,
        };
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.failures = 0;
    }
}
