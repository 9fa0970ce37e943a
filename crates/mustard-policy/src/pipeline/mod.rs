//! Pipelines over servers that hold overlapping ranges of layers: the placement of layers on
//! servers, and the path of servers that runs a request.
//!
//! A server on a path may run only some of the layers that it holds. In a chain, by contrast,
//! every server runs all its layers; [`route`](crate::route) chooses chains.

mod capacity;
mod crossing;
mod domain_plan;
mod moves;
mod path;
mod placement;
mod unload;

pub use capacity::{
    CapacityServer, DomainCapacity, domain_capacities, domain_requests, plan_capacity,
};
pub use crossing::{CrossingBudget, are_crossings_scarce, crossing_capacity};
pub use moves::{
    MovePlan, MovingStream, Prediction, PrefillLoad, PrefillView, SearchBudget, choose_soonest,
    move_order, plan_move,
};
pub use path::{LayerHolder, Path, RequestDemand, choose_path, replan_path};
pub use placement::{
    LayerAssignment, PlacementServer, PlacementSettings, layers_memory_share, plan_placement,
};
pub use unload::UnloadWatch;
