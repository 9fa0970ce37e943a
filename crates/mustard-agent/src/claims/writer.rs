//! The task that writes the claim rows of all threads, many in one transaction.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use metrics::{counter, gauge, histogram};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use mustard_core::collections::{Map, Set};
use mustard_platform::Result as TableResult;
use mustard_platform::table::{self, Row, Table, Txn};

use super::write::{PendingWrite, WriteOutcome};
use super::write_queue::{BatchOptions, TableEra};
use crate::metric_names;

const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How long the table may fail before waiting callers are refused.
const FAILURE_TOLERANCE: Duration = Duration::from_millis(250);

/// Writes of distinct rows.
#[derive(Default)]
struct Batch {
    /// Writes whose row versions are known, to be committed in one transaction.
    ready: Vec<PendingWrite>,
    /// Writes whose rows must be read first.
    unread: Vec<PendingWrite>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.unread.is_empty()
    }
}

/// The task that writes claim rows; see [`Writer::run`].
pub struct Writer<T> {
    table: T,
    options: BatchOptions,
    receiver: mpsc::UnboundedReceiver<PendingWrite>,
    waiting: VecDeque<PendingWrite>,
    /// The number of background writes whose outcome is not known yet.
    background_count: Arc<AtomicUsize>,
    era: Arc<TableEra>,
    backoff: Duration,
    /// The end of the backoff after a failure.
    retry_at: Option<Instant>,
    /// When the first of an unbroken series of failures happened.
    failing_since: Option<Instant>,
}

impl<T: Table> Writer<T> {
    /// Creates the task that receives writes from a channel.
    pub(super) fn new(
        table: T,
        options: BatchOptions,
        receiver: mpsc::UnboundedReceiver<PendingWrite>,
        background_count: Arc<AtomicUsize>,
        era: Arc<TableEra>,
    ) -> Self {
        Writer {
            table,
            options,
            receiver,
            waiting: VecDeque::new(),
            background_count,
            era,
            backoff: MIN_BACKOFF,
            retry_at: None,
            failing_since: None,
        }
    }

    /// Runs until every clone of the `WriteQueue` is dropped.
    pub async fn run(mut self) {
        while self.receive_writes().await {
            self.refuse_expired();
            if let Some(until) = self.retry_at {
                if until > Instant::now() {
                    self.refuse_callers(until);
                    continue;
                }
                self.retry_at = None;
            }
            let batch = self.take_batch();
            if !batch.is_empty() {
                self.write_batch(batch).await;
            }
        }
    }

    /// Waits until there is something to do; returns false once the queue is closed and empty.
    async fn receive_writes(&mut self) -> bool {
        let first = match self.wake_time() {
            None => self.receiver.recv().await,
            Some(until) => match time::timeout_at(until, self.receiver.recv()).await {
                Ok(Some(write)) => Some(write),
                Ok(None) => {
                    time::sleep_until(until).await;
                    return true;
                }
                Err(_) => return true,
            },
        };
        let Some(write) = first else {
            return false;
        };
        self.waiting.push_back(write);
        while let Ok(write) = self.receiver.try_recv() {
            self.waiting.push_back(write);
        }
        true
    }

    /// Returns until when to wait for further writes; none if no write is waiting.
    fn wake_time(&self) -> Option<Instant> {
        let now = Instant::now();
        if self.waiting.is_empty() {
            return None;
        }
        if let Some(until) = self.retry_at {
            let deadline = self.waiting.iter().filter_map(PendingWrite::deadline).min();
            return Some(deadline.map_or(until, |deadline| deadline.min(until)));
        }
        let due = |write: &PendingWrite| write.is_due(now, self.options.linger);
        match self.waiting.iter().any(due) {
            true => Some(now),
            false => Some(now + self.options.linger),
        }
    }

    /// Refuses the callers whose deadline has passed.
    fn refuse_expired(&mut self) {
        let now = Instant::now();
        let retry_ms = self.backoff.as_millis() as u64;
        self.refuse_matching(retry_ms, |write| write.is_expired(now));
    }

    /// Refuses the waiting callers once the table has failed for too long; a caller whose write may
    /// have been applied goes on waiting until its deadline.
    fn refuse_callers(&mut self, until: Instant) {
        let is_tolerable = |since: Instant| since.elapsed() < FAILURE_TOLERANCE;
        if self.failing_since.is_none_or(is_tolerable) {
            return;
        }
        let remaining = until.saturating_duration_since(Instant::now());
        let retry_ms = remaining.as_millis().max(1) as u64;
        self.refuse_matching(retry_ms, |write| write.has_caller() && !write.maybe_applied);
    }

    fn refuse_matching(&mut self, retry_ms: u64, condition: impl Fn(&PendingWrite) -> bool) {
        let waiting = std::mem::take(&mut self.waiting);
        for write in waiting {
            if condition(&write) {
                let maybe_applied = write.maybe_applied;
                write.complete(WriteOutcome::Unavailable {
                    retry_ms,
                    maybe_applied,
                });
            } else {
                self.waiting.push_back(write);
            }
        }
    }

