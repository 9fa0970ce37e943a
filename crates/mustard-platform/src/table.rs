//! The transactional table service.

use serde::{Deserialize, Serialize};

use mustard_core::ids::Era;

use crate::errors::Result;

/// A row; version zero means that it does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, JSON text by convention.
    pub value: String,
    /// Rises with each write of this row within one era of the table.
    pub version: u64,
    /// The table's era when the row was read.
    #[serde(default)]
    pub era: Era,
}

/// A condition of a transaction: the row must have this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCheck {
    /// The key.
    pub key: String,
    /// The version; zero requires that the row does not exist.
    pub version: u64,
}

/// A write or a deletion of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value, or none to delete the row.
    pub value: Option<String>,
}

/// Writes that take effect all together, and only if every check holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The era in which the versions of `checks` were read.
    #[serde(default)]
    pub era: Option<Era>,
    /// The versions that the rows must have.
    pub checks: Vec<VersionCheck>,
    /// The rows to write or delete.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Sets the era in which the checked versions were read. In another era the same version may
    /// stand for another write of the row.
    #[must_use]
    pub fn in_era(mut self, era: Era) -> Self {
        self.era = Some(era);
        self
    }

    /// Adds a check.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Self {
        self.checks.push(VersionCheck {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value.into()),
        });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// Every write took effect.
    Done,
    /// No write took effect. Holds the current rows of the checks that failed.
    Conflict(Vec<Row>),
}

/// A page of rows in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanPage {
    /// The rows of this page.
    pub rows: Vec<Row>,
    /// Whether further rows follow this page.
    pub more: bool,
}

/// A client of the transactional table service.
#[allow(async_fn_in_trait)]
pub trait Table {
    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::InDoubt`](crate::PlatformError::InDoubt) the writes may have taken
    /// effect; the caller must read the rows again to know. So it is after a commit in another era
    /// than that of the transaction.
    async fn commit(&self, txn: Txn) -> Result<CommitOutcome>;

    /// Reads rows by key; a row that doesn't exist is returned with version zero.
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>>;

    /// Reads at most `limit` rows whose keys start with `prefix` and are greater than `after`, in
    /// key order.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<ScanPage>;
}
