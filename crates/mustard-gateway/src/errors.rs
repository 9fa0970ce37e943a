//! Errors that keep the gateway from running.

use thiserror::Error;

/// The result of starting the gateway.
pub type Result<T> = std::result::Result<T, GatewayError>;

/// Why the gateway doesn't run.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The settings are at fault.
    #[error(transparent)]
    Settings(#[from] mustard_adapter::AdapterError),
    /// A port can't be opened.
    #[error("port {addr} can't be opened: {source}")]
    Port {
        /// The address.
        addr: std::net::SocketAddr,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The server or its signals failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
