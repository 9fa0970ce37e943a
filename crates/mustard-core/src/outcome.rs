//! The outcome of a request, as reported to the client.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request: whether it ran, and whether its answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran to its end and the answer is complete.
    Done,
    /// No server ran the request and none will.
    NotRun,
    /// The request may have run; it will not be run again under its idempotency key.
    Unknown,
    /// The answer ended early; what was delivered is correct but incomplete.
    Partial,
}

impl Outcome {
    /// Returns the stable name used in answers, events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Partial => "partial",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
