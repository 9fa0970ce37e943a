//! The life of a daemon: starting, serving, draining, stopped.
//!
//! The life cycle is a typestate: each transition consumes the old state, so that a daemon
//! never serves before it is bound and never stops before it has drained.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};

use mustard_core::event::EventKind;

use crate::process::Process;
use crate::shutdown::{self, Gate, Stop};

/// A daemon that is being set up.
#[derive(Debug)]
pub struct Starting;

/// A daemon that takes requests.
#[derive(Debug)]
pub struct Serving {
    addr: SocketAddr,
}

/// A daemon that ended its last request.
#[derive(Debug)]
pub struct Stopped {
    stop: Stop,
}

/// A daemon in one state of its life.
pub struct Daemon<S> {
    process: Arc<Process>,
    gate: Arc<Gate>,
    log: Logger,
    state: S,
}

impl Daemon<Starting> {
    /// Creates a daemon that does not listen yet.
    pub fn new(process: Arc<Process>, gate: Arc<Gate>, log: Logger) -> Self {
        Daemon {
            process,
            gate,
            log,
            state: Starting,
        }
    }

    /// Opens the port; port zero lets the system choose one.
    pub fn bind(self, addr: SocketAddr) -> std::io::Result<(Daemon<Serving>, TcpListener)> {
        let listener = TcpListener::bind(addr)?;
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

    /// Waits for a stop signal and drains; `unready` runs when the signal arrives.
    pub async fn drain(
        self,
        notice: Duration,
        grace: Duration,
        unready: impl FnOnce(),
    ) -> std::io::Result<Daemon<Stopped>> {
        let Daemon {
            process, gate, log, ..
        } = self;
        let announce = || {
            process.emit(None, EventKind::Draining);
            info!(log, "daemon: Draining."; "running" => gate.running());
            unready();
        };
        let stop = shutdown::wait(&gate, notice, grace, announce).await?;
        process.emit(None, EventKind::Drained);
        Ok(Daemon {
            process,
            gate,
            log,
            state: Stopped { stop },
        })
    }
}

impl Daemon<Stopped> {
    /// Ends the server and returns the exit code.
    pub async fn finish(self, server: impl Future<Output = ()>) -> u8 {
        let stop = self.state.stop;
        match stop {
            Stop::Clean => info!(self.log, "daemon: Stopped, no request was cut."),
            _ => warn!(self.log, "daemon: Stopped with requests running.";
                "running" => self.gate.running(), "cause" => ?stop),
        }
        let _ = tokio::time::timeout(Duration::from_secs(2), server).await;
        let _ = self.process.tick();
        stop.exit_code()
    }
}
