//! Keeps the catalogue of an entry process up to date.
//!
//! The catalogue maps names to catalogue entries. Accepted changes are numbered without gaps in the
//! platform's table; the number of the newest one is the table's head. [`Writer`] accepts changes
//! by transactions of the table. [`CatalogueStore`] holds the catalogue in force, the one that
//! requests run under. [`Syncer`] fetches accepted changes from the table, or from peers (other
//! entry processes) while the table does not answer.

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
