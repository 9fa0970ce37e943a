//! Pipelines over servers that hold overlapping ranges of layers: the placement of layers on
//! servers, and the path of servers that runs a request.

mod path;
mod placement;

pub use path::{Demand, Holder, Route, choose, replace};
pub use placement::{Move, Placement, Site, initial_fill, plan};
