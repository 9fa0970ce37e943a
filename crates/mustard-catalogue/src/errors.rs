//! Errors of accepting changes and of fetching accepted ones.

use thiserror::Error;

use mustard_core::catalogue::{CatalogueError, EntryVersion};
use mustard_core::ids::Seq;
use mustard_platform::PlatformError;

/// The result of accepting a change.
pub type Result<T> = std::result::Result<T, WriteError>;

/// Why a change was not accepted, or may not have been.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum WriteError {
    /// A field of the change has a value that is not allowed.
    #[error(transparent)]
    Invalid(#[from] CatalogueError),
    /// The entry has another revision than the change expects.
    #[error("entry {name:?} was changed by another operator")]
    Conflict {
        /// The name of the entry.
        name: String,
        /// The current version of the entry; `None` if it never existed.
        current: Option<Box<EntryVersion>>,
    },
    /// The entry to retire is not in force.
    #[error("entry {name:?} is not in force")]
    NotInForce {
        /// The name of the entry.
        name: String,
    },
    /// The change id was used before for another change.
    #[error("change id {id:?} belongs to another change")]
    IdReused {
        /// The change id.
        id: String,
    },
    /// The table is unavailable, or in every attempt another change was accepted first; this change
    /// was not accepted.
    #[error("table is unavailable, retry after {retry_ms} ms")]
    Unavailable {
        /// How long to wait before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// The table gave no answer, so this change may have been accepted, now or when the operator
    /// sent it before; sending it again is safe.
    #[error("table gave no answer, send the same change again after {retry_ms} ms")]
    InDoubt {
        /// How long to wait before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// A row of the table does not parse, or a new one does not encode.
    #[error(transparent)]
    Row(#[from] RowError),
}

/// A row of the table, or the snapshot object, that cannot be parsed or encoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("row {key:?} does not parse: {detail}")]
pub struct RowError {
    /// The key of the row or of the object.
    pub key: String,
    /// The error of the parser or encoder.
    pub detail: String,
}

/// Why the newest catalogue could not be read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FetchError {
    /// The table or the object store gave no usable answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row does not parse.
    #[error(transparent)]
    Row(#[from] RowError),
    /// The table's newest change is older than the last one in force in this process.
    #[error("table is at change {head}, change {current} is in force")]
    HeadBehind {
        /// The last change in force in this process.
        current: Seq,
        /// The table's newest change.
        head: Seq,
    },
    /// A change is missing from the table's log.
    #[error("change {seq} is missing from the log")]
    MissingChange {
        /// The first missing change.
        seq: Seq,
    },
}
