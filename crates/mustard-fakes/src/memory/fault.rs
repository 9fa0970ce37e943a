//! Fault injection for the services in memory.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};

use mustard_platform::errors::{PlatformError, Result};

/// The retry time that a service reports while it is down.
const DOWN_RETRY_MS: u64 = 100;

/// The number of calls that a service in memory received, refused ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that write.
    pub writes: u64,
    /// Calls that read.
    pub reads: u64,
}

/// The faults to inject into one service, and the count of its calls.
#[derive(Debug, Default)]
pub struct FaultInjector {
    down: AtomicBool,
    lost_answers: AtomicU32,
    lost_writes: AtomicU32,
    yields: AtomicU32,
    writes: AtomicU64,
    reads: AtomicU64,
}

impl FaultInjector {
    /// Sets whether every call is refused.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Makes the next `n` writes take effect but return an error, as if their answers were lost.
    pub fn lose_answers(&self, n: u32) {
        self.lost_answers.store(n, Ordering::SeqCst);
    }

    /// Makes the next `n` writes fail before they take effect, with the same error.
    pub fn lose_writes(&self, n: u32) {
        self.lost_writes.store(n, Ordering::SeqCst);
    }

    /// Sets how often each call yields to the executor before it acts, so that calls interleave.
    pub fn set_yields(&self, n: u32) {
        self.yields.store(n, Ordering::SeqCst);
    }

    /// Returns the number of calls received so far.
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            writes: self.writes.load(Ordering::SeqCst),
            reads: self.reads.load(Ordering::SeqCst),
        }
    }

    /// Counts a read, and fails if the service is down.
    pub(super) async fn begin_read(&self, service: &'static str) -> Result<()> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        self.begin_call(service).await
    }

    /// Runs `apply` as one write, with the faults that are set.
    pub(super) async fn run_write<T>(
        &self,
        service: &'static str,
        apply: impl FnOnce() -> T,
    ) -> Result<T> {
        self.writes.fetch_add(1, Ordering::SeqCst);
        self.begin_call(service).await?;
        if decrement(&self.lost_writes) {
            return Err(lost_answer(service));
        }
        let done = apply();
        if decrement(&self.lost_answers) {
            return Err(lost_answer(service));
        }
        Ok(done)
    }

    async fn begin_call(&self, service: &'static str) -> Result<()> {
        for _ in 0..self.yields.load(Ordering::SeqCst) {
            YieldOnce(false).await;
        }
        if self.down.load(Ordering::SeqCst) {
            return Err(PlatformError::Unavailable {
                service,
                retry_ms: DOWN_RETRY_MS,
            });
        }
        Ok(())
    }
}

/// Decrements a counter; tells whether it was above zero.
fn decrement(left: &AtomicU32) -> bool {
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        .is_ok()
}

fn lost_answer(service: &'static str) -> PlatformError {
    PlatformError::InDoubt {
        service,
        detail: "the answer was lost".to_owned(),
    }
}

/// A future that yields to the executor once.
struct YieldOnce(bool);

impl Future for YieldOnce {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.0 {
            return Poll::Ready(());
        }
        self.0 = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
