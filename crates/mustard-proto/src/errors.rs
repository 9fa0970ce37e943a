//! Errors of encoding and decoding.

use thiserror::Error;

/// The result of operations in this crate.
pub type Result<T> = std::result::Result<T, ProtoError>;

/// A message that cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum ProtoError {
    /// The value cannot be encoded.
    #[error("message does not encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The body is not an encoded message of the expected type.
    #[error("body does not decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The sender uses another version of the protocol.
    #[error("message version {got} is not supported, supported: {supported}")]
    Version {
        /// The sender's version.
        got: u16,
        /// The version that this process supports.
        supported: u16,
    },
}
