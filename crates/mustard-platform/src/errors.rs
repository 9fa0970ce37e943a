//! Errors of the platform's services.

use thiserror::Error;

/// The result of a call to one of the platform's services.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// A call to one of the platform's services that got no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The service did not act on the call; the caller may retry.
    #[error("{service} is unavailable, retry after {retry_ms} ms")]
    Unavailable {
        /// The name of the service.
        service: &'static str,
        /// The delay before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// The call was sent but no complete answer came; a write may have taken effect.
    #[error("{service} gave no answer: {detail}")]
    InDoubt {
        /// The name of the service.
        service: &'static str,
        /// The error of the call.
        detail: String,
    },
    /// The answer has an unexpected status or content.
    ///
    /// Also stands for a request that could not be encoded, with status zero.
    #[error("{service} answered with status {status}: {detail}")]
    BadAnswer {
        /// The name of the service.
        service: &'static str,
        /// The HTTP status.
        status: u16,
        /// The error found, or the text of the answer.
        detail: String,
    },
}

impl PlatformError {
    /// Tells whether a write may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        !matches!(self, PlatformError::Unavailable { .. })
    }
}
