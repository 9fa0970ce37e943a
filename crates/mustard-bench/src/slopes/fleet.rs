//! Starts real processes around a stand-in of the platform; each is ended by its process id.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::bail;

use mustard_core::catalogue::{Class, Entry, Limits, Op, Snapshot, Target};
use mustard_core::fingerprint::KeyHash;
use mustard_core::ids::{Layers, Revision};
use mustard_fakes::fault::FaultCommand;
use mustard_platform::vms::{Vm, VmKind, VmState};
use mustard_tests::child::Child;
use mustard_tests::http::HttpRequest;
use mustard_tests::operator::{NewChange, Operator};

const OPERATOR_KEY: &str = "bench-operator";
const ANY_PORT: &str = "127.0.0.1:0";
/// The time between tokens that admission aims at, long because some of the bench's engines are
/// slow on purpose.
const TARGET_GAP_MS: u64 = 1_000;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The model and the plain service of the bench, and the bearer key of its customer.
pub(super) const MODEL: &str = "caption";
pub(super) const SERVICE: &str = "placements";
pub(super) const CUSTOMER_KEY: &str = "bench-customer";
/// The failure domain of all processes.
pub(super) const DOMAIN: &str = "ga-north-a";

/// A stand-in of the platform, and the entry processes and backend servers that use it.
pub(super) struct Fleet {
    pub(super) platform: Child,
    pub(super) entries: Vec<Child>,
    pub(super) stages: Vec<Server>,
    pub(super) services: Vec<Server>,
    /// Where settings and logs of the processes go.
    dir: PathBuf,
    /// Entry processes and backend servers started so far, for their names.
    started: usize,
}

/// A backend server's stand-in with the agent beside it.
pub(super) struct Server {
    /// The agent.
    pub(super) agent: Child,
    _server: Child,
}

impl Fleet {
    /// Starts the stand-in of the platform; `dir` takes the files of all processes.
    pub(super) fn new(dir: &Path) -> anyhow::Result<Self> {
        // Rates far beyond the platform's limits let the bench fill the table quickly.
        let rates = ["--writes-rate", "100000", "--reads-rate", "100000"];
        let flags: Vec<String> = rates.iter().map(|f| (*f).to_owned()).collect();
        Ok(Fleet {
            platform: Child::start("fake-platform", "platform", &flags, dir)?,
            entries: Vec::new(),
            stages: Vec::new(),
            services: Vec::new(),
            dir: dir.to_owned(),
            started: 0,
        })
    }

