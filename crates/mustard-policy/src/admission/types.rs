//! Values that admission takes and gives.

use std::time::Duration;

use mustard_core::arena::Key;
use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use thiserror::Error;

use super::queue::Request;

/// Addresses a request from its offer to its end.
pub type Ticket = Key<Request>;

/// The result of an offer.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Settings of admission.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The longest predicted wait of an interactive request.
    pub max_wait: Duration,
    /// The most requests that wait.
    pub max_queue: usize,
    /// The time between tokens that 95 in 100 should keep.
    pub gap: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_wait: Duration::from_millis(300),
            max_queue: 10_000,
            gap: Duration::from_millis(38),
        }
    }
}

/// A request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The customer.
    pub customer: String,
    /// The customer's share, relative to others.
    pub share: u32,
    /// The urgency.
    pub class: Class,
    /// The most tokens that it may generate.
    pub tokens: u32,
    /// When the whole answer must be there.
    pub deadline: Moment,
}

impl Ask {
    /// Creates an ask.
    pub fn new(customer: &str, share: u32, class: Class, tokens: u32, deadline: Moment) -> Self {
        Ask {
            customer: customer.to_owned(),
            share: share.max(1),
            class,
            tokens,
            deadline,
        }
    }
}

/// The predicted times of a request over the chain chosen for it, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// The time to the first token.
    pub first_us: f32,
    /// The time per later token.
    pub token_us: f32,
    /// The time per later token that the chain would take without other work.
    pub floor_us: f32,
}

impl Forecast {
    /// Creates a forecast for a chain that is fast enough without other work.
    pub fn new(first_us: f32, token_us: f32) -> Self {
        Forecast {
            first_us,
            token_us,
            floor_us: 0.0,
        }
    }

    /// Returns the time until a number of tokens is there, in microseconds.
    pub fn total_us(&self, tokens: u32) -> f32 {
        self.first_us + self.token_us * tokens.saturating_sub(1) as f32
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It could not be answered before its deadline, even if it ran now.
    Deadline,
    /// It would have to wait too long behind other requests.
    Busy,
    /// Too many requests wait.
    QueueFull,
}

impl Reason {
    /// Returns the stable name used in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Deadline => "deadline",
            Reason::Busy => "busy",
            Reason::QueueFull => "queue_full",
        }
    }
}

/// A refusal; the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("request can't be answered in time, retry after {retry_after:?}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs over the chain that was chosen in this poll.
    Run,
    /// It is refused.
    Refuse(Refusal),
}

/// Whether a running request can still be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It can.
    OnTime,
    /// It can't, so its work should be cancelled.
    Hopeless,
}
