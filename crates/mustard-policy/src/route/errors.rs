//! Errors of the choice of servers.

use thiserror::Error;

/// The result of a choice.
pub type Result<T> = std::result::Result<T, RouteError>;

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// No chain of available servers holds every layer.
    #[error("no available server continues at layer {layer}")]
    NoServer {
        /// The first layer that no chain reaches.
        layer: u32,
    },
    /// The best chain takes longer per token than the query allows.
    #[error("no chain is fast enough; the best one takes {token_us} us per token")]
    TooSlow {
        /// The time per token of the best chain, in microseconds.
        token_us: u32,
    },
    /// No available server runs the plain service.
    #[error("no available server runs the service")]
    NoService,
}
