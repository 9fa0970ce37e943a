//! The layout of the catalogue's rows in the table and of its snapshot in the object store.
//!
//! | key | content |
//! | --- | --- |
//! | `cat/head` | [`SeqRow`], the newest change |
//! | `cat/log/{seq:016}` | [`Change`] |
//! | `cat/entry/{name}` | [`EntryVersion`](mustard_core::catalogue::EntryVersion) |
//! | `cat/id/{change id}` | [`IdRow`], the result of the change, returned if it is sent again |
//! | `cat/hist/{name}/{revision:010}` | [`SeqRow`], the change that made the revision |

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use mustard_core::catalogue::Change;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Revision, Seq};
use mustard_platform::table::Row;

use crate::errors::RowError;

/// The result of reading and writing rows.
pub type Result<T> = std::result::Result<T, RowError>;

/// The key of the row that holds the number of the newest change.
pub const HEAD_KEY: &str = "cat/head";
/// The prefix of the keys of all entries.
pub const ENTRY_PREFIX: &str = "cat/entry/";
/// The key of the object that holds a recent snapshot.
pub const SNAPSHOT_OBJECT: &str = "catalogue/snapshot";

/// The content of the head row and of history rows: the number of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SeqRow {
    /// The newest change, or in a history row the one that made the revision.
    pub seq: Seq,
}

/// The content of a change id's row: the result of the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdRow {
    /// The accepted change.
    pub seq: Seq,
    /// The revision that it made.
    pub revision: Revision,
    /// The digest of the change, which distinguishes a resend from a reuse of the id.
    pub digest: Fingerprint,
}

/// Returns the key of a change's log row.
pub fn log_key(seq: Seq) -> String {
    format!("cat/log/{:016}", seq.0)
}

/// Returns the key of an entry's row.
pub fn entry_key(name: &str) -> String {
    format!("{ENTRY_PREFIX}{name}")
}

/// Returns the key of a change id's row.
pub fn change_id_key(id: &str) -> String {
    format!("cat/id/{id}")
}

/// Returns the prefix of the keys in an entry's history.
pub fn history_prefix(name: &str) -> String {
    format!("cat/hist/{name}/")
}

/// Returns the key of one revision in an entry's history.
pub fn history_key(name: &str, revision: Revision) -> String {
    format!("{}{:010}", history_prefix(name), revision.0)
}

/// Parses the content of a row; returns `None` if the row does not exist.
pub fn parse<T: DeserializeOwned>(row: &Row) -> Result<Option<T>> {
    if row.version == 0 {
        return Ok(None);
    }
    serde_json::from_str(&row.value)
        .map(Some)
        .map_err(|e| RowError {
            key: row.key.clone(),
            detail: e.to_string(),
        })
}

/// Parses the log rows of consecutive changes up to the first missing one.
pub fn parse_log(rows: &[Row]) -> Result<Vec<Change>> {
    let mut changes = Vec::with_capacity(rows.len());
    for row in rows {
        match parse(row)? {
            Some(change) => changes.push(change),
            None => break,
        }
    }
    Ok(changes)
}

/// Encodes the content of a row.
pub(crate) fn encode<T: Serialize>(key: &str, value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|e| RowError {
        key: key.to_owned(),
        detail: e.to_string(),
    })
}
