//! A lease kept in a row of the table service, with a fencing token for each holder.
//!
//! The fencing token is a number that rises with each new holder, also if the table comes back from
//! an older copy: its upper part is the table's era. A receiver that has seen a higher
//! token refuses the orders of an earlier holder.
//!
//! Clocks of different processes are never compared. A holder counts its term from before it sent
//! the write that acquired or renewed the lease. A contender takes over only after it has seen the
//! same row version for a whole term on its own clock. It can see that version only after the
//! write, so its term ends later than the holder's.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use mustard_core::clock::{Clock, Moment};
use mustard_core::ids::{Era, Fence, Incarnation};

use crate::errors::{PlatformError, Result};
use crate::table::{CommitOutcome, Row, Table, Txn};

/// What a process needs to contend for a lease.
#[derive(Clone, Debug)]
pub struct LeaseOptions {
    /// The name of the lease, part of the key of its row.
    pub name: String,
    /// The incarnation of this process.
    pub holder: Incarnation,
    /// How long the lease lasts unless it is renewed.
    pub term: Duration,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token, higher than that of every earlier holder.
    pub fence: Fence,
    /// When the lease expires unless it is renewed.
    pub until: Moment,
}

impl HeldLease {
    /// Tells whether the lease has not expired yet.
    ///
    /// A process may be paused right after this check, so its orders carry the fencing token as
    /// well.
    pub fn is_valid(&self, now: Moment) -> bool {
        now < self.until
    }
}

/// The value of a lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    holder: Incarnation,
    fence: Fence,
    free: bool,
}

/// A version of the lease row and when this process first saw it.
#[derive(Clone, Copy, Debug)]
struct ObservedVersion {
    era: Era,
    version: u64,
    since: Moment,
}

/// Acquires, renews and releases one lease.
#[derive(Debug)]
pub struct Lease<T> {
    table: T,
    options: LeaseOptions,
    observed: Option<ObservedVersion>,
    held: Option<HeldLease>,
    last_fence: Option<Fence>,
}

impl<T: Table> Lease<T> {
    /// Creates a contender for a lease.
    pub fn new(table: T, options: LeaseOptions) -> Self {
        Lease {
            table,
            options,
            observed: None,
            held: None,
            last_fence: None,
        }
    }

    /// Returns the lease if this process holds it and it has not expired.
    pub fn held(&self, now: Moment) -> Option<HeldLease> {
        self.held.filter(|h| h.is_valid(now))
    }

    /// Returns the last fencing token that this process was granted, unless it has seen a higher
    /// one.
    ///
    /// It doesn't prove a lease: others may have been granted higher tokens since. It is for work
    /// that can't wait until the table is back, at services that refuse a token lower than the
    /// highest one that they have seen.
    pub fn last_fence(&self) -> Option<Fence> {
        self.last_fence
    }

    /// Discards the lease and the last fencing token, after a service has seen a higher token.
    pub fn discard_fence(&mut self) {
        self.held = None;
        self.last_fence = None;
    }

    /// Discards the lease, but not the last fencing token, after the table was restored: the row that
    /// proves the lease may be lost.
    pub fn discard_term(&mut self) {
        self.held = None;
    }

    /// Renews the lease, or acquires it if it is free or has expired; returns none if another
    /// process holds it or may hold it.
    ///
    /// # Errors
    ///
    /// A lease that was held before the error stays valid until it expires.
    pub async fn renew_or_acquire(&mut self, clock: &dyn Clock) -> Result<Option<HeldLease>> {
        let row = self.read().await?;
        let content = parse(&row)?;
        let now = clock.now();
        if content.is_some_and(|c| self.last_fence.is_some_and(|last| c.fence > last)) {
            self.last_fence = None;
        }
        let Some(fence) = self.next_fence(&row, content, now) else {
            self.held = None;
            return Ok(None);
        };
        let next = LeaseRow {
            holder: self.options.holder,
            fence,
            free: false,
        };
        let written = self.write(&row, next).await;
        match written {
            Ok(true) => {
                let until = now + self.options.term;
                self.held = Some(HeldLease { fence, until });
                self.last_fence = Some(fence);
            }
            Ok(false) => self.held = None,
            // The write may have taken effect. If so, the next call finds a row with this
            // incarnation and renews the lease.
            Err(e) => return Err(e),
        }
        Ok(self.held)
    }

    /// Releases the lease, so that another process can acquire it at once.
    ///
    /// Leaves the row as it is if it names another holder or is already free.
    pub async fn release(&mut self) -> Result<()> {
        self.held = None;
        let row = self.read().await?;
        let Some(content) = parse(&row)? else {
            return Ok(());
        };
        if content.holder != self.options.holder || content.free {
            return Ok(());
        }
        self.write(
            &row,
            LeaseRow {
                free: true,
                ..content
            },
        )
        .await
        .map(|_| ())
    }

    /// Returns the fencing token to write, or none if another holder's lease may still be valid.
    fn next_fence(&mut self, row: &Row, content: Option<LeaseRow>, now: Moment) -> Option<Fence> {
        let first = Fence::first_of(row.era);
        let Some(content) = content else {
            return Some(first.max(Fence(1)));
        };
        let is_holder = content.holder == self.options.holder;
        // A row from before the table was restored may have had later holders, whose rows are lost.
        if is_holder && !content.free && content.fence >= first {
            return Some(content.fence);
        }
        let expired = is_holder || self.has_expired(row, now);
        (content.free || expired).then(|| content.fence.next().max(first))
    }

    /// Tells whether this process has seen the row unchanged for a whole term; a new version
    /// starts a new term.
    fn has_expired(&mut self, row: &Row, now: Moment) -> bool {
        match self.observed {
            Some(seen) if (seen.era, seen.version) == (row.era, row.version) => {
                now.since(seen.since) >= self.options.term
            }
            _ => {
                self.observed = Some(ObservedVersion {
                    era: row.era,
                    version: row.version,
                    since: now,
                });
                false
            }
        }
    }

    async fn read(&self) -> Result<Row> {
        let rows = self.table.read(&[self.key()]).await?;
        Ok(rows.into_iter().next().unwrap_or_default())
    }

    async fn write(&self, row: &Row, content: LeaseRow) -> Result<bool> {
        let value = serde_json::to_string(&content).map_err(|e| bad_row(&e.to_string()))?;
        let txn = Txn::default()
            .in_era(row.era)
            .check(self.key(), row.version)
            .put(self.key(), value);
        Ok(self.table.commit(txn).await? == CommitOutcome::Done)
    }

    fn key(&self) -> String {
        format!("lease/{}", self.options.name)
    }
}

fn parse(row: &Row) -> Result<Option<LeaseRow>> {
    if row.version == 0 {
        return Ok(None);
    }
    serde_json::from_str(&row.value)
        .map(Some)
        .map_err(|e| bad_row(&e.to_string()))
}

fn bad_row(detail: &str) -> PlatformError {
    PlatformError::BadAnswer {
        service: "table",
        status: 200,
        detail: detail.to_owned(),
    }
}
