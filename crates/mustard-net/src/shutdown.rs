//! Planned stops: a first signal drains, a second one or the grace limit ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time;

const POLL: Duration = Duration::from_millis(20);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Every running request came to its end.
    Clean,
    /// The grace limit passed with requests still running.
    GraceExceeded,
    /// A second signal asked to end at once.
    Forced,
}

impl Stop {
    /// Returns the exit code of the process.
    pub fn exit_code(self) -> u8 {
        match self {
            Stop::Clean => 0,
            Stop::GraceExceeded => 3,
            Stop::Forced => 4,
        }
    }
}

/// Counts the requests in flight and says whether new ones are taken.
#[derive(Debug, Default)]
pub struct Gate {
    closed: AtomicBool,
    running: AtomicUsize,
}

/// One request in flight; dropping it ends the count.
#[derive(Debug)]
pub struct Pass {
    gate: Arc<Gate>,
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Gate {
    /// Creates an open gate.
    pub fn new() -> Arc<Self> {
        Arc::new(Gate::default())
    }

    /// Admits a request unless the gate is closed.
    pub fn enter(self: &Arc<Self>) -> Option<Pass> {
        // The count goes up before the check, so that a drain that closes the gate in between
        // still waits for this request.
        self.running.fetch_add(1, Ordering::AcqRel);
        let pass = Pass {
            gate: Arc::clone(self),
        };
        if self.closed.load(Ordering::Acquire) {
            return None;
        }
        Some(pass)
    }

    /// Admits a request that is part of work already admitted elsewhere.
    pub fn enter_always(self: &Arc<Self>) -> Pass {
        self.running.fetch_add(1, Ordering::AcqRel);
        Pass {
            gate: Arc::clone(self),
        }
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Takes new requests again.
    pub fn open(&self) {
        self.closed.store(false, Ordering::Release);
    }

    /// Tells whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }
}

/// Keeps a reload signal that comes before anybody awaits it from ending the process.
///
/// A process that starts reads its settings anyway, so the signal asks for nothing more.
///
/// # Errors
///
/// Returns an error if the system takes no handler.
pub fn hold_hangup() -> std::io::Result<()> {
    let came = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, came).map(|_| ())
}

/// Waits for a first stop signal, closes the gate and waits for the last request.
///
/// `unready` runs right after the signal; the gate closes once `notice` has passed, so that a
/// balancer sees the process unready before it refuses.
pub async fn wait(
    gate: &Gate,
    notice: Duration,
    grace: Duration,
    unready: impl FnOnce(),
) -> std::io::Result<Stop> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    unready();
    let drained = async {
        time::sleep(notice).await;
        gate.close();
        while gate.running() > 0 {
            time::sleep(POLL).await;
        }
    };
    tokio::select! {
        _ = term.recv() => Ok(Stop::Forced),
        _ = int.recv() => Ok(Stop::Forced),
        done = time::timeout(grace, drained) => match done {
            Ok(()) => Ok(Stop::Clean),
            Err(_) => Ok(Stop::GraceExceeded),
        },
    }
}
