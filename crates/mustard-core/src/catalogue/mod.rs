//! The catalogue: its entries, their validation and the ordered changes that produce them.
//!
//! A catalogue entry gives its owner, a customer, the use of one model or service within limits.
//! Entry processes (`mustard-entry`), which take the requests of clients, are something else.

mod aggregate;
mod entry;
mod errors;

pub use aggregate::{Catalogue, Change, EntryVersion, Op, Snapshot};
pub use entry::{Class, Entry, Limits, Target};
pub use errors::{CatalogueError, Result};
