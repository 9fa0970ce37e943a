//! Deletes the rows of keys that were made final long ago.

use std::time::Duration;

use mustard_core::ids::Incarnation;
use mustard_platform::table::{Commit, Row, Table, Txn};
use mustard_platform::{PlatformError, Result};

use super::row::ClaimState;

const PAGE_ROWS: usize = 200;

/// What a sweep did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Swept {
    /// Rows read.
    pub read: usize,
    /// Rows deleted.
    pub deleted: usize,
    /// Claims without a result that are older than the retention.
    pub doubtful: usize,
}

/// Sweeps the rows of one service. Of all agents of a service one sweeps in each period.
#[derive(Clone, Debug)]
pub struct Sweeper {
    /// The service.
    pub service: String,
    /// How long final rows are kept.
    pub retain: Duration,
    /// The least time between two sweeps.
    pub every: Duration,
}

impl Sweeper {
    /// Sweeps, unless another agent did within the period. `now` is the wall clock in
    /// milliseconds.
    ///
    /// # Errors
    ///
    /// Returns the table's error; the rest is left to the next sweep.
    pub async fn run<T: Table>(
        &self,
        table: &T,
        me: Incarnation,
        now: u64,
    ) -> Result<Option<Swept>> {
        if !self.take_turn(table, me, now).await? {
            return Ok(None);
        }
        let prefix = format!("claim/{}/", self.service);
        let mut after = String::new();
        let mut swept = Swept::default();
        loop {
            let page = table.scan(&prefix, &after, PAGE_ROWS).await?;
            let Some(last) = page.rows.last() else {
                return Ok(Some(swept));
            };
            after.clone_from(&last.key);
            swept.read += page.rows.len();
            self.delete(table, &page.rows, now, &mut swept).await?;
            if !page.more {
                return Ok(Some(swept));
            }
        }
    }

    async fn take_turn<T: Table>(&self, table: &T, me: Incarnation, now: u64) -> Result<bool> {
        let key = format!("sweep/{}", self.service);
        let rows = table.read(std::slice::from_ref(&key)).await?;
        let row = rows.into_iter().next().unwrap_or_default();
        let last: u64 = row
            .value
            .split(' ')
            .next()
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        if now < last.saturating_add(self.every.as_millis() as u64) {
            return Ok(false);
        }
        let txn = Txn::default()
            .check(&key, row.version)
            .put(&key, format!("{now} {me}"));
        match table.commit(txn).await {
            Ok(commit) => Ok(commit == Commit::Done),
            // A turn that may have been taken is left to the next period.
            Err(PlatformError::InDoubt { .. }) => Ok(false),
            Err(e) => Err(e),
        }
    }

    async fn delete<T: Table>(
        &self,
        table: &T,
        rows: &[Row],
        now: u64,
        swept: &mut Swept,
    ) -> Result<()> {
        let retain = self.retain.as_millis() as u64;
        let expired = |at: u64| at.saturating_add(retain) < now;
        let mut txn = Txn::default();
        for row in rows {
            match ClaimState::read(row) {
                Some(ClaimState::Claimed { until, .. }) if expired(until) => swept.doubtful += 1,
                Some(state) if state.final_at().is_some_and(expired) => {
                    txn = txn.check(&row.key, row.version).delete(&row.key);
                }
                _ => {}
            }
        }
        let count = txn.writes.len();
        // A row that changed in between keeps its page until the next sweep.
        if count > 0 && table.commit(txn).await? == Commit::Done {
            swept.deleted += count;
        }
        Ok(())
    }
}
