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

use crate::child::find_program;
use crate::errors::{Result, TestError};
use crate::ports::free_port;

/// An upper bound on the time from the spawn of a process to its first instructions, on a busy
/// machine.
const STARTUP_TIME: Duration = Duration::from_millis(30);
const SIGTERM: i32 = Signal::TERM.as_raw();

/// A gateway process; dropping this kills the process.
pub(super) struct Gateway {
    settings: PathBuf,
    log: PathBuf,
    caller_addr: SocketAddr,
    child: Option<Child>,
    /// How many times `SIGTERM` was sent since the process was started.
    stop_signals: u32,
    started_at: Instant,
    /// Descriptions of exits that no fault asked for, with their exit status.
    pub(super) unexpected_exits: Vec<String>,
}

impl Gateway {
    /// Writes the settings of gateway `number` and starts it; `store_addr` is the address of the
    /// store that it uses.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or the program can't be started.
    pub(super) fn start(
        site: &Site,
        store_addr: SocketAddr,
        number: usize,
        gateway_count: usize,
        peer_port: u16,
        dir: &Path,
    ) -> Result<Self> {
        let ip = |n: usize| Ipv4Addr::new(127, 0, 0, n as u8 + 1);
        let seeds: Vec<Ipv4Addr> = (0..gateway_count).map(ip).collect();
        let port = || free_port().ok_or(TestError::NoPort);
        let ports = [port()?, port()?, peer_port];
        let mut content = site.settings(ip(number), ports, &seeds);
        content["platform"]["address"] = json!(store_addr.to_string());
        let settings = dir.join(format!("gateway-{number}.json"));
        fs::write(&settings, content.to_string())?;
        let mut gateway = Gateway {
            settings,
            log: dir.join(format!("gateway-{number}.log")),
            caller_addr: SocketAddr::from((ip(number), ports[0])),
            child: None,
            stop_signals: 0,
            started_at: Instant::now(),
            unexpected_exits: Vec::new(),
        };
        gateway.ensure_running()?;
        Ok(gateway)
    }

    /// Returns the address for callers, which stays the same across restarts.
    pub(super) fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Starts the process if it is not running.
    pub(super) fn ensure_running(&mut self) -> Result<()> {
        self.reap_exited();
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(find_program("mustard-gateway")?)
            .args(["--metrics-port", "0"])
            .env("MUSTARDFIELD_BOOT", &self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        self.stop_signals = 0;
        self.started_at = Instant::now();
        Ok(())
    }

    /// Kills the process.
    pub(super) fn kill(&mut self) -> Result<()> {
        self.reap_exited();
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Asks the process to stop (`SIGTERM`); it first finishes its requests.
    pub(super) fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)?;
        self.stop_signals += 1;
        Ok(())
    }

    /// Waits until a process that was asked to stop has exited, and starts it again.
    pub(super) fn restart(&mut self) -> Result<()> {
        // Another fault may have restarted it meanwhile.
        if self.stop_signals > 0
            && let Some(mut child) = self.child.take()
        {
            let status = child.wait()?;
            self.check_exit(status);
        }
        self.ensure_running()
    }

    /// Sends a signal to the process if it is running.
    pub(super) fn signal(&mut self, signal: Signal) -> Result<()> {
        self.reap_exited();
        match &self.child {
            Some(child) => kill_process(Pid::from_child(child), signal).map_err(TestError::Signal),
            None => Ok(()),
        }
    }

    /// Asks the process to reload its settings (`SIGHUP`), unless it has only just been spawned:
    /// until a program installs its handler, the signal ends it.
    pub(super) fn reload(&mut self) -> Result<()> {
        if self.started_at.elapsed() < STARTUP_TIME {
            return Ok(());
        }
        self.signal(Signal::HUP)
    }

    fn reap_exited(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        if let Ok(Some(status)) = child.try_wait() {
            self.child = None;
            self.check_exit(status);
        }
    }

    fn check_exit(&mut self, status: ExitStatus) {
        // Exit code 3: a request was cut off at the end of the grace period. A process without a
        // handler yet is ended by the signal itself.
        let is_expected = match status.code() {
            Some(0 | 3) => true,
            // Exit code 4: a second signal asked for an immediate stop.
            Some(4) => self.stop_signals > 1,
            Some(_) => false,
            None => status.signal() == Some(SIGTERM),
        };
        if self.stop_signals == 0 || !is_expected {
            self.unexpected_exits.push(format!("ended with {status}"));
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
