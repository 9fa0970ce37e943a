//! The transactional table service in memory.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mustard_core::ids::Era;
use mustard_platform::errors::{PlatformError, Result};
use mustard_platform::table::{CommitOutcome, Row, ScanPage, Table, Txn, VersionCheck, Write};

use super::fault::FaultInjector;

const SERVICE_NAME: &str = "table";

/// The transactional table service in memory; clones share the rows.
#[derive(Clone, Debug, Default)]
pub struct MemTable {
    rows: Arc<Mutex<Rows>>,
    faults: Arc<FaultInjector>,
}

#[derive(Debug, Default)]
struct Rows {
    by_key: BTreeMap<String, Row>,
    // One counter for all rows, so that a row that is deleted and written again gets a new
    // version.
    version: u64,
    // Rises each time the table is restored from a copy.
    era: Era,
}

/// The rows of a [`MemTable`] at one moment.
#[derive(Clone, Debug)]
pub struct TableCopy {
    by_key: BTreeMap<String, Row>,
    version: u64,
}

impl Rows {
    fn get(&self, key: &str) -> Row {
        let row = self.by_key.get(key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            ..Row::default()
        });
        Row {
            era: self.era,
            ..row
        }
    }

    fn commit(&mut self, txn: &Txn) -> CommitOutcome {
        let conflict = |c: &VersionCheck| {
            let row = self.get(&c.key);
            (row.version != c.version).then_some(row)
        };
        let conflicts: Vec<_> = txn.checks.iter().filter_map(conflict).collect();
        if !conflicts.is_empty() {
            return CommitOutcome::Conflict(conflicts);
        }
        for write in &txn.writes {
            self.write(write);
        }
        CommitOutcome::Done
    }

    fn write(&mut self, write: &Write) {
        self.version += 1;
        let key = write.key.clone();
        match &write.value {
            None => {
                self.by_key.remove(&key);
            }
            Some(value) => {
                let row = Row {
                    key: key.clone(),
                    value: value.clone(),
                    version: self.version,
                    era: self.era,
                };
                self.by_key.insert(key, row);
            }
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> ScanPage {
        let start = match after {
            after if after >= prefix && !after.is_empty() => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let mut rows: Vec<_> = self
            .by_key
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit + 1)
            .map(|(_, row)| Row {
                era: self.era,
                ..row.clone()
            })
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        ScanPage { rows, more }
    }
}

impl MemTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        MemTable::default()
    }

    /// Returns the faults to set and the call counts.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Returns a row, bypassing faults and counts; version zero means that it doesn't exist.
    pub fn stored_row(&self, key: &str) -> Row {
        self.lock().get(key)
    }

    /// Returns the rows whose keys have a prefix, bypassing faults and counts.
    pub fn stored_rows(&self, prefix: &str) -> Vec<Row> {
        self.lock().scan(prefix, "", usize::MAX - 1).rows
    }

    /// Copies the rows.
    pub fn copy(&self) -> TableCopy {
        let rows = self.lock();
        TableCopy {
            by_key: rows.by_key.clone(),
            version: rows.version,
        }
    }

    /// Restores the rows from a copy: later writes are lost, their versions are given out again, and
    /// a new era begins.
    pub fn restore(&self, copy: TableCopy) {
        let mut rows = self.lock();
        rows.by_key = copy.by_key;
        rows.version = copy.version;
        rows.era = rows.era.next();
    }

    /// Commits a transaction, bypassing faults and counts.
    pub fn apply(&self, txn: &Txn) -> CommitOutcome {
        self.lock().commit(txn)
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table for MemTable {
    async fn commit(&self, txn: Txn) -> Result<CommitOutcome> {
        let outcome = self
            .faults
            .run_write(SERVICE_NAME, || self.lock().commit(&txn))
            .await?;
        let is_other_era = txn.era.is_some_and(|e| e != self.lock().era);
        if outcome == CommitOutcome::Done && is_other_era {
            return Err(PlatformError::InDoubt {
                service: SERVICE_NAME,
                detail: "the table was restored meanwhile".to_owned(),
            });
        }
        Ok(outcome)
    }

    async fn read(&self, keys: &[String]) -> Result<Vec<Row>> {
        self.faults.begin_read(SERVICE_NAME).await?;
        let rows = self.lock();
        Ok(keys.iter().map(|key| rows.get(key)).collect())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<ScanPage> {
        self.faults.begin_read(SERVICE_NAME).await?;
        Ok(self.lock().scan(prefix, after, limit))
    }
}
