//! Traits for the platform's services, with HTTP clients that implement them.
//!
//! The table service commits transactions of conditional writes, the object store reads and writes
//! whole objects, and the list of VMs reports changes with a delay. Each of them can be
//! unavailable for a time.

#![forbid(unsafe_code)]

pub mod errors;
pub mod http;
pub mod lease;
pub mod object;
pub mod table;
pub mod vms;

pub use errors::{PlatformError, Result};
