//! Stand-ins for the outside systems: engines, plain services, the platform and a site.
//!
//! Each stand-in records what it did in a ledger, which tests compare with what the system under
//! test reports. Tests inject faults: a stand-in can be slow, be down, lose answers, freeze or
//! exit.

#![forbid(unsafe_code)]

pub mod digest;
pub mod engine;
pub mod errors;
pub mod fault;
pub mod memory;
pub mod platform;
pub mod reference;
pub mod serve;
pub mod service;
pub mod site;

pub use errors::{FakeError, Result};