    /// Starts an entry process that joins the others.
    pub(super) fn add_entry(&mut self) -> anyhow::Result<()> {
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let platform = self.platform.addr();
        let hash = KeyHash::of(OPERATOR_KEY).0;
        let text = format!(
            "name = \"{name}\"\nlisten = \"{ANY_PORT}\"\ndomain = \"{DOMAIN}\"\n\
             operators = [\"bench:{hash}\"]\n\
             [platform]\ntable = \"{platform}\"\nobjects = \"{platform}\"\nvms = \"{platform}\"\n\
             [admission]\ngap_ms = {TARGET_GAP_MS}\n[log]\nlevel = \"error\"\n"
        );
        let child = self.start("mustard-entry", &name, &text)?;
        self.register_vm(&name, child.addr(), VmKind::Entry)?;
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

    /// Starts an engine with some layers of the twelve-layer model, and the agent beside it.
    pub(super) fn add_stage(&mut self, layers: Layers, extra_flags: &[&str]) -> anyhow::Result<()> {
        let layers = layers.to_string();
        let mut flags = vec![
            "--model",
            MODEL,
            "--layers",
            &layers,
            "--total-layers",
            "12",
        ];
        flags.extend_from_slice(extra_flags);
        let server = self.add_server("fake-engine", &flags, "kind = \"engine\"\n")?;
        self.stages.push(server);
        Ok(())
    }

    /// Starts a plain service and the agent beside it.
    pub(super) fn add_service(&mut self) -> anyhow::Result<()> {
        let kind = format!("kind = \"service\"\nservice = \"{SERVICE}\"\n");
        let server = self.add_server("fake-service", &[], &kind)?;
        self.services.push(server);
        Ok(())
    }

    fn add_server(&mut self, program: &str, flags: &[&str], kind: &str) -> anyhow::Result<Server> {
        self.started += 1;
        let vm = format!("server-{}", self.started);
        let flags: Vec<String> = flags.iter().map(|f| (*f).to_owned()).collect();
        let server = Child::start(program, &format!("{vm}-server"), &flags, &self.dir)?;
        let text = format!(
            "vm = \"{vm}\"\ndomain = \"{DOMAIN}\"\nlisten = \"{ANY_PORT}\"\n\
             server = \"{}\"\ntable = \"{}\"\n{kind}[log]\nlevel = \"error\"\n",
            server.addr(),
            self.platform.addr()
        );
        let agent = self.start("mustard-agent", &vm, &text)?;
        self.register_vm(&vm, agent.addr(), VmKind::Agent)?;
        Ok(Server {
            agent,
            _server: server,
        })
    }

    /// Adds a catalogue entry through which one more customer uses the plain service.
    pub(super) fn add_customer_entry(&self, number: usize) -> anyhow::Result<()> {
        let target = Target::Service {
            service: SERVICE.to_owned(),
            repeatable: false,
        };
        let entry = unlimited_entry(&customer_entry_name(number), target);
        self.operator(0).put(&entry, 0)?;
        Ok(())
    }

    /// Adds the catalogue entries of the model and of the plain service, with limits that the bench
    /// never reaches.
    pub(super) fn add_unlimited_entries(&self) -> anyhow::Result<()> {
        let model = Target::Model {
            model: MODEL.to_owned(),
            layers: 12,
        };
        let service = Target::Service {
            service: SERVICE.to_owned(),
            repeatable: false,
        };
        for (name, target) in [(MODEL, model), (SERVICE, service)] {
            self.operator(0).put(&unlimited_entry(name, target), 0)?;
        }
        Ok(())
    }

    /// Adds a VM to the platform's list.
    pub(super) fn register_vm(
        &self,
        name: &str,
        addr: SocketAddr,
        kind: VmKind,
    ) -> anyhow::Result<()> {
        let vm = Vm {
            name: name.to_owned(),
            kind,
            addr,
            domain: DOMAIN.to_owned(),
            state: VmState::Live,
        };
        let mut request =
            HttpRequest::post(self.platform.addr(), "/vms", serde_json::to_string(&vm)?);
        request.method = "PUT";
        request.send()?;
        Ok(())
    }

    /// Makes the table delay each call or go down; zero and `false` end the fault.
    pub(super) fn set_table_fault(&self, delay_ms: u64, down: bool) -> anyhow::Result<()> {
        let command = FaultCommand {
            part: Some("table".to_owned()),
            delay_ms: Some(delay_ms),
            down: Some(down),
            ..FaultCommand::default()
        };
        let body = serde_json::to_string(&command)?;
        HttpRequest::post(self.platform.addr(), "/control", body).send()?;
        Ok(())
    }

    /// Waits until an entry process is ready and returns how long it took.
    pub(super) fn wait_ready(&self, entry: usize) -> anyhow::Result<Duration> {
        let addr = self.entries[entry].addr();
        wait_until("an entry process to be ready", || {
            Ok(HttpRequest::get(addr, "/readyz").send()?.status == 200)
        })
    }

    /// Returns an operator's client for an entry process.
    pub(super) fn operator(&self, entry: usize) -> Operator {
        Operator::new(self.entries[entry].addr(), OPERATOR_KEY)
    }

    /// Returns the catalogue that an entry process uses now.
    pub(super) fn catalogue(&self, entry: usize) -> anyhow::Result<Snapshot> {
        Ok(self.operator(entry).catalogue()?)
    }
}

/// Puts catalogue entry `number` over its `revision` and returns the change's sequence number.
pub(super) fn send_change(
    operator: &Operator,
    number: usize,
    revision: u64,
) -> anyhow::Result<u64> {
    let change = NewChange {
        id: format!("bench-{number}-{revision}-{:x}", rand::random::<u64>()),
        expected: Revision(revision),
        op: Op::Put(catalogue_entry(number, revision)),
    };
    let answer = operator.send_change(&change)?;
    if answer.status != 200 {
        bail!("change was refused with {}: {}", answer.status, answer.body);
    }
    let accepted: mustard_tests::operator::AcceptedChange = answer.json()?;
    Ok(accepted.seq.0)
}

/// Returns a catalogue entry of ordinary size that differs with each revision.
fn catalogue_entry(number: usize, revision: u64) -> Entry {
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

/// Returns the name of a customer's catalogue entry.
pub(super) fn customer_entry_name(number: usize) -> String {
    format!("customer-{number}")
}

/// Returns a catalogue entry with limits that the bench never reaches.
fn unlimited_entry(name: &str, target: Target) -> Entry {
    Entry {
        name: name.to_owned(),
        owner: "bench".to_owned(),
        class: Class::Interactive,
        target,
        limits: Limits {
            rate: 100_000.0,
            burst: 100_000,
            concurrency: 100_000,
            max_tokens: 4_096,
            ..Limits::default()
        },
        keys: vec![KeyHash::of(CUSTOMER_KEY)],
    }
}

/// Waits until a condition holds and returns how long it took; an error counts as not yet.
pub(super) fn wait_until(
    what: &str,
    mut holds: impl FnMut() -> anyhow::Result<bool>,
) -> anyhow::Result<Duration> {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if holds().unwrap_or(false) {
            return Ok(start.elapsed());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    bail!("timed out waiting for {what}")
}
