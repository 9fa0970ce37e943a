//! Errors of the common types.

use thiserror::Error;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, CoreError>;

/// An error of a common type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CoreError {
    /// A text that is not a valid identifier.
    #[error("{text:?} is not a {kind} id")]
    BadId {
        /// What the identifier names, such as a request.
        kind: &'static str,
        /// The text as read.
        text: String,
    },
}

impl CoreError {
    /// Creates an error for a text that is not a valid identifier.
    pub fn bad_id(kind: &'static str, text: &str) -> Self {
        CoreError::BadId {
            kind,
            text: text.to_owned(),
        }
    }
}
