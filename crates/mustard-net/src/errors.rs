//! Errors of calls between processes.

use thiserror::Error;

use mustard_proto::{ProtoError, Ran, Refusal};

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// A call without a usable answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error("connection failed: {0}")]
    NotSent(String),
    /// The message was sent and no whole answer came back.
    #[error("no answer: {0}")]
    Lost(String),
    /// The time for the call ran out after it was started.
    #[error("no answer within {0} ms")]
    TimedOut(u64),
    /// The answer has another HTTP status than 200.
    #[error("answer has status {0}")]
    Status(u16),
    /// The message or the answer has another form.
    #[error(transparent)]
    Proto(#[from] ProtoError),
    /// The receiver refused in its own words.
    #[error(transparent)]
    Refused(Refusal),
}

impl CallError {
    /// Tells whether the receiver may have acted on the message.
    pub fn ran(&self) -> Ran {
        match self {
            CallError::NotSent(_) => Ran::No,
            CallError::Refused(r) => r.ran(),
            CallError::Proto(ProtoError::Encode(_)) => Ran::No,
            _ => Ran::Maybe,
        }
    }

    /// Returns the refusal that describes this error to a third process.
    pub fn into_refusal(self) -> Refusal {
        let ran = self.ran();
        match self {
            CallError::Refused(r) => r,
            other => Refusal::NoAnswer {
                ran,
                detail: other.to_string(),
            },
        }
    }
}
