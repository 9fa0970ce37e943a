//! Errors of calls between processes.

use thiserror::Error;

use mustard_proto::{Execution, ProtoError, Refusal};

/// The result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// A call that got no usable answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was established, so nothing was sent.
    #[error("connection failed: {0}")]
    NotSent(String),
    /// Nothing listens at the address, so nothing was sent; the process there has ended or not
    /// started yet.
    #[error("connection failed: {0}")]
    NoListener(String),
    /// The message may have been sent, but no complete answer came back.
    #[error("no answer: {0}")]
    Lost(String),
    /// The call took longer than its time limit, given here in milliseconds.
    #[error("no answer within {0} ms")]
    TimedOut(u64),
    /// The answer has an HTTP status other than 200.
    #[error("answer has status {0}")]
    Status(u16),
    /// The message could not be encoded or the answer could not be decoded.
    #[error(transparent)]
    Proto(#[from] ProtoError),
    /// The receiver answered with a refusal.
    #[error(transparent)]
    Refused(Refusal),
}

impl CallError {
    /// Returns whether the receiver may have acted on the message.
    pub fn execution(&self) -> Execution {
        match self {
            CallError::NotSent(_) | CallError::NoListener(_) => Execution::No,
            CallError::Refused(refusal) => refusal.execution(),
            CallError::Proto(ProtoError::Encode(_)) => Execution::No,
            _ => Execution::Maybe,
        }
    }

    /// Returns the refusal that reports this error to another process.
    pub fn into_refusal(self) -> Refusal {
        let ran = self.execution();
        match self {
            CallError::Refused(refusal) => refusal,
            other => Refusal::NoAnswer {
                ran,
                detail: other.to_string(),
            },
        }
    }
}
