//! Errors of the stand-ins.

use thiserror::Error;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, FakeError>;

/// An error that keeps a stand-in from starting or serving.
#[derive(Debug, Error)]
pub enum FakeError {
    /// A layer range isn't written as `FIRST..END`.
    #[error("{0:?} is not a layer range such as 0..8")]
    BadLayers(String),
    /// A port couldn't be opened or the HTTP server failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
