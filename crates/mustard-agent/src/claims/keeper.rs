//! Group commit: one task writes the claim rows of all threads, many in one transaction.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use metrics::{counter, gauge, histogram};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, Instant};

use mustard_core::collections::{Map, Set};
use mustard_net::shutdown::Pass;
use mustard_platform::table::{self, Row, Table, Txn};
use mustard_platform::{PlatformError, Result as TableResult};

use super::op::{Commit, Expect, Op, Waiter};
use super::row::ClaimState;
use crate::names;

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const LAST_BACKOFF: Duration = Duration::from_secs(2);

/// Writes with the versions to check, or the writes as they were and why reading failed.
type Learned = std::result::Result<Vec<(Op, u64)>, (Vec<Op>, PlatformError)>;

/// How transactions are formed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The most rows in one transaction.
    pub batch: usize,
    /// How long a write without a waiting caller may wait for others.
    pub linger: Duration,
}

/// Asks the writing task for writes; every thread has a clone.
#[derive(Clone, Debug)]
pub struct Keeper {
    ops: mpsc::UnboundedSender<Op>,
    behind: Arc<AtomicUsize>,
}

/// The writing task.
pub struct KeeperLoop<T> {
    table: T,
    pace: Pace,
    ops: mpsc::UnboundedReceiver<Op>,
    waiting: VecDeque<Op>,
    behind: Arc<AtomicUsize>,
    backoff: Duration,
    down_until: Option<Instant>,
}

impl Keeper {
    /// Creates the asking side and the task that writes to a table.
    pub fn new<T: Table>(table: T, pace: Pace) -> (Keeper, KeeperLoop<T>) {
        let (ops, received) = mpsc::unbounded_channel();
        let behind = Arc::new(AtomicUsize::new(0));
        let keeper = Keeper {
            ops,
            behind: Arc::clone(&behind),
        };
        let task = KeeperLoop {
            table,
            pace,
            ops: received,
            waiting: VecDeque::new(),
            behind,
            backoff: FIRST_BACKOFF,
            down_until: None,
        };
        (keeper, task)
    }

    /// Writes a row and waits for the end of the write.
    pub async fn write(
        &self,
        key: &str,
        expect: Expect,
        state: &ClaimState,
        until: Instant,
    ) -> Commit {
        let (tell, told) = oneshot::channel();
        self.ask(key, expect, state, Waiter::Caller(tell, until));
        told.await.unwrap_or(Commit::Down {
            retry_ms: LAST_BACKOFF.as_millis() as u64,
            maybe: true,
        })
    }

    /// Writes a row behind the caller's back; the write is tried until it is settled.
    ///
    /// `pass` keeps a planned stop waiting for it.
    pub fn write_behind(
        &self,
        key: &str,
        expect: Expect,
        state: &ClaimState,
        pass: Pass,
    ) -> oneshot::Receiver<Commit> {
        let (done, told) = oneshot::channel();
        let since = Instant::now();
        let count = self.behind.fetch_add(1, Ordering::AcqRel) + 1;
        gauge!(names::JOURNAL).set(count as f64);
        let waiter = Waiter::Behind {
            done,
            _pass: pass,
            since,
        };
        self.ask(key, expect, state, waiter);
        told
    }

    /// Returns the number of writes behind that are not settled yet.
    pub fn behind(&self) -> usize {
        self.behind.load(Ordering::Acquire)
    }

    fn ask(&self, key: &str, expect: Expect, state: &ClaimState, waiter: Waiter) {
        let op = Op {
            key: key.to_owned(),
            expect,
            value: state.write(),
            doubt: false,
            waiter,
        };
        // Without the writing task the waiter is dropped, which its owner notices.
        let _ = self.ops.send(op);
    }
}

impl<T: Table> KeeperLoop<T> {
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
                self.commit(batch).await;
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

