//! Pipelines whose servers hold overlapping ranges of layers: which server holds what, and which
//! servers a request crosses.

mod path;
mod placement;

pub use path::{Demand, Holder, Route, choose, replace};
pub use placement::{Move, Placement, Site, initial_fill, plan};
