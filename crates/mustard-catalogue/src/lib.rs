//! Keeps the catalogue in force at an entry process.
//!
//! [`Store`] holds the catalogue that requests run under, [`Writer`] accepts changes through the
//! platform's table, and [`Syncer`] brings accepted changes to this process, from the table while
//! it answers and from peer processes while it does not.

#![forbid(unsafe_code)]

pub mod admin;
pub mod confirm;
pub mod errors;
mod fetch;
pub mod peers;
pub mod relay;
pub mod rows;
pub mod store;
pub mod sync;
pub mod writer;

pub use errors::{Result, WriteError};
pub use peers::{HttpPeers, Peers};
pub use store::Store;
pub use sync::{SyncOptions, Syncer};
pub use writer::{Accepted, Proposal, Writer};