    /// Takes writes of distinct rows, those with a waiting caller first.
    ///
    /// Up to half of the transaction is reserved for background writes, or the number of unwritten
    /// results would grow under load.
    fn take_batch(&mut self) -> Batch {
        let now = Instant::now();
        let linger = self.options.linger;
        let mut batch = Batch::default();
        if !self.waiting.iter().any(|write| write.is_due(now, linger)) {
            return batch;
        }
        let mut keys = Set::default();
        let background = self
            .waiting
            .iter()
            .filter(|write| !write.has_caller())
            .count();
        let reserved = background.min(self.options.max_rows / 2);
        for has_caller in [true, false] {
            let waiting = std::mem::take(&mut self.waiting);
            for write in waiting {
                let group = match write.version {
                    Some(_) => &mut batch.ready,
                    None => &mut batch.unread,
                };
                let room = self.options.max_rows - if has_caller { reserved } else { 0 };
                let fits = group.len() < room && write.has_caller() == has_caller;
                if fits && keys.insert(write.key.clone()) {
                    group.push(write);
                } else {
                    self.waiting.push_back(write);
                }
            }
        }
        batch
    }

    /// Commits the ready writes and, concurrently, reads the rows of the others.
    async fn write_batch(&mut self, batch: Batch) {
        let Batch { ready, unread } = batch;
        let (committed, rows) = tokio::join!(self.commit_writes(&ready), self.read_rows(&unread));
        let read_ok = rows.is_ok();
        self.update_versions(unread, &rows.unwrap_or_default());
        match committed {
            None if read_ok => {}
            None => self.handle_failure(Vec::new(), false),
            Some(Ok(table::CommitOutcome::Done)) => self.complete_writes(ready),
            Some(Ok(table::CommitOutcome::Conflict(rows))) => self.handle_conflict(ready, &rows),
            Some(Err(e)) => self.handle_failure(ready, e.may_have_applied()),
        }
    }

    async fn commit_writes(
        &self,
        ready: &[PendingWrite],
    ) -> Option<TableResult<table::CommitOutcome>> {
        if ready.is_empty() {
            return None;
        }
        let mut txn = Txn {
            era: self.era.get(),
            ..Txn::default()
        };
        for write in ready {
            let version = write.version.unwrap_or_default();
            txn = txn.check(&write.key, version).put(&write.key, &write.value);
        }
        histogram!(metric_names::BATCH_ROWS).record(ready.len() as f64);
        counter!(metric_names::TABLE_COMMITS).increment(1);
        Some(self.table.commit(txn).await)
    }

    async fn read_rows(&self, unread: &[PendingWrite]) -> TableResult<Map<String, Row>> {
        if unread.is_empty() {
            return Ok(Map::default());
        }
        counter!(metric_names::TABLE_READS).increment(1);
        let keys: Vec<_> = unread.iter().map(|write| write.key.clone()).collect();
        let rows = self.table.read(&keys).await?;
        rows.iter().for_each(|row| self.era.observe(row.era));
        Ok(rows.into_iter().map(|row| (row.key.clone(), row)).collect())
    }

    /// Sets the versions of writes from their rows and queues the writes again, unless the row
    /// shows their outcome.
    fn update_versions(&mut self, unread: Vec<PendingWrite>, rows: &Map<String, Row>) {
        for mut write in unread {
            match rows.get(&write.key).map(|row| write.check_row(row)) {
                Some(Err(outcome)) => self.complete(write, outcome),
                checked => {
                    write.version = checked.and_then(std::result::Result::ok);
                    self.waiting.push_front(write);
                }
            }
        }
    }

    /// Completes the writes of a transaction that was applied.
    fn complete_writes(&mut self, batch: Vec<PendingWrite>) {
        self.reset_backoff();
        for write in batch {
            self.complete(write, WriteOutcome::Done);
        }
    }

    /// Completes the writes that conflict with their rows; the others are retried at once.
    fn handle_conflict(&mut self, batch: Vec<PendingWrite>, rows: &[Row]) {
        rows.iter().for_each(|row| self.era.observe(row.era));
        let rows: Map<&str, &Row> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        if !batch
            .iter()
            .any(|write| rows.contains_key(write.key.as_str()))
        {
            // A conflict without a row of the transaction does not tell whether it was applied.
            return self.handle_failure(batch, true);
        }
        self.reset_backoff();
        for mut write in batch {
            match rows.get(write.key.as_str()).map(|row| write.check_row(row)) {
                Some(Err(outcome)) => self.complete(write, outcome),
                checked => {
                    write.version = checked.and_then(std::result::Result::ok).or(write.version);
                    self.waiting.push_front(write);
                }
            }
        }
    }

    /// Queues the writes of a failed transaction for a retry after the backoff, and refuses callers
    /// if the table has failed for too long.
    fn handle_failure(&mut self, batch: Vec<PendingWrite>, maybe_applied: bool) {
        counter!(metric_names::TABLE_FAILURES).increment(1);
        let now = Instant::now();
        let until = now + add_jitter(self.backoff);
        self.failing_since.get_or_insert(now);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.retry_at = Some(until);
        for mut write in batch {
            write.maybe_applied |= maybe_applied;
            self.waiting.push_front(write);
        }
        self.refuse_callers(until);
    }

    fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.failing_since = None;
    }

    fn complete(&self, write: PendingWrite, outcome: WriteOutcome) {
        if !write.has_caller() {
            let before = self.background_count.fetch_sub(1, Ordering::AcqRel);
            gauge!(metric_names::PENDING_WRITES).set(before.saturating_sub(1) as f64);
        }
        write.complete(outcome);
    }
}

/// Returns a random duration that differs from `base` by at most a quarter.
fn add_jitter(base: Duration) -> Duration {
    base.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}
