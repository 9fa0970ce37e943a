//! Switches that make a service in memory fail.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};

use mustard_platform::errors::{PlatformError, Result};

const RETRY_MS: u64 = 100;

/// Calls that a service in memory has taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that write.
    pub writes: u64,
    /// Calls that read.
    pub reads: u64,
}

/// Switches and counters of one service.
#[derive(Debug, Default)]
pub struct Switches {
    down: AtomicBool,
    lose: AtomicU32,
    lose_before: AtomicU32,
    yields: AtomicU32,
    writes: AtomicU64,
    reads: AtomicU64,
}

impl Switches {
    /// Refuses every call from now on, or takes calls again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Applies the next `n` writes and loses their answers.
    pub fn lose_answers(&self, n: u32) {
        self.lose.store(n, Ordering::SeqCst);
    }

    /// Loses the next `n` writes before they take effect; the caller sees the same error.
    pub fn lose_writes(&self, n: u32) {
        self.lose_before.store(n, Ordering::SeqCst);
    }

    /// Suspends each call `n` times before it acts, so that calls interleave.
    pub fn set_yields(&self, n: u32) {
        self.yields.store(n, Ordering::SeqCst);
    }

    /// Returns the calls taken so far, refused ones included.
    pub fn counts(&self) -> Counts {
        Counts {
            writes: self.writes.load(Ordering::SeqCst),
            reads: self.reads.load(Ordering::SeqCst),
        }
    }

    pub(super) async fn read(&self, service: &'static str) -> Result<()> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        self.enter(service).await
    }

    /// Runs `apply` as one write, unless the service is down or loses the call.
    pub(super) async fn write<T>(
        &self,
        service: &'static str,
        apply: impl FnOnce() -> T,
    ) -> Result<T> {
        self.writes.fetch_add(1, Ordering::SeqCst);
        self.enter(service).await?;
        if take_one(&self.lose_before) {
            return Err(in_doubt(service));
        }
        let done = apply();
        if take_one(&self.lose) {
            return Err(in_doubt(service));
        }
        Ok(done)
    }

    async fn enter(&self, service: &'static str) -> Result<()> {
        for _ in 0..self.yields.load(Ordering::SeqCst) {
            Yield(false).await;
        }
        if self.down.load(Ordering::SeqCst) {
            return Err(PlatformError::Unavailable {
                service,
                retry_ms: RETRY_MS,
            });
        }
        Ok(())
    }
}

fn take_one(left: &AtomicU32) -> bool {
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        .is_ok()
}

fn in_doubt(service: &'static str) -> PlatformError {
    PlatformError::InDoubt {
        service,
        detail: "the answer was lost".to_owned(),
    }
}

/// Suspends a task once.
struct Yield(bool);

impl Future for Yield {
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
