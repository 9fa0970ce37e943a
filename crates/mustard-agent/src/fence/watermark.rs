//! The highest fencing token that an agent has accepted.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use mustard_core::ids::{Era, Fence};
use mustard_platform::PlatformError;
use mustard_platform::table::{CommitOutcome, Row, Table, Txn};
use mustard_proto::Refusal;

use super::Result;

/// The most transactions of one raise; each retry follows a conflict or an unknown outcome.
const RAISE_TRIES: usize = 4;
/// When a refused order may be repeated, in milliseconds, if the table names no time.
const RETRY_AFTER_MS: u64 = 1_000;

/// The content of the row, stored as JSON.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct StoredFence {
    fence: Fence,
}

/// The last known content and version of the row.
#[derive(Clone, Copy, Debug)]
struct KnownRow {
    highest: Fence,
    era: Era,
    version: u64,
}

/// The highest fencing token that the agent of one VM has accepted, stored in the table.
#[derive(Debug)]
pub struct Watermark {
    key: String,
    known: Mutex<Option<KnownRow>>,
}

/// Returns the key of the row that stores a VM's highest fencing token.
pub fn row_key(vm: &str) -> String {
    format!("fence/{vm}")
}

fn table_refusal(e: &PlatformError) -> Refusal {
    let retry_ms = match e {
        PlatformError::Unavailable { retry_ms, .. } => *retry_ms,
        _ => RETRY_AFTER_MS,
    };
    Refusal::PlatformDown {
        service: "table".to_owned(),
        retry_ms,
    }
}

impl Watermark {
    /// Creates the watermark of a VM; its number is not known until it is loaded.
    pub fn new(vm: &str) -> Self {
        Watermark {
            key: row_key(vm),
            known: Mutex::default(),
        }
    }

    /// Returns the highest number; none before it is loaded.
    pub fn highest(&self) -> Option<Fence> {
        self.lock().map(|k| k.highest)
    }

    /// Checks a number against the highest one; to be called right before an order is carried out.
    ///
    /// # Errors
    ///
    /// [`Refusal::Fenced`] if it is lower, [`Refusal::PlatformDown`] if the highest number is not
    /// loaded yet.
    pub fn check(&self, fence: Fence) -> Result<()> {
        match self.highest() {
            Some(highest) if fence < highest => Err(Refusal::Fenced { highest }),
            Some(_) => Ok(()),
            None => Err(Refusal::PlatformDown {
                service: "table".to_owned(),
                retry_ms: RETRY_AFTER_MS,
            }),
        }
    }

    /// Loads the number from the table, unless it is known.
    ///
    /// # Errors
    ///
    /// [`Refusal::PlatformDown`] if the table does not answer.
    pub async fn load<T: Table>(&self, table: &T) -> Result<()> {
        if self.highest().is_some() {
            return Ok(());
        }
        self.read_row(table).await
    }

    /// Accepts a number and stores it in the table if it is higher than all before.
    ///
    /// # Errors
    ///
    /// [`Refusal::Fenced`] below the highest number, [`Refusal::PlatformDown`] if the table does
    /// not answer, [`Refusal::Busy`] if other writes keep interfering. After any error the order
    /// must not be carried out.
    pub async fn raise<T: Table>(&self, table: &T, fence: Fence) -> Result<()> {
        self.load(table).await?;
        for _ in 0..RAISE_TRIES {
            self.check(fence)?;
            let Some(known) = *self.lock() else {
                continue;
            };
            if fence == known.highest && known.version != 0 {
                return Ok(());
            }
            match table.commit(self.build_txn(fence, known)).await {
                // The answer of a commit does not tell the row's new version.
                Ok(CommitOutcome::Done) => self.read_row(table).await?,
                Ok(CommitOutcome::Conflict(rows)) => rows.iter().for_each(|row| self.update(row)),
                Err(e) if e.may_have_applied() => self.read_row(table).await?,
                Err(e) => return Err(table_refusal(&e)),
            }
        }
        Err(Refusal::Busy {
            retry_ms: RETRY_AFTER_MS,
        })
    }

    fn build_txn(&self, fence: Fence, known: KnownRow) -> Txn {
        let value = serde_json::to_string(&StoredFence { fence }).unwrap_or_default();
        Txn::default()
            .in_era(known.era)
            .check(&self.key, known.version)
            .put(&self.key, value)
    }

    async fn read_row<T: Table>(&self, table: &T) -> Result<()> {
        let rows = table.read(std::slice::from_ref(&self.key)).await;
        let rows = rows.map_err(|e| table_refusal(&e))?;
        rows.iter().for_each(|row| self.update(row));
        Ok(())
    }

    /// Updates what is known from the row; the number never decreases.
    fn update(&self, row: &Row) {
        if row.key != self.key {
            return;
        }
        let stored = serde_json::from_str::<StoredFence>(&row.value).unwrap_or_default();
        let mut known = self.lock();
        // The row may be lost or older than one that was written before the table was restored. Tokens of
        // the current era are higher than all that such a row can have held.
        let before = known.map_or(Fence::first_of(row.era), |k| k.highest);
        *known = Some(KnownRow {
            highest: stored.fence.max(before),
            era: row.era,
            version: row.version,
        });
    }

    fn lock(&self) -> MutexGuard<'_, Option<KnownRow>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
