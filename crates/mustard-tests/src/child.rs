//! One process under test.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{self, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::errors::{Result, TestError};
use crate::wait::eventually;

const LISTENING: &str = "listening ";

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    addr: SocketAddr,
    process: process::Child,
    log: PathBuf,
}

impl Child {
    /// Starts a program and waits until it listens; its log goes to `dir`.
    pub fn start(program: &str, name: &str, args: &[String], dir: &Path) -> Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log)?;
        let mut process = Command::new(find(program)?)
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

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns where the process listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> Result<()> {
        self.process.kill()?;
        self.process.wait()?;
        Ok(())
    }

    /// Stops the process where it is (`SIGSTOP`).
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a stopped process go on (`SIGCONT`).
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop (`SIGTERM`).
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self) -> Result<Option<i32>> {
        let what = format!("the end of {}", self.name);
        let status = eventually(&what, || self.process.try_wait().ok().flatten())?;
        Ok(status.code())
    }

    /// Tells whether the process runs.
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

/// Finds a program beside the test executable or in the directory above it.
pub fn find(program: &str) -> Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let above = exe.ancestors().skip(1).take(2);
    let mut found = above.map(|dir| dir.join(program)).filter(|p| p.is_file());
    found
        .next()
        .ok_or_else(|| TestError::NoProgram(exe.with_file_name(program)))
}

fn read_addr(stdout: process::ChildStdout) -> Option<SocketAddr> {
    let mut lines = BufReader::new(stdout).lines();
    let first = lines.find_map(|line| {
        let line = line.ok()?;
        line.strip_prefix(LISTENING)?.trim().parse().ok()
    });
    // A program may print more later, so its output is read to the end.
    std::thread::spawn(move || lines.for_each(drop));
    first
}
