//! The platform's services in memory, for tests without a network.
//!
//! Clones of a service share its state and may be used from several threads. A call is pending
//! only while it yields as set by [`FaultInjector::set_yields`], so it needs no particular
//! executor.

mod fault;
mod object;
mod table;
mod vms;

pub use fault::{CallCounts, FaultInjector};
pub use object::MemObjects;
pub use table::{MemTable, TableCopy};
pub use vms::MemVms;
