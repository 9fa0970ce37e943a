//! The catalogue aggregate: entries, their validation and the ordered changes that produce them.

mod aggregate;
mod entry;
mod errors;

pub use aggregate::{Catalogue, Change, EntryVersion, Op, Snapshot};
pub use entry::{Class, Entry, Limits, Target};
pub use errors::{CatalogueError, Result};
