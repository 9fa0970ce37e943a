//! Graceful shutdown: the first stop signal starts a drain; a second one or the grace time ends it.
//!
//! A drain ends by itself once no request is in flight. [`RequestGate`] counts them: each request
//! holds a [`RequestGuard`] while it runs. A closed gate admits no new requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time;

/// How often a drain checks whether requests are still running.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every running request has ended.
    Clean,
    /// The grace time passed while requests were still running.
    GraceExceeded,
    /// A second signal ended the drain at once.
    Forced,
}

impl ShutdownOutcome {
    /// Returns the exit code of the process.
    pub fn exit_code(self) -> u8 {
        match self {
            ShutdownOutcome::Clean => 0,
            ShutdownOutcome::GraceExceeded => 3,
            ShutdownOutcome::Forced => 4,
        }
    }
}

/// Counts the requests in flight and decides whether new ones are admitted.
#[derive(Debug, Default)]
pub struct RequestGate {
    closed: AtomicBool,
    running: AtomicUsize,
}

/// Guard of one request in flight; the request counts until the guard is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    gate: Arc<RequestGate>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gate.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl RequestGate {
    /// Creates a gate that admits requests.
    pub fn new() -> Arc<Self> {
        Arc::new(RequestGate::default())
    }

    /// Admits a request, or returns `None` if the gate is closed.
    pub fn admit(self: &Arc<Self>) -> Option<RequestGuard> {
        // The request is counted before the check, so that a drain that closes the gate in between
        // still waits for it.
        self.running.fetch_add(1, Ordering::AcqRel);
        let guard = RequestGuard {
            gate: Arc::clone(self),
        };
        if self.closed.load(Ordering::Acquire) {
            return None;
        }
        Some(guard)
    }

    /// Admits a request even if the gate is closed: a further part of work that was admitted
    /// before.
    pub fn admit_always(self: &Arc<Self>) -> RequestGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            gate: Arc::clone(self),
        }
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Admits new requests again.
    pub fn open(&self) {
        self.closed.store(false, Ordering::Release);
    }

    /// Returns whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }
}

/// Installs a handler so that a SIGHUP (reload) before the program awaits it doesn't end the
/// process.
///
/// Such an early signal needs no reaction, as a starting process reads its settings anyway.
///
/// # Errors
///
/// Returns an error if the handler can't be installed.
pub fn install_hangup_handler() -> std::io::Result<()> {
    let received = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, received).map(|_| ())
}

/// Waits for SIGTERM or SIGINT, then closes the gate and waits until no request is running.
///
/// `mark_unready` runs right after the signal. The gate closes only once `notice` has passed, so
/// that a load balancer sees the process unready before requests are refused. `grace` limits the
/// time from the signal on, `notice` included.
pub async fn wait_for_drain(
    gate: &RequestGate,
    notice: Duration,
    grace: Duration,
    mark_unready: impl FnOnce(),
) -> std::io::Result<ShutdownOutcome> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    mark_unready();
    let drained = async {
        time::sleep(notice).await;
        gate.close();
        while gate.running() > 0 {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        _ = term.recv() => Ok(ShutdownOutcome::Forced),
        _ = int.recv() => Ok(ShutdownOutcome::Forced),
        done = time::timeout(grace, drained) => match done {
            Ok(()) => Ok(ShutdownOutcome::Clean),
            Err(_) => Ok(ShutdownOutcome::GraceExceeded),
        },
    }
}
