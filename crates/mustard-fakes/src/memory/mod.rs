//! The platform's services in memory, for tests without a network.
//!
//! Every handle is a clone of one shared state and may move between threads. A call suspends
//! only if it was told to be slow, so any executor runs it.

mod fault;
mod object;
mod table;
mod vms;

pub use fault::{Counts, Switches};
pub use object::MemObjects;
pub use table::MemTable;
pub use vms::MemVms;
