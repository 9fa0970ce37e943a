//! Keeps the catalogue of an entry process up to date.
//!
//! [`CatalogueStore`] holds the catalogue in force, the one that requests run under. [`Writer`]
//! accepts changes by transactions of the platform's table. [`Syncer`] fetches accepted changes
//! from the table, or from peer processes while the table does not answer.

#![forbid(unsafe_code)]

pub mod admin;
pub mod confirmation;
pub mod errors;
mod fetch;
pub mod peer_requests;
pub mod peers;
pub mod rows;
pub mod store;
pub mod sync;
pub mod writer;

pub use errors::{Result, WriteError};
pub use peers::{HttpPeers, Peers};
pub use store::CatalogueStore;
pub use sync::{SyncOptions, Syncer};
pub use writer::{AcceptedChange, Proposal, Writer};
