//! Errors of encoding and decoding.

use thiserror::Error;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, ProtoError>;

/// A body that does not hold the expected message.
#[derive(Debug, Error)]
pub enum ProtoError {
    /// The message does not encode.
    #[error("message does not encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The body does not decode.
    #[error("body does not decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The sender speaks another version.
    #[error("message version {got} is not supported, supported: {supported}")]
    Version {
        /// The version of the sender.
        got: u16,
        /// The version of this process.
        supported: u16,
    },
}