    /// Refuses the callers that wait while the table is taken for down.
    fn refuse_urgent(&mut self, until: Instant) {
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
    fn take_batch(&mut self) -> Vec<Op> {
        let now = Instant::now();
        if !self
            .waiting
            .iter()
            .any(|op| op.is_ripe(now, self.pace.linger))
        {
            return Vec::new();
        }
        let mut batch = Vec::new();
        let mut keys = Set::default();
        for urgent in [true, false] {
            let waiting = std::mem::take(&mut self.waiting);
            for op in waiting {
                let fits = batch.len() < self.pace.batch && op.is_urgent() == urgent;
                if fits && keys.insert(op.key.clone()) {
                    batch.push(op);
                } else {
                    self.waiting.push_back(op);
                }
            }
        }
        batch
    }

    async fn commit(&mut self, batch: Vec<Op>) {
        let checked = match self.learn(batch).await {
            Ok(checked) => checked,
            Err((batch, e)) => return self.failed(batch, &e, false),
        };
        if checked.is_empty() {
            return;
        }
        let mut txn = Txn::default();
        for (op, version) in &checked {
            txn = txn.check(&op.key, *version).put(&op.key, &op.value);
        }
        histogram!(names::BATCH_ROWS).record(checked.len() as f64);
        counter!(names::TABLE_COMMITS).increment(1);
        let result = self.table.commit(txn).await;
        let batch = checked.into_iter().map(|(op, _)| op).collect();
        match result {
            Ok(table::Commit::Done) => self.done(batch),
            Ok(table::Commit::Conflict(rows)) => self.conflict(batch, &rows),
            Err(e) => self.failed(batch, &e, e.may_have_applied()),
        }
    }

    /// Learns the versions of the rows that are named by their claim.
    async fn learn(&mut self, batch: Vec<Op>) -> Learned {
        let unknown: Vec<_> = batch
            .iter()
            .filter(|op| matches!(op.expect, Expect::Claim { .. }))
            .map(|op| op.key.clone())
            .collect();
        let rows = match self.read(&unknown).await {
            Ok(rows) => rows,
            Err(e) => return Err((batch, e)),
        };
        let mut checked = Vec::new();
        for op in batch {
            match (op.expect, rows.get(&op.key)) {
                (Expect::Version(version), _) => checked.push((op, version)),
                (Expect::Claim { .. }, Some(row)) => match op.judge(row) {
                    Ok(version) => checked.push((op, version)),
                    Err(end) => self.settle(op, end),
                },
                (Expect::Claim { .. }, None) => self.waiting.push_back(op),
            }
        }
        Ok(checked)
    }

    async fn read(&self, keys: &[String]) -> TableResult<Map<String, Row>> {
        if keys.is_empty() {
            return Ok(Map::default());
        }
        counter!(names::TABLE_READS).increment(1);
        let rows = self.table.read(keys).await?;
        Ok(rows.into_iter().map(|row| (row.key.clone(), row)).collect())
    }

    fn done(&mut self, batch: Vec<Op>) {
        self.backoff = FIRST_BACKOFF;
        for op in batch {
            self.settle(op, Commit::Done);
        }
    }

    /// Ends the writes whose rows are in the way; the others are tried again at once.
    fn conflict(&mut self, batch: Vec<Op>, rows: &[Row]) {
        self.backoff = FIRST_BACKOFF;
        let rows: Map<&str, &Row> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        if !batch.iter().any(|op| rows.contains_key(op.key.as_str())) {
            let detail = "conflict names no row of the transaction".to_owned();
            let service = super::TABLE;
            let status = 200;
            let e = PlatformError::BadAnswer {
                service,
                status,
                detail,
            };
            return self.failed(batch, &e, true);
        }
        for op in batch {
            match rows.get(op.key.as_str()).map(|row| op.judge(row)) {
                Some(Err(end)) => self.settle(op, end),
                _ => self.waiting.push_front(op),
            }
        }
    }

    /// Keeps the writes that may still succeed and refuses the callers of the others.
    fn failed(&mut self, batch: Vec<Op>, e: &PlatformError, applied: bool) {
        counter!(names::TABLE_FAILURES).increment(1);
        let asked = match e {
            PlatformError::Unavailable { retry_ms, .. } => Duration::from_millis(*retry_ms),
            _ => Duration::ZERO,
        };
        let wait = jittered(self.backoff.max(asked.min(LAST_BACKOFF)));
        let until = Instant::now() + wait;
        self.backoff = (self.backoff * 2).min(LAST_BACKOFF);
        self.down_until = Some(until);
        for mut op in batch {
            op.doubt |= applied;
            self.waiting.push_front(op);
        }
        self.refuse_urgent(until);
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
