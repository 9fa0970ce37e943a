//! The catalogue aggregate: entries, their rules and the ordered changes that make them.

mod aggregate;
mod entry;
mod errors;

pub use aggregate::{Catalogue, Change, Op, Snapshot, Versioned};
pub use entry::{Class, Entry, Limits, Target};
pub use errors::{CatalogueError, Result};
