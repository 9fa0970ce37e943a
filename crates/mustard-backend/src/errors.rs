//! Errors of calls of a backend server.

use thiserror::Error;

use mustard_core::ids::Fence;
use mustard_proto::Ran;

/// The result of calls of a backend server.
pub type Result<T> = std::result::Result<T, BackendError>;

/// A call of a backend server that gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BackendError {
    /// No connection was made, so nothing was sent.
    #[error("server is unreachable: {0}")]
    Unreachable(String),
    /// The call was sent and the connection broke before a whole answer.
    #[error("connection broke before the answer: {0}")]
    Broken(String),
    /// The call was sent and no whole answer came in time.
    #[error("server gave no answer: {0}")]
    NoAnswer(String),
    /// The engine expects another position of the sequence.
    #[error("engine expects position {expected}")]
    Position {
        /// The next position of the sequence; zero if it is not open.
        expected: u32,
    },
    /// The engine has no room for another sequence.
    #[error("engine is full, retry after {retry_ms} ms")]
    Full {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// The engine does not hold the model or the layers.
    #[error("engine does not hold {0}")]
    NotHeld(String),
    /// The engine has seen a higher fencing number.
    #[error("fencing number is below {highest}")]
    Fenced {
        /// The highest number seen.
        highest: Fence,
    },
    /// The answer has another form.
    #[error("server answered with status {status}: {detail}")]
    BadAnswer {
        /// The HTTP status.
        status: u16,
        /// What was seen.
        detail: String,
    },
}

impl BackendError {
    /// Tells whether the server may have acted on the call.
    pub fn ran(&self) -> Ran {
        match self {
            BackendError::Broken(_)
            | BackendError::NoAnswer(_)
            | BackendError::BadAnswer { .. } => Ran::Maybe,
            _ => Ran::No,
        }
    }
}
