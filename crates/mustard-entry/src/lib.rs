//! The entry daemon: accepts callers' requests and runs them on the servers.

#![forbid(unsafe_code)]

pub mod admission;
pub mod api;
pub mod app;
pub mod calls;
pub mod driver;
pub mod errors;
pub mod greeting;
pub mod metric;
pub mod ports;
pub mod quotas;
pub mod serve;
pub mod servers;
pub mod settings;
pub mod suspects;

pub use errors::{EntryError, Result};
