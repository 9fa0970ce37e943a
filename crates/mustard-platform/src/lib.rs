//! The platform's services as traits, with HTTP clients.
//!
//! The table service takes transactions of conditional writes, the object store keeps whole
//! objects, and the list of VMs reports changes with a lag. All three have outages.

#![forbid(unsafe_code)]

pub mod errors;
pub mod http;
pub mod lease;
pub mod object;
pub mod table;
pub mod vms;

pub use errors::{PlatformError, Result};
