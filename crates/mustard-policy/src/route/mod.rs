//! Choice of servers for a request: a chain of stages, or a server of a plain service.
//!
//! A chain runs every layer of a model once, in order. Each of its stages is one server, which runs
//! all the layers that it holds; [`pipeline`](crate::pipeline) chooses paths whose servers may run
//! only some of their layers. A chain is chosen by dynamic programming over the layer boundaries.
//! Its cost is the predicted time to the first token plus that of each further token, including the
//! links between successive servers.

mod affinity;
mod beam;
mod chain;
mod errors;
mod plan;
mod service;

pub use affinity::Affinity;
pub use chain::choose_plan;
pub use errors::{Result, RouteError};
pub use plan::{CachedChain, Plan, PlanStage, Query};
pub use service::choose_service;
