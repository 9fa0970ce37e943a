//! The queue in front of the task that writes claim rows.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use metrics::gauge;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use mustard_core::ids::Era;
use mustard_net::shutdown::RequestGuard;
use mustard_platform::table::Table;

use super::row::ClaimState;
use super::write::{PendingWrite, Precondition, Waiter, WriteOutcome};
use super::writer::Writer;
use crate::metric_names;

/// The retry delay for a caller if the writing task has ended, in milliseconds. That task runs as
/// long as the process, so the retry is meant for the restarted process.
const RETRY_AFTER_MS: u64 = 2_000;

/// How writes are grouped into transactions.
#[derive(Clone, Copy, Debug)]
pub struct BatchOptions {
    /// The most rows in one transaction.
    pub max_rows: usize,
    /// How long a background write may wait for others to share its transaction.
    pub linger: Duration,
}

/// Sends writes to the writing task; every thread has a clone.
#[derive(Clone, Debug)]
pub struct WriteQueue {
    writes: mpsc::UnboundedSender<PendingWrite>,
    background_count: Arc<AtomicUsize>,
    era: Arc<TableEra>,
}

/// The newest era of the table that the process has seen.
#[derive(Debug)]
pub(super) struct TableEra(AtomicU64);

/// Stands for no era.
const UNSEEN: u64 = u64::MAX;

impl Default for TableEra {
    fn default() -> Self {
        TableEra(AtomicU64::new(UNSEEN))
    }
}

impl TableEra {
    /// Returns the era; none before the first answer that names it.
    pub(super) fn get(&self) -> Option<Era> {
        let era = self.0.load(Ordering::Acquire);
        (era != UNSEEN).then_some(Era(era))
    }

    /// Records an era that an answer named.
    pub(super) fn observe(&self, era: Era) {
        let newest = self.get().map_or(era, |known| known.max(era));
        self.0.store(newest.0, Ordering::Release);
    }
}

impl WriteQueue {
    /// Creates a queue and the task that writes from it to a table.
    pub fn new<T: Table>(table: T, options: BatchOptions) -> (WriteQueue, Writer<T>) {
        let (writes, receiver) = mpsc::unbounded_channel();
        let background_count = Arc::new(AtomicUsize::new(0));
        let queue = WriteQueue {
            writes,
            background_count: Arc::clone(&background_count),
            era: Arc::default(),
        };
        let era = Arc::clone(&queue.era);
        let task = Writer::new(table, options, receiver, background_count, era);
        (queue, task)
    }

    /// Writes a row and waits for the outcome, which is [`WriteOutcome::Unavailable`] if it is
    /// still unknown after `deadline`.
    pub async fn write(
        &self,
        key: &str,
        precondition: Precondition,
        state: &ClaimState,
        deadline: Instant,
    ) -> WriteOutcome {
        let (reply, outcome) = oneshot::channel();
        self.enqueue(key, precondition, state, Waiter::Caller(reply, deadline));
        outcome.await.unwrap_or(WriteOutcome::Unavailable {
            retry_ms: RETRY_AFTER_MS,
            maybe_applied: true,
        })
    }

    /// Writes a row in the background; the write is retried until its outcome is known.
    ///
    /// `guard` is kept until the outcome is known, so that a planned stop waits for the write.
    pub fn write_behind(
        &self,
        key: &str,
        precondition: Precondition,
        state: &ClaimState,
        guard: RequestGuard,
    ) -> oneshot::Receiver<WriteOutcome> {
        let (sender, outcome) = oneshot::channel();
        let queued_at = Instant::now();
        let count = self.background_count.fetch_add(1, Ordering::AcqRel) + 1;
        gauge!(metric_names::PENDING_WRITES).set(count as f64);
        let waiter = Waiter::Background {
            sender,
            _guard: guard,
            queued_at,
        };
        self.enqueue(key, precondition, state, waiter);
        outcome
    }

    /// Returns the newest era of the table that the process has seen.
    pub(super) fn era(&self) -> &TableEra {
        &self.era
    }

    /// Returns the number of background writes whose outcome is not known yet.
    pub fn background_count(&self) -> usize {
        self.background_count.load(Ordering::Acquire)
    }

    fn enqueue(&self, key: &str, precondition: Precondition, state: &ClaimState, waiter: Waiter) {
        let write = PendingWrite {
            key: key.to_owned(),
            precondition,
            version: match precondition {
                Precondition::Version(version) => Some(version),
                Precondition::Claim { .. } => None,
            },
            value: state.to_value(),
            maybe_applied: false,
            waiter,
        };
        // If the writing task has ended, the reply channel closes and its receiver notices.
        let _ = self.writes.send(write);
    }
}
