//! What a caller may conclude from an answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The fate of a request, as told to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran to its end and the answer is whole.
    Done,
    /// No server ran the request and none will.
    NotRun,
    /// The request may have run; it will not be run again under its key.
    Unknown,
    /// The answer broke off; what was delivered is correct but not whole.
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
