//! Errors that keep the agent from running.

use thiserror::Error;

/// The result of running the agent.
pub type Result<T> = std::result::Result<T, AgentError>;

/// A fault that ends the agent.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The port does not open.
    #[error("address {addr} does not open: {source}")]
    Bind {
        /// The address from the settings.
        addr: std::net::SocketAddr,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The metrics recorder is not installed.
    #[error("metrics are not available: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
    /// The server or the signals fail.
    #[error("server failed: {0}")]
    Io(#[from] std::io::Error),
}
