//! Pipelines over servers that hold overlapping ranges of layers: the placement of layers on
//! servers, and the path of servers that runs a request.

mod path;
mod placement;

pub use path::{Demand, Holder, Path, choose_path, replan_path};
pub use placement::{LayerOrder, PlacementServer, PlacementSettings, initial_fill, plan_placement};
