//! Starts real processes with the platform's stand-in; each is ended by its process id.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::bail;

use mustard_core::catalogue::{Class, Entry, Limits, Op, Snapshot, Target};
use mustard_core::fingerprint::KeyHash;
use mustard_core::ids::Revision;
use mustard_fakes::fault::Command;
use mustard_platform::vms::{Vm, VmKind, VmState};
use mustard_tests::child::Child;
use mustard_tests::http::Ask;
use mustard_tests::operator::{NewChange, Operator};

const OPERATOR: &str = "bench-operator";
const ANY_PORT: &str = "127.0.0.1:0";
const READY_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);
pub(super) const DOMAIN: &str = "ga-north-a";

/// The platform's stand-in and the entry processes that use it.
pub(super) struct Fleet {
    pub(super) platform: Child,
    pub(super) entries: Vec<Child>,
    dir: PathBuf,
    born: usize,
}

impl Fleet {
    /// Starts a platform.
    pub(super) fn new(dir: &Path) -> anyhow::Result<Self> {
        // The bench loads the table beyond the platform's limits to fill it quickly.
        let rates = ["--writes-rate", "100000", "--reads-rate", "100000"];
        let flags: Vec<String> = rates.iter().map(|f| (*f).to_owned()).collect();
        Ok(Fleet {
            platform: Child::start("fake-platform", "platform", &flags, dir)?,
            entries: Vec::new(),
            dir: dir.to_owned(),
            born: 0,
        })
    }

    /// Starts an entry process that joins the others.
    pub(super) fn add_entry(&mut self) -> anyhow::Result<()> {
        self.born += 1;
        let name = format!("entry-{}", self.born);
        let platform = self.platform.addr();
        let hash = KeyHash::of(OPERATOR).0;
        let text = format!(
            "name = \"{name}\"\nlisten = \"{ANY_PORT}\"\ndomain = \"{DOMAIN}\"\n\
             operators = [\"bench:{hash}\"]\n\
             [platform]\ntable = \"{platform}\"\nobjects = \"{platform}\"\nvms = \"{platform}\"\n\
             [log]\nlevel = \"error\"\n"
        );
        let child = self.start("mustard-entry", &name, &text)?;
        self.list(&name, child.addr(), VmKind::Entry)?;
        self.entries.push(child);
        Ok(())
    }

    /// Starts a program with a settings file.
    pub(super) fn start(&self, program: &str, name: &str, text: &str) -> anyhow::Result<Child> {
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        let args = ["--config".to_owned(), file.display().to_string()];
        Ok(Child::start(program, name, &args, &self.dir)?)
    }

    /// Returns the directory of logs and settings.
    pub(super) fn dir(&self) -> &Path {
        &self.dir
    }

    /// Adds a VM to the platform's list.
    pub(super) fn list(&self, name: &str, addr: SocketAddr, kind: VmKind) -> anyhow::Result<()> {
        let vm = Vm {
            name: name.to_owned(),
            kind,
            addr,
            domain: DOMAIN.to_owned(),
            state: VmState::Live,
        };
        let mut ask = Ask::post(self.platform.addr(), "/vms", serde_json::to_string(&vm)?);
        ask.method = "PUT";
        ask.send()?;
        Ok(())
    }

    /// Tells the table to be slow or down.
    pub(super) fn fault(&self, delay_ms: u64, down: bool) -> anyhow::Result<()> {
        let command = Command {
            part: Some("table".to_owned()),
            delay_ms: Some(delay_ms),
            down: Some(down),
            ..Command::default()
        };
        let body = serde_json::to_string(&command)?;
        Ask::post(self.platform.addr(), "/control", body).send()?;
        Ok(())
    }

    /// Waits until an entry process is ready and returns how long it took.
    pub(super) fn wait_ready(&self, entry: usize) -> anyhow::Result<Duration> {
        let addr = self.entries[entry].addr();
        wait("an entry process to be ready", || {
            Ok(Ask::get(addr, "/readyz").send()?.status == 200)
        })
    }

    /// Returns the operator's client of an entry process.
    pub(super) fn operator(&self, entry: usize) -> Operator {
        Operator::new(self.entries[entry].addr(), OPERATOR)
    }

    /// Returns the catalogue in force at an entry process.
    pub(super) fn catalogue(&self, entry: usize) -> anyhow::Result<Snapshot> {
        Ok(self.operator(entry).catalogue()?)
    }
}

/// Sends a change and returns its sequence number.
pub(super) fn change(operator: &Operator, number: usize, revision: u64) -> anyhow::Result<u64> {
    let change = NewChange {
        id: format!("bench-{number}-{revision}-{:x}", rand::random::<u64>()),
        expected: Revision(revision),
        op: Op::Put(entry(number, revision)),
    };
    let answer = operator.send(&change)?;
    if answer.status != 200 {
        bail!("change was refused with {}: {}", answer.status, answer.body);
    }
    let accepted: mustard_tests::operator::Accepted = answer.json()?;
    Ok(accepted.seq.0)
}

fn entry(number: usize, revision: u64) -> Entry {
    Entry {
        name: format!("entry-{number}"),
        owner: format!("customer-{}", number / 4),
        class: Class::Deadline,
        target: Target::Model {
            model: format!("model-{}", number % 23),
            layers: 48,
        },
        limits: Limits {
            max_tokens: 1 + revision as u32,
            ..Limits::default()
        },
        keys: vec![
            KeyHash::of(&format!("key-{number}")),
            KeyHash::of(&format!("other-{number}")),
        ],
    }
}

/// Waits for a condition and returns how long it took.
pub(super) fn wait(
    what: &str,
    mut holds: impl FnMut() -> anyhow::Result<bool>,
) -> anyhow::Result<Duration> {
    let start = Instant::now();
    while start.elapsed() < READY_LIMIT {
        if holds().unwrap_or(false) {
            return Ok(start.elapsed());
        }
        std::thread::sleep(POLL);
    }
    bail!("waited too long for {what}")
}
