//! A lease row of the table service, with a fencing number for each holder.
//!
//! No two clocks are compared. A holder counts its lease from the moment before it sent the
//! write that took or renewed it. A contender takes over only after it has seen the same row
//! version for the whole term on its own clock, and that term starts later than the holder's.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use mustard_core::clock::{Clock, Moment};
use mustard_core::ids::{Fence, Incarnation};

use crate::errors::{PlatformError, Result};
use crate::table::{Commit, Row, Table, Txn};

/// The settings of a lease.
#[derive(Clone, Debug)]
pub struct LeaseOptions {
    /// The name of the lease.
    pub name: String,
    /// The life of this process.
    pub holder: Incarnation,
    /// How long the lease lasts without renewal.
    pub term: Duration,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The fencing number, higher than that of every earlier holder.
    pub fence: Fence,
    /// The end of the lease unless it is renewed.
    pub until: Moment,
}

impl Held {
    /// Tells whether the lease still lasts.
    ///
    /// A process may be paused right after this check, so whatever it orders carries the
    /// fencing number as well.
    pub fn lasts(&self, now: Moment) -> bool {
        now < self.until
    }
}

/// The content of a lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Content {
    holder: Incarnation,
    fence: Fence,
    free: bool,
}

/// A row version and when this process first saw it.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    version: u64,
    since: Moment,
}

/// Takes, renews and releases one lease.
#[derive(Debug)]
pub struct Lease<T> {
    table: T,
    options: LeaseOptions,
    sighting: Option<Sighting>,
    held: Option<Held>,
    last: Option<Fence>,
}

impl<T: Table> Lease<T> {
    /// Creates a contender for a lease.
    pub fn new(table: T, options: LeaseOptions) -> Self {
        Lease {
            table,
            options,
            sighting: None,
            held: None,
            last: None,
        }
    }

    /// Returns the lease if this process holds it and it still lasts.
    pub fn held(&self, now: Moment) -> Option<Held> {
        self.held.filter(|h| h.lasts(now))
    }

    /// Returns the last fencing number that this process was granted, unless it has seen a
    /// higher one.
    ///
    /// It is no lease: others may have been granted higher numbers meanwhile. It serves work that
    /// cannot wait for the table's return, at services that refuse a number below the highest one
    /// that they have seen.
    pub fn last_fence(&self) -> Option<Fence> {
        self.last
    }

    /// Takes in that a service has seen a higher number.
    pub fn forget(&mut self) {
        self.held = None;
        self.last = None;
    }

    /// Renews the lease, or takes it if it is free or its holder has let it lapse.
    ///
    /// # Errors
    ///
    /// After an error the lease that was held before lasts until its end.
    pub async fn poll(&mut self, clock: &dyn Clock) -> Result<Option<Held>> {
        let row = self.read().await?;
        let content = parse(&row)?;
        let now = clock.now();
        if content.is_some_and(|c| self.last.is_some_and(|last| c.fence > last)) {
            self.last = None;
        }
        let Some(fence) = self.next_fence(&row, content, now) else {
            self.held = None;
            return Ok(None);
        };
        let next = Content {
            holder: self.options.holder,
            fence,
            free: false,
        };
        let written = self.write(row.version, next).await;
        match written {
            Ok(true) => {
                let until = now + self.options.term;
                self.held = Some(Held { fence, until });
                self.last = Some(fence);
            }
            Ok(false) => self.held = None,
            // The write may have taken effect. The next poll reads the row again, and a row
            // of this life counts as its own from that poll on.
            Err(e) => return Err(e),
        }
        Ok(self.held)
    }

    /// Gives the lease up so that another process takes it at once.
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
            row.version,
            Content {
                free: true,
                ..content
            },
        )
        .await
        .map(|_| ())
    }

    /// Returns the fencing number to write, or none if another holder's lease may last.
    fn next_fence(&mut self, row: &Row, content: Option<Content>, now: Moment) -> Option<Fence> {
        let Some(content) = content else {
            return Some(Fence(1));
        };
        let mine = content.holder == self.options.holder;
        if mine && !content.free {
            return Some(content.fence);
        }
        let lapsed = self.has_lapsed(row.version, now);
        (content.free || lapsed).then(|| content.fence.next())
    }

    fn has_lapsed(&mut self, version: u64, now: Moment) -> bool {
        match self.sighting {
            Some(seen) if seen.version == version => now.since(seen.since) >= self.options.term,
            _ => {
                self.sighting = Some(Sighting {
                    version,
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

    async fn write(&self, version: u64, content: Content) -> Result<bool> {
        let value = serde_json::to_string(&content).map_err(|e| bad_row(&e.to_string()))?;
        let txn = Txn::default()
            .check(self.key(), version)
            .put(self.key(), value);
        Ok(self.table.commit(txn).await? == Commit::Done)
    }

    fn key(&self) -> String {
        format!("lease/{}", self.options.name)
    }
}

fn parse(row: &Row) -> Result<Option<Content>> {
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
