//! The servers that an entry process knows: what is reported about them, estimated times and
//! requests in flight.
//!
//! A [`Fleet`] is an immutable view that is published by read-copy-update: its owner clones it,
//! changes the clone and swaps it in. A clone shares the counters and estimates of each server,
//! so a request that holds an older view still counts.

mod links;
mod server;
mod view;

pub use links::{LinkRow, Links};
pub use server::{InFlight, LoadReport, Role, Server, ServerInfo, ServerKey, ServerStats, State};
pub use view::{Fleet, Group};
