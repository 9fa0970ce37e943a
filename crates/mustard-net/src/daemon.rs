//! The life cycle of a daemon: it starts, serves, drains and stops.
//!
//! Each state is a type, and each transition consumes the daemon in its old state. So a daemon
//! can't serve before its port is bound or stop before it has drained.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};

use mustard_core::event::EventKind;

use crate::process::Process;
use crate::server;
use crate::shutdown::{self, RequestGate, ShutdownOutcome};

/// State of a daemon that doesn't listen yet.
#[derive(Debug)]
pub struct Starting;

/// State of a daemon that accepts requests.
#[derive(Debug)]
pub struct Serving {
    addr: SocketAddr,
}

/// State of a daemon whose drain has ended, whether or not requests are still running.
#[derive(Debug)]
pub struct Stopped {
    outcome: ShutdownOutcome,
}

/// A daemon in state `S` of its life cycle.
pub struct Daemon<S> {
    process: Arc<Process>,
    gate: Arc<RequestGate>,
    log: Logger,
    state: S,
}

impl Daemon<Starting> {
    /// Creates a daemon that doesn't listen yet.
    pub fn new(process: Arc<Process>, gate: Arc<RequestGate>, log: Logger) -> Self {
        Daemon {
            process,
            gate,
            log,
            state: Starting,
        }
    }

    /// Binds the port; port zero lets the operating system choose one.
    pub fn bind(self, addr: SocketAddr) -> std::io::Result<(Daemon<Serving>, TcpListener)> {
        let listener = TcpListener::bind(addr)?;
        server::limit_buffers(&listener)?;
        let addr = listener.local_addr()?;
        info!(self.log, "daemon: Listening."; "addr" => %addr);
        println!("listening {addr}");
        let Daemon {
            process, gate, log, ..
        } = self;
        Ok((
            Daemon {
                process,
                gate,
                log,
                state: Serving { addr },
            },
            listener,
        ))
    }
}

impl Daemon<Serving> {
    /// Returns the address that the daemon listens on.
    pub fn addr(&self) -> SocketAddr {
        self.state.addr
    }

    /// Waits for a stop signal and drains; see [`shutdown::wait_for_drain`].
    ///
    /// `mark_unready` runs when the signal arrives.
    pub async fn drain(
        self,
        notice: Duration,
        grace: Duration,
        mark_unready: impl FnOnce(),
    ) -> std::io::Result<Daemon<Stopped>> {
        let Daemon {
            process, gate, log, ..
        } = self;
        let announce_drain = || {
            process.emit(None, EventKind::Draining);
            info!(log, "daemon: Draining."; "running" => gate.running());
            mark_unready();
        };
        let outcome = shutdown::wait_for_drain(&gate, notice, grace, announce_drain).await?;
        process.emit(None, EventKind::Drained);
        Ok(Daemon {
            process,
            gate,
            log,
            state: Stopped { outcome },
        })
    }
}

impl Daemon<Stopped> {
    /// Awaits `stop_server`, which stops the HTTP server, and returns the exit code of the process.
    pub async fn finish(self, stop_server: impl Future<Output = ()>) -> u8 {
        let outcome = self.state.outcome;
        match outcome {
            ShutdownOutcome::Clean => info!(self.log, "daemon: Stopped, no request was cut."),
            _ => warn!(self.log, "daemon: Stopped with requests running.";
                "running" => self.gate.running(), "cause" => ?outcome),
        }
        // An HTTP server that doesn't stop must not keep the process from ending.
        let _ = tokio::time::timeout(Duration::from_secs(2), stop_server).await;
        let _ = self.process.tick();
        outcome.exit_code()
    }
}
