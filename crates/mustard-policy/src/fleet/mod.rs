//! The servers that an entry process knows: facts, learned times and own work in flight.
//!
//! A [`Fleet`] is an immutable view that is published by read-copy-update: the owner clones
//! it, changes the clone and swaps it in. The clone shares the counters and estimates of each
//! server, so a request that holds an older view still counts.

mod links;
mod server;
mod view;

pub use links::{LinkRow, Links};
pub use server::{Facts, InFlight, Live, Report, Role, Server, ServerKey, State};
pub use view::{Fleet, Group};
