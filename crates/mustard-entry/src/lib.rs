//! The entry daemon: accepts callers' requests and drives them through the servers.

#![forbid(unsafe_code)]

pub mod api;
pub mod app;
pub mod calls;
pub mod catalogue;
pub mod drive;
pub mod errors;
pub mod membership;
pub mod ports;
pub mod routing;
pub mod serve;
pub mod settings;

pub use errors::{EntryError, Result};
