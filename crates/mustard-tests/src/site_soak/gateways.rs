//! The gateway processes of a soak.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use mustard_fakes::site::Site;

use crate::child::find;
use crate::errors::{Result, TestError};
use crate::ports::free_port;

/// The time from a process's birth to its first instruction of its own, on a busy machine.
const LOADING: Duration = Duration::from_millis(30);
const TERM: i32 = Signal::TERM.as_raw();

/// A gateway that is killed when it is dropped.
pub(super) struct Gateway {
    settings: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    child: Option<Child>,
    /// How often the process was asked to stop.
    stops: u32,
    started: Instant,
    /// Ends that nobody asked for, by their exit status.
    pub(super) surprises: Vec<String>,
}

impl Gateway {
    /// Writes the settings of gateway `number` and starts it; the store is reached at `store`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or the program can't be started.
    pub(super) fn start(
        site: &Site,
        store: SocketAddr,
        number: usize,
        count: usize,
        peer_port: u16,
        dir: &Path,
    ) -> Result<Self> {
        let ip = |n: usize| Ipv4Addr::new(127, 0, 0, n as u8 + 1);
        let seeds: Vec<Ipv4Addr> = (0..count).map(ip).collect();
        let port = || free_port().ok_or(TestError::NoPort);
        let ports = [port()?, port()?, peer_port];
        let mut text = site.settings(ip(number), ports, &seeds);
        text["platform"]["address"] = json!(store.to_string());
        let settings = dir.join(format!("gateway-{number}.json"));
        fs::write(&settings, text.to_string())?;
        let mut gateway = Gateway {
            settings,
            log: dir.join(format!("gateway-{number}.log")),
            callers: SocketAddr::from((ip(number), ports[0])),
            child: None,
            stops: 0,
            started: Instant::now(),
            surprises: Vec::new(),
        };
        gateway.run()?;
        Ok(gateway)
    }

    /// Returns where callers reach it, also while it is not running.
    pub(super) fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Starts the process if it is not running.
    pub(super) fn run(&mut self) -> Result<()> {
        self.note_end();
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(find("mustard-gateway")?)
            .args(["--metrics-port", "0"])
            .env("MUSTARDFIELD_BOOT", &self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        self.stops = 0;
        self.started = Instant::now();
        Ok(())
    }

    /// Kills the process.
    pub(super) fn kill(&mut self) -> Result<()> {
        self.note_end();
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Asks the process to stop; it goes on until it has ended its requests.
    pub(super) fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)?;
        self.stops += 1;
        Ok(())
    }

    /// Waits for a process that was asked to stop, and starts it again.
    pub(super) fn renew(&mut self) -> Result<()> {
        // Another fault may have started it anew meanwhile.
        if self.stops > 0
            && let Some(mut child) = self.child.take()
        {
            let status = child.wait()?;
            self.note_status(status);
        }
        self.run()
    }

    /// Sends a signal to the process if it runs.
    pub(super) fn signal(&mut self, signal: Signal) -> Result<()> {
        self.note_end();
        match &self.child {
            Some(child) => kill_process(Pid::from_child(child), signal).map_err(TestError::Signal),
            None => Ok(()),
        }
    }

    /// Asks the process to read its settings again, unless the system has only just loaded it, when
    /// no program could catch the signal yet.
    pub(super) fn reload(&mut self) -> Result<()> {
        if self.started.elapsed() < LOADING {
            return Ok(());
        }
        self.signal(Signal::HUP)
    }

    fn note_end(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        if let Ok(Some(status)) = child.try_wait() {
            self.child = None;
            self.note_status(status);
        }
    }

    fn note_status(&mut self, status: ExitStatus) {
        // 3 says that a request was cut at the end of the grace; a process that has only just
        // started ends by the signal itself.
        let planned = match status.code() {
            Some(0 | 3) => true,
            // A second signal asks for the end at once.
            Some(4) => self.stops > 1,
            Some(_) => false,
            None => status.signal() == Some(TERM),
        };
        if self.stops == 0 || !planned {
            self.surprises.push(format!("ended with {status}"));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
