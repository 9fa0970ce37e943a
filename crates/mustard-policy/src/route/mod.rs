//! Choice of servers for a request: chains of stages, and plain services.
//!
//! A chain holds every layer of a model once, in order. It is chosen by dynamic programming
//! over the layer boundaries: the cost of a chain is its predicted time to the first token
//! plus its predicted time per token for all tokens, the link of each pair of servers included.

mod affinity;
mod beam;
mod chain;
mod errors;
mod plan;
mod service;

pub use affinity::Affinity;
pub use chain::choose;
pub use errors::{Result, RouteError};
pub use plan::{Plan, PlanHop, Prefer, Query};
pub use service::choose_service;
