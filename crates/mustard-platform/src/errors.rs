//! Errors of the platform's services.

use thiserror::Error;

/// The result of calls of the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// A call of the platform that gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The service did not act and asks to come back.
    #[error("{service} is unavailable, retry after {retry_ms} ms")]
    Unavailable {
        /// The service.
        service: &'static str,
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// The call was sent and no answer came; a write may have taken effect.
    #[error("{service} gave no answer: {detail}")]
    InDoubt {
        /// The service.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The answer has another form.
    #[error("{service} answered with status {status}: {detail}")]
    BadAnswer {
        /// The service.
        service: &'static str,
        /// The HTTP status.
        status: u16,
        /// What was seen.
        detail: String,
    },
}

impl PlatformError {
    /// Tells whether a write may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        !matches!(self, PlatformError::Unavailable { .. })
    }
}
