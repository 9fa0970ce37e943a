//! A process under test.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{self, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::errors::{Result, TestError};
use crate::wait::wait_for;

const ADDR_PREFIX: &str = "listening ";

/// A process under test; dropping this kills the process.
#[derive(Debug)]
pub struct Child {
    name: String,
    addr: SocketAddr,
    process: process::Child,
    log: PathBuf,
}

impl Child {
    /// Starts a program and waits until it prints its listen address; its log is a file in `dir`.
    pub fn start(program: &str, name: &str, args: &[String], dir: &Path) -> Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log)?;
        let mut process = Command::new(find_program(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()?;
        let Some(addr) = process.stdout.take().and_then(read_addr) else {
            let _ = process.kill();
            let _ = process.wait();
            let name = name.to_owned();
            return Err(TestError::NotListening { name, log });
        };
        let name = name.to_owned();
        Ok(Child {
            name,
            addr,
            process,
            log,
        })
    }

    /// Returns the name of the process, which is also that of its log file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the process listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the log so far; empty if the file can't be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process (`SIGKILL`).
    pub fn kill(&mut self) -> Result<()> {
        self.process.kill()?;
        self.process.wait()?;
        Ok(())
    }

    /// Suspends the process (`SIGSTOP`).
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process (`SIGCONT`).
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop (`SIGTERM`).
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    pub fn wait(&mut self) -> Result<Option<i32>> {
        let what = format!("exit of {}", self.name);
        let status = wait_for(&what, || self.process.try_wait().ok().flatten())?;
        Ok(status.code())
    }

    /// Tells whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        kill_process(Pid::from_child(&self.process), signal).map_err(TestError::Signal)
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Finds a program in the directory of the test executable or in its parent directory.
pub fn find_program(program: &str) -> Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let dirs = exe.ancestors().skip(1).take(2);
    let mut candidates = dirs.map(|dir| dir.join(program)).filter(|p| p.is_file());
    candidates
        .next()
        .ok_or_else(|| TestError::NoProgram(exe.with_file_name(program)))
}

fn read_addr(stdout: process::ChildStdout) -> Option<SocketAddr> {
    let mut lines = BufReader::new(stdout).lines();
    let first = lines.find_map(|line| {
        let line = line.ok()?;
        line.strip_prefix(ADDR_PREFIX)?.trim().parse().ok()
    });
    // Drains the rest of the output, so that a program that prints more never blocks.
    std::thread::spawn(move || lines.for_each(drop));
    first
}
