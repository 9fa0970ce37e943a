//! The highest fencing number that an agent has accepted.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use mustard_core::ids::Fence;
use mustard_platform::PlatformError;
use mustard_platform::table::{Commit, Row, Table, Txn};
use mustard_proto::Refusal;

use super::Result;

const ROUNDS: usize = 4;
const RETRY_MS: u64 = 1_000;

/// The content of the row.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Kept {
    fence: Fence,
}

/// What is known of the row.
#[derive(Clone, Copy, Debug)]
struct Known {
    highest: Fence,
    version: u64,
}

/// The highest fencing number of one VM, kept in the table.
#[derive(Debug)]
pub struct Watermark {
    key: String,
    known: Mutex<Option<Known>>,
}

/// Returns the table key of a VM's highest fencing number.
pub fn row_key(vm: &str) -> String {
    format!("fence/{vm}")
}

fn down(e: &PlatformError) -> Refusal {
    let retry_ms = match e {
        PlatformError::Unavailable { retry_ms, .. } => *retry_ms,
        _ => RETRY_MS,
    };
    Refusal::PlatformDown {
        service: "table".to_owned(),
        retry_ms,
    }
}

impl Watermark {
    /// Creates the number of a VM, which is not known yet.
    pub fn new(vm: &str) -> Self {
        Watermark {
            key: row_key(vm),
            known: Mutex::default(),
        }
    }

    /// Returns the highest number, if it is known.
    pub fn highest(&self) -> Option<Fence> {
        self.lock().map(|k| k.highest)
    }

    /// Checks a number against the highest one, as right before an order is carried out.
    ///
    /// # Errors
    ///
    /// [`Refusal::Fenced`] below the highest number, [`Refusal::PlatformDown`] while none is
    /// known.
    pub fn check(&self, fence: Fence) -> Result<()> {
        match self.highest() {
            Some(highest) if fence < highest => Err(Refusal::Fenced { highest }),
            Some(_) => Ok(()),
            None => Err(Refusal::PlatformDown {
                service: "table".to_owned(),
                retry_ms: RETRY_MS,
            }),
        }
    }

    /// Reads the number back from the table, unless it is known.
    ///
    /// # Errors
    ///
    /// [`Refusal::PlatformDown`] if the table does not answer.
    pub async fn recall<T: Table>(&self, table: &T) -> Result<()> {
        if self.highest().is_some() {
            return Ok(());
        }
        self.read(table).await
    }

    /// Accepts a number and keeps it in the table if it is higher than all before.
    ///
    /// # Errors
    ///
    /// [`Refusal::Fenced`] below the highest number, [`Refusal::PlatformDown`] if the table does
    /// not answer; the order must not be carried out then.
    pub async fn raise<T: Table>(&self, table: &T, fence: Fence) -> Result<()> {
        self.recall(table).await?;
        for _ in 0..ROUNDS {
            self.check(fence)?;
            let Some(known) = *self.lock() else {
                continue;
            };
            if fence == known.highest && known.version != 0 {
                return Ok(());
            }
            match table.commit(self.txn(fence, known.version)).await {
                // The row is read again for its version.
                Ok(Commit::Done) => self.read(table).await?,
                Ok(Commit::Conflict(rows)) => rows.iter().for_each(|row| self.learn(row)),
                Err(e) if e.may_have_applied() => self.read(table).await?,
                Err(e) => return Err(down(&e)),
            }
        }
        Err(Refusal::Busy { retry_ms: RETRY_MS })
    }

    fn txn(&self, fence: Fence, version: u64) -> Txn {
        let value = serde_json::to_string(&Kept { fence }).unwrap_or_default();
        Txn::default()
            .check(&self.key, version)
            .put(&self.key, value)
    }

    async fn read<T: Table>(&self, table: &T) -> Result<()> {
        let rows = table.read(std::slice::from_ref(&self.key)).await;
        let rows = rows.map_err(|e| down(&e))?;
        rows.iter().for_each(|row| self.learn(row));
        Ok(())
    }

    /// Takes in the row; the number never sinks.
    fn learn(&self, row: &Row) {
        if row.key != self.key {
            return;
        }
        let read = serde_json::from_str::<Kept>(&row.value).unwrap_or_default();
        let mut known = self.lock();
        let before = known.map_or(Fence(0), |k| k.highest);
        *known = Some(Known {
            highest: read.fence.max(before),
            version: row.version,
        });
    }

    fn lock(&self) -> MutexGuard<'_, Option<Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
