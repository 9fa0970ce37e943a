//! Holds claims back while rows of earlier ones may be lost, as the table was restored from an older
//! copy.
//!
//! A claim whose row is lost can't be told from one that was never made. For a time after the
//! restoration no call is sent, so that calls under lost claims have ended; after it the service's
//! record is asked before a call is sent, which knows of calls that ran. A row of the table says when its
//! era began; the first agent that finds it missing in an era writes it.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use mustard_core::ids::Era;
use mustard_platform::Result;
use mustard_platform::table::{CommitOutcome, Table, Txn};

/// The key of the row that says when the table's era began.
const ROW_KEY: &str = "claim-era";
/// How long no call is sent after a restoration; longer than a call under a lost claim runs.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// How long the service's record is asked; longer than the age of a copy.
const LOOKUP_TIME: Duration = Duration::from_secs(120);

/// The row, stored as JSON.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct EraRow {
    era: Era,
    /// When the era was first seen, in milliseconds since the Unix epoch.
    since_ms: u64,
}

/// How far the table's claims can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trust {
    /// All claims are there.
    Complete,
    /// Claims of calls that have ended may be lost; the service has a record of those that ran.
    AskService,
    /// Claims of running calls may be lost for this time from now.
    Wait(Duration),
    /// Another process has changed the row meanwhile, or the table was restored again.
    Unknown,
}

/// What this process knows of the table's restorations.
#[derive(Debug, Default)]
pub(super) struct Restoration {
    known: Mutex<Option<EraRow>>,
}

impl Restoration {
    /// Returns how far claims can be trusted in an era of the table; `era` is the newest that the
    /// process has seen, if any. Reads the row unless the era is known.
    ///
    /// # Errors
    ///
    /// Returns an error if the era isn't known and the table doesn't answer.
    pub(super) async fn trust<T: Table>(
        &self,
        table: &T,
        era: Option<Era>,
        wall_ms: u64,
    ) -> Result<(Era, Trust)> {
        let known = *self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let known = known.filter(|k| era.is_none_or(|e| e == k.era));
        let row = match known {
            Some(row) => row,
            None => match read_or_write(table, wall_ms).await? {
                Ok(row) => row,
                Err(era) => return Ok((era, Trust::Unknown)),
            },
        };
        *self.known.lock().unwrap_or_else(PoisonError::into_inner) = Some(row);
        Ok((row.era, trust_at(row, wall_ms)))
    }
}

fn trust_at(row: EraRow, wall_ms: u64) -> Trust {
    if row.era == Era(0) {
        return Trust::Complete;
    }
    let age = Duration::from_millis(wall_ms.saturating_sub(row.since_ms));
    if age < SETTLE_TIME {
        Trust::Wait(SETTLE_TIME - age)
    } else if age < LOOKUP_TIME {
        Trust::AskService
    } else {
        Trust::Complete
    }
}

/// Reads the row, and writes it if it is missing in the table's era; returns that era as error if the
/// write had no certain effect.
async fn read_or_write<T: Table>(
    table: &T,
    wall_ms: u64,
) -> Result<std::result::Result<EraRow, Era>> {
    let rows = table.read(&[ROW_KEY.to_owned()]).await?;
    let row = rows.into_iter().next().unwrap_or_default();
    let stored: Option<EraRow> = serde_json::from_str(&row.value).ok();
    let first_seen = EraRow {
        era: row.era,
        since_ms: wall_ms,
    };
    match stored.filter(|s| s.era == row.era) {
        Some(stored) => return Ok(Ok(stored)),
        // The table was never restored, or not since it has eras.
        None if row.era == Era(0) => return Ok(Ok(first_seen)),
        None => {}
    }
    let value = serde_json::to_string(&first_seen).unwrap_or_default();
    let txn = Txn::default()
        .in_era(row.era)
        .check(ROW_KEY, row.version)
        .put(ROW_KEY, value);
    match table.commit(txn).await {
        Ok(CommitOutcome::Done) => Ok(Ok(first_seen)),
        Ok(CommitOutcome::Conflict(_)) => Ok(Err(row.era)),
        Err(e) if e.may_have_applied() => Ok(Err(row.era)),
        Err(e) => Err(e),
    }
}
