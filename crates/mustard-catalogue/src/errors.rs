//! Errors of accepting changes and of bringing them into force.

use thiserror::Error;

use mustard_core::catalogue::{CatalogueError, EntryVersion};
use mustard_core::ids::Seq;
use mustard_platform::PlatformError;

/// The result of accepting a change.
pub type Result<T> = std::result::Result<T, WriteError>;

/// A change that was not accepted, or of which this is not known.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum WriteError {
    /// A field of the change is outside its range.
    #[error(transparent)]
    Invalid(#[from] CatalogueError),
    /// The entry has another revision than the change expects.
    #[error("entry {name:?} was changed by another operator")]
    Conflict {
        /// The entry.
        name: String,
        /// The version that won, or none if the entry never existed.
        current: Option<Box<EntryVersion>>,
    },
    /// The entry to retire is not in force.
    #[error("entry {name:?} is not in force")]
    NotInForce {
        /// The entry.
        name: String,
    },
    /// The change id belongs to another change.
    #[error("change id {id:?} belongs to another change")]
    IdReused {
        /// The change id.
        id: String,
    },
    /// The table did not act; the change was not accepted.
    #[error("table is unavailable, retry after {retry_ms} ms")]
    Unavailable {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// The table gave no answer, so this send or an earlier one of the same change may have been
    /// accepted; sending it again is safe.
    #[error("table gave no answer, send the same change again after {retry_ms} ms")]
    InDoubt {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// A row of the table has another form.
    #[error(transparent)]
    Row(#[from] RowError),
}

/// A row of the table, or the snapshot, that has another form.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("row {key:?} does not parse: {detail}")]
pub struct RowError {
    /// The key.
    pub key: String,
    /// What the parser found.
    pub detail: String,
}

/// The table did not show the newest catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FetchError {
    /// The table or the object store gave no usable answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row has another form.
    #[error(transparent)]
    Row(#[from] RowError),
    /// The table's newest change is older than the one in force here.
    #[error("table is at change {head}, change {have} is in force")]
    HeadFell {
        /// The change in force.
        have: Seq,
        /// The table's newest change.
        head: Seq,
    },
    /// Changes are missing from the table's log.
    #[error("change {seq} is missing from the log")]
    Hole {
        /// The first missing change.
        seq: Seq,
    },
}
