//! Errors of the stand-ins.

use thiserror::Error;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, FakeError>;

/// A stand-in that cannot do its work.
#[derive(Debug, Error)]
pub enum FakeError {
    /// A range of layers has another form than `FIRST..END`.
    #[error("{0:?} is not a range of layers such as 0..8")]
    BadLayers(String),
    /// The port is not opened or the server failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
