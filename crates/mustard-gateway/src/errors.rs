//! Errors that keep the gateway from running.

use thiserror::Error;

/// The result of starting and running the gateway.
pub type Result<T> = std::result::Result<T, GatewayError>;

/// Why the gateway could not start or had to end.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The settings can't be read or are invalid.
    #[error(transparent)]
    Settings(#[from] mustard_adapter::AdapterError),
    /// The process can't listen on an address.
    #[error("can't listen on {addr}: {source}")]
    Listen {
        /// The address to listen on.
        addr: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP server or the signal handlers could not be started.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
