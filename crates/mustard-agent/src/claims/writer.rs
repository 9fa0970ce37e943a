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

use super::keeper::Pace;
use super::op::{Commit, Op};
use crate::names;

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const LAST_BACKOFF: Duration = Duration::from_secs(1);
/// How long the table may fail before callers are refused instead of kept waiting.
const PATIENCE: Duration = Duration::from_millis(250);

/// Writes of different rows.
#[derive(Default)]
struct Batch {
    /// Writes whose versions to check are known.
    ready: Vec<Op>,
    /// Writes whose rows have to be read first.
    unknown: Vec<Op>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.unknown.is_empty()
    }
}

/// The writing task.
pub struct Writer<T> {
    table: T,
    pace: Pace,
    ops: mpsc::UnboundedReceiver<Op>,
    waiting: VecDeque<Op>,
    behind: Arc<AtomicUsize>,
    backoff: Duration,
    down_until: Option<Instant>,
    failing_since: Option<Instant>,
}

impl<T: Table> Writer<T> {
    /// Creates the task that takes writes from a channel.
    pub(super) fn new(
        table: T,
        pace: Pace,
        ops: mpsc::UnboundedReceiver<Op>,
        behind: Arc<AtomicUsize>,
    ) -> Self {
        Writer {
            table,
            pace,
            ops,
            waiting: VecDeque::new(),
            behind,
            backoff: FIRST_BACKOFF,
            down_until: None,
            failing_since: None,
        }
    }

    /// Writes until every [`Keeper`] is gone.
    pub async fn run(mut self) {
        while self.receive().await {
            self.refuse_late();
            if let Some(until) = self.down_until {
                if until > Instant::now() {
                    self.refuse_urgent(until);
                    continue;
                }
                self.down_until = None;
            }
            let batch = self.take_batch();
            if !batch.is_empty() {
                self.work_off(batch).await;
            }
        }
    }

    /// Waits until there is something to do; returns false when nobody can ask any more.
    async fn receive(&mut self) -> bool {
        let first = match self.wait() {
            None => self.ops.recv().await,
            Some(until) => match time::timeout_at(until, self.ops.recv()).await {
                Ok(Some(op)) => Some(op),
                Ok(None) => {
                    time::sleep_until(until).await;
                    return true;
                }
                Err(_) => return true,
            },
        };
        let Some(op) = first else {
            return false;
        };
        self.waiting.push_back(op);
        while let Ok(op) = self.ops.try_recv() {
            self.waiting.push_back(op);
        }
        true
    }

    /// Returns until when to wait for further writes; none if there is nothing else to do.
    fn wait(&self) -> Option<Instant> {
        let now = Instant::now();
        if self.waiting.is_empty() {
            return None;
        }
        if let Some(until) = self.down_until {
            let late = self.waiting.iter().filter_map(Op::until).min();
            return Some(late.map_or(until, |late| late.min(until)));
        }
        let ripe = |op: &Op| op.is_ripe(now, self.pace.linger);
        match self.waiting.iter().any(ripe) {
            true => Some(now),
            false => Some(now + self.pace.linger),
        }
    }

    fn refuse_late(&mut self) {
        let now = Instant::now();
        let retry_ms = self.backoff.as_millis() as u64;
        self.refuse(retry_ms, |op| op.is_late(now));
    }

    /// Refuses the callers that wait once the table has failed for too long.
    fn refuse_urgent(&mut self, until: Instant) {
        let patient = |since: Instant| since.elapsed() < PATIENCE;
        if self.failing_since.is_none_or(patient) {
            return;
        }
        let left = until.saturating_duration_since(Instant::now());
        let retry_ms = left.as_millis().max(1) as u64;
        self.refuse(retry_ms, |op| op.is_urgent() && !op.doubt);
    }

    fn refuse(&mut self, retry_ms: u64, which: impl Fn(&Op) -> bool) {
        let waiting = std::mem::take(&mut self.waiting);
        for op in waiting {
            if which(&op) {
                let maybe = op.doubt;
                op.settle(Commit::Down { retry_ms, maybe });
            } else {
                self.waiting.push_back(op);
            }
        }
    }

