//! Deletes the rows of keys that were closed or released longer ago than the retention time.

use std::time::Duration;

use mustard_core::ids::Incarnation;
use mustard_platform::table::{CommitOutcome, Row, Table, Txn};
use mustard_platform::{PlatformError, Result};

use super::row::ClaimState;

/// The most rows read in one scan and deleted in one transaction.
const PAGE_ROWS: usize = 200;

/// The result of a sweep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SweepReport {
    /// Rows read.
    pub read: usize,
    /// Rows deleted.
    pub deleted: usize,
    /// Claims in doubt: without a result, and past their deadline for longer than the retention
    /// time. Their rows are kept.
    pub doubtful: usize,
}

/// Deletes old claim rows of one service. In each period only one agent of the service sweeps.
#[derive(Clone, Debug)]
pub struct ClaimSweeper {
    /// The name of the service.
    pub service: String,
    /// How long rows of closed and released keys are kept.
    pub retention: Duration,
    /// The least time between two sweeps.
    pub period: Duration,
}

impl ClaimSweeper {
    /// Sweeps, or returns none if an agent has swept within the period. `now_ms` is the wall clock
    /// time since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns the table's error; the rows not yet swept are left to the next sweep.
    pub async fn run<T: Table>(
        &self,
        table: &T,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Result<Option<SweepReport>> {
        if !self.acquire_turn(table, incarnation, now_ms).await? {
            return Ok(None);
        }
        let prefix = format!("claim/{}/", self.service);
        let mut after = String::new();
        let mut report = SweepReport::default();
        loop {
            let page = table.scan(&prefix, &after, PAGE_ROWS).await?;
            let Some(last) = page.rows.last() else {
                return Ok(Some(report));
            };
            after.clone_from(&last.key);
            report.read += page.rows.len();
            self.delete_expired(table, &page.rows, now_ms, &mut report)
                .await?;
            if !page.more {
                return Ok(Some(report));
            }
        }
    }

    /// Records this sweep in the table; returns false if it is not due or another agent was first.
    async fn acquire_turn<T: Table>(
        &self,
        table: &T,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Result<bool> {
        let key = format!("sweep/{}", self.service);
        let rows = table.read(std::slice::from_ref(&key)).await?;
        let row = rows.into_iter().next().unwrap_or_default();
        let last_ms: u64 = row
            .value
            .split(' ')
            .next()
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        if now_ms < last_ms.saturating_add(self.period.as_millis() as u64) {
            return Ok(false);
        }
        let txn = Txn::default()
            .check(&key, row.version)
            .put(&key, format!("{now_ms} {incarnation}"));
        match table.commit(txn).await {
            Ok(outcome) => Ok(outcome == CommitOutcome::Done),
            // This agent may have acquired the turn. It does not sweep, and the next period does.
            Err(PlatformError::InDoubt { .. }) => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Deletes the expired rows of one page and adds the counts to the report.
    async fn delete_expired<T: Table>(
        &self,
        table: &T,
        rows: &[Row],
        now_ms: u64,
        report: &mut SweepReport,
    ) -> Result<()> {
        let retention_ms = self.retention.as_millis() as u64;
        let expired = |at: u64| at.saturating_add(retention_ms) < now_ms;
        let mut txn = Txn::default();
        for row in rows {
            match ClaimState::from_row(row) {
                Some(ClaimState::Claimed { until, .. }) if expired(until) => report.doubtful += 1,
                Some(state) if state.final_at().is_some_and(expired) => {
                    txn = txn.check(&row.key, row.version).delete(&row.key);
                }
                _ => {}
            }
        }
        let count = txn.writes.len();
        // If any row of the page changed since the scan, nothing is deleted until the next sweep.
        if count > 0 && table.commit(txn).await? == CommitOutcome::Done {
            report.deleted += count;
        }
        Ok(())
    }
}
