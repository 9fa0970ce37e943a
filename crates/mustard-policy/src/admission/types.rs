//! Requests, settings, forecasts and decisions of admission.

use std::time::Duration;

use mustard_core::arena::Key;
use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use thiserror::Error;

use super::queue::Request;

/// Identifies a request from its offer to its end.
pub type Ticket = Key<Request>;

/// The result of offering a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Settings of admission.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The longest predicted wait with which an interactive request is accepted.
    pub max_wait: Duration,
    /// The most requests that may wait.
    pub max_queue: usize,
    /// The target for the gap, which is the time between two tokens; at most 5 in 100 gaps should
    /// be longer.
    pub target_gap: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_wait: Duration::from_millis(300),
            max_queue: 10_000,
            target_gap: Duration::from_millis(38),
        }
    }
}

/// A request that is offered to admission, which queues or refuses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The name of the customer.
    pub customer: String,
    /// The customer's share of the work, relative to other customers.
    pub share: u32,
    /// The class, which decides how long the request may wait and which goes first.
    pub class: Class,
    /// The most tokens that the request may generate; its cost in the fair queue.
    pub tokens: u32,
    /// When the whole answer must have been delivered.
    pub deadline: Moment,
}

impl Offer {
    /// Creates an offer; a share of zero counts as one.
    pub fn new(customer: &str, share: u32, class: Class, tokens: u32, deadline: Moment) -> Self {
        Offer {
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
    /// The time per later token if the chain had no other requests.
    pub floor_us: f32,
}

impl Forecast {
    /// Creates a forecast without `floor_us`; a token gap is then late if it exceeds the target
    /// gap.
    pub fn new(first_us: f32, token_us: f32) -> Self {
        Forecast {
            first_us,
            token_us,
            floor_us: 0.0,
        }
    }

    /// Returns the time until a number of tokens is generated, in microseconds.
    pub fn total_us(&self, tokens: u32) -> f32 {
        self.first_us + self.token_us * tokens.saturating_sub(1) as f32
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It can't be answered before its deadline, even if it ran now.
    Deadline,
    /// It would wait too long behind other requests.
    Busy,
    /// The queue is full.
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

/// A refusal; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("request can't be answered in time, retry after {retry_after:?}")]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// How long the client should wait before it tries again.
    pub retry_after: Duration,
}

/// What happens to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It starts on the chain that was chosen for it in this poll.
    Run,
    /// It is refused.
    Refuse(Refusal),
}

/// Whether a running request can still be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It can.
    OnTime,
    /// It can't; its work should be cancelled.
    TooLate,
}