    /// Takes writes of different rows, those with a waiting caller first.
    ///
    /// Half of the transaction is left to results, or the journal would grow under load.
    fn take_batch(&mut self) -> Batch {
        let now = Instant::now();
        let linger = self.pace.linger;
        let mut batch = Batch::default();
        if !self.waiting.iter().any(|op| op.is_ripe(now, linger)) {
            return batch;
        }
        let mut keys = Set::default();
        let results = self.waiting.iter().filter(|op| !op.is_urgent()).count();
        let kept = results.min(self.pace.batch / 2);
        for urgent in [true, false] {
            let waiting = std::mem::take(&mut self.waiting);
            for op in waiting {
                let part = match op.version {
                    Some(_) => &mut batch.ready,
                    None => &mut batch.unknown,
                };
                let room = self.pace.batch - if urgent { kept } else { 0 };
                let fits = part.len() < room && op.is_urgent() == urgent;
                if fits && keys.insert(op.key.clone()) {
                    part.push(op);
                } else {
                    self.waiting.push_back(op);
                }
            }
        }
        batch
    }

    /// Commits what is ready and, at the same time, reads the versions that are not known.
    async fn work_off(&mut self, batch: Batch) {
        let Batch { ready, unknown } = batch;
        let (committed, rows) = tokio::join!(self.commit(&ready), self.read(&unknown));
        let read = rows.is_ok();
        self.learn(unknown, &rows.unwrap_or_default());
        match committed {
            None if read => {}
            None => self.failed(Vec::new(), false),
            Some(Ok(table::Commit::Done)) => self.done(ready),
            Some(Ok(table::Commit::Conflict(rows))) => self.conflict(ready, &rows),
            Some(Err(e)) => self.failed(ready, e.may_have_applied()),
        }
    }

    async fn commit(&self, ready: &[Op]) -> Option<TableResult<table::Commit>> {
        if ready.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        for op in ready {
            let version = op.version.unwrap_or_default();
            txn = txn.check(&op.key, version).put(&op.key, &op.value);
        }
        histogram!(names::BATCH_ROWS).record(ready.len() as f64);
        counter!(names::TABLE_COMMITS).increment(1);
        Some(self.table.commit(txn).await)
    }

    async fn read(&self, unknown: &[Op]) -> TableResult<Map<String, Row>> {
        if unknown.is_empty() {
            return Ok(Map::default());
        }
        counter!(names::TABLE_READS).increment(1);
        let keys: Vec<_> = unknown.iter().map(|op| op.key.clone()).collect();
        let rows = self.table.read(&keys).await?;
        Ok(rows.into_iter().map(|row| (row.key.clone(), row)).collect())
    }

    /// Takes in the rows of writes whose versions were not known.
    fn learn(&mut self, unknown: Vec<Op>, rows: &Map<String, Row>) {
        for mut op in unknown {
            match rows.get(&op.key).map(|row| op.judge(row)) {
                Some(Err(end)) => self.settle(op, end),
                judged => {
                    op.version = judged.and_then(std::result::Result::ok);
                    self.waiting.push_front(op);
                }
            }
        }
    }

    fn done(&mut self, batch: Vec<Op>) {
        self.healthy();
        for op in batch {
            self.settle(op, Commit::Done);
        }
    }

    /// Ends the writes whose rows are in the way; the others are tried again at once.
    fn conflict(&mut self, batch: Vec<Op>, rows: &[Row]) {
        let rows: Map<&str, &Row> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        if !batch.iter().any(|op| rows.contains_key(op.key.as_str())) {
            // A conflict that names no row of the transaction says nothing about it.
            return self.failed(batch, true);
        }
        self.healthy();
        for mut op in batch {
            match rows.get(op.key.as_str()).map(|row| op.judge(row)) {
                Some(Err(end)) => self.settle(op, end),
                judged => {
                    op.version = judged.and_then(std::result::Result::ok).or(op.version);
                    self.waiting.push_front(op);
                }
            }
        }
    }

    /// Keeps the writes that may still succeed and refuses the callers of the others.
    fn failed(&mut self, batch: Vec<Op>, applied: bool) {
        counter!(names::TABLE_FAILURES).increment(1);
        let now = Instant::now();
        let until = now + jittered(self.backoff);
        self.failing_since.get_or_insert(now);
        self.backoff = (self.backoff * 2).min(LAST_BACKOFF);
        self.down_until = Some(until);
        for mut op in batch {
            op.doubt |= applied;
            self.waiting.push_front(op);
        }
        self.refuse_urgent(until);
    }

    fn healthy(&mut self) {
        self.backoff = FIRST_BACKOFF;
        self.failing_since = None;
    }

    fn settle(&self, op: Op, end: Commit) {
        if !op.is_urgent() {
            let before = self.behind.fetch_sub(1, Ordering::AcqRel);
            gauge!(names::JOURNAL).set(before.saturating_sub(1) as f64);
        }
        op.settle(end);
    }
}

fn jittered(base: Duration) -> Duration {
    base.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}
