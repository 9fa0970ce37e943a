//! Errors that end the agent.

use thiserror::Error;

/// The result of running the agent.
pub type Result<T> = std::result::Result<T, AgentError>;

/// An error that keeps the agent from starting or ends it.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The agent can't listen on its address.
    #[error("cannot listen on {addr}: {source}")]
    Bind {
        /// The address from the settings.
        addr: std::net::SocketAddr,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The metrics recorder can't be installed.
    #[error("cannot install the metrics recorder: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
    /// The HTTP server does not start or signals can't be handled.
    #[error("HTTP server or signal handling failed: {0}")]
    Io(#[from] std::io::Error),
}
