//! Choice of servers for a request: a chain of stages, or a server of a plain service.
//!
//! A chain runs every layer of a model once, in order. It is chosen by dynamic programming over
//! the layer boundaries. The cost of a chain is its predicted time to the first token plus its
//! predicted time for each further token, with the link between each two successive servers.

mod affinity;
mod beam;
mod chain;
mod errors;
mod plan;
mod service;

pub use affinity::Affinity;
pub use chain::choose;
pub use errors::{Result, RouteError};
pub use plan::{CachedChain, Plan, PlanHop, Query};
pub use service::choose_service;
