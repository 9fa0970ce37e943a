//! The asking side of the task that writes claim rows.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use metrics::gauge;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use mustard_net::shutdown::Pass;
use mustard_platform::table::Table;

use super::op::{Commit, Expect, Op, Waiter};
use super::row::ClaimState;
use super::writer::Writer;
use crate::names;

const RETRY_MS: u64 = 2_000;

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

impl Keeper {
    /// Creates the asking side and the task that writes to a table.
    pub fn new<T: Table>(table: T, pace: Pace) -> (Keeper, Writer<T>) {
        let (ops, received) = mpsc::unbounded_channel();
        let behind = Arc::new(AtomicUsize::new(0));
        let keeper = Keeper {
            ops,
            behind: Arc::clone(&behind),
        };
        let task = Writer::new(table, pace, received, behind);
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
            retry_ms: RETRY_MS,
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
            version: match expect {
                Expect::Version(version) => Some(version),
                Expect::Claim { .. } => None,
            },
            value: state.write(),
            doubt: false,
            waiter,
        };
        // Without the writing task the waiter is dropped, which its owner notices.
        let _ = self.ops.send(op);
    }
}
