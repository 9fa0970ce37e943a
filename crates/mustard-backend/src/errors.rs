//! Errors of calls to a backend server.

use thiserror::Error;

use mustard_core::ids::Fence;
use mustard_proto::Execution;

/// The result of a call to a backend server.
pub type Result<T> = std::result::Result<T, BackendError>;

/// A call to a backend server that had no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BackendError {
    /// No connection was made, so nothing was sent.
    #[error("server is unreachable: {0}")]
    Unreachable(String),
    /// The call was sent and the connection broke before the answer was complete.
    #[error("connection broke before the answer: {0}")]
    ConnectionBroken(String),
    /// The call was sent and no complete answer arrived in time.
    #[error("server gave no answer: {0}")]
    NoAnswer(String),
    /// The step is not at the position that the engine expects next.
    #[error("engine expects position {expected}")]
    WrongPosition {
        /// The next position of the sequence; zero if it is not open.
        expected: u32,
    },
    /// The engine has no room for another sequence.
    #[error("engine is full, retry after {retry_ms} ms")]
    NoRoom {
        /// The time after which to retry, in milliseconds.
        retry_ms: u64,
    },
    /// The engine does not hold the model or the layers.
    #[error("engine does not hold {0}")]
    NotHeld(String),
    /// The engine has seen a higher fencing token.
    #[error("fencing number is below {highest}")]
    Fenced {
        /// The highest fencing token that the engine has seen.
        highest: Fence,
    },
    /// The answer has an unexpected status or a body that can't be read.
    ///
    /// Status 0 stands for a call that could not be built: nothing was sent, yet it is still
    /// reported as possibly run.
    #[error("server answered with status {status}: {detail}")]
    BadAnswer {
        /// The HTTP status, or 0 if the call could not be built.
        status: u16,
        /// The body of the answer, or the error on reading it. With status 0, the invalid method or
        /// the error on encoding the body.
        detail: String,
    },
}

impl BackendError {
    /// Returns whether the backend server may have acted on the call.
    pub fn execution(&self) -> Execution {
        match self {
            BackendError::ConnectionBroken(_)
            | BackendError::NoAnswer(_)
            | BackendError::BadAnswer { .. } => Execution::Maybe,
            _ => Execution::No,
        }
    }
}
