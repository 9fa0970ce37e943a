//! A complete system of processes on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::de::DeserializeOwned;

use mustard_core::catalogue::{Entry, Limits, Target};
use mustard_core::fingerprint::KeyHash;
use mustard_core::ids::Layers;
use mustard_fakes::engine::Ledger;
use mustard_fakes::fault::FaultCommand;
use mustard_fakes::service::Booking;
use mustard_platform::vms::{Vm, VmKind, VmState};
use mustard_proto::admin::EntryState;

use crate::caller::Caller;
use crate::child::Child;
use crate::errors::Result;
use crate::http::HttpRequest;
use crate::node::{Node, NodeRef};
use crate::operator::Operator;
use crate::plan::{CUSTOMER_KEY, DOMAINS, MODEL, OPERATOR_KEY, Plan, SERVICE};
use crate::wait::wait_for;

const ANY_PORT: &str = "127.0.0.1:0";

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Held by the running cluster: tests of one executable run one cluster at a time, so that they
/// don't overload the VM.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// A complete system of processes on loopback; dropping this kills them.
#[derive(Debug)]
pub struct Cluster {
    /// The stand-in for the platform's services.
    pub platform: Child,
    /// The entry processes.
    pub entries: Vec<Child>,
    /// The stages, in order of layers within each replica; later additions are at the end.
    pub stages: Vec<Node>,
    /// The plain services.
    pub services: Vec<Node>,
    plan: Plan,
    dir: PathBuf,
    name_count: usize,
    _lock: MutexGuard<'static, ()>,
}

impl Cluster {
    /// Starts the processes of a plan. Unless the plan leaves the catalogue empty, waits until each
    /// entry process serves both drafts and bookings.
    pub fn start(plan: &Plan) -> Result<Self> {
        let lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("mustard-tests-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir)?;
        let platform = Child::start("fake-platform", "platform", &plan.platform_flags, &dir)?;
        let mut cluster = Cluster {
            platform,
            entries: Vec::new(),
            stages: Vec::new(),
            services: Vec::new(),
            plan: plan.clone(),
            dir,
            name_count: 0,
            _lock: lock,
        };
        cluster.start_all()?;
        Ok(cluster)
    }

    fn start_all(&mut self) -> Result<()> {
        for _ in 0..self.plan.replicas {
            for layers in self.plan.layer_ranges.clone() {
                self.add_stage(layers)?;
            }
        }
        for _ in 0..self.plan.services {
            self.add_service()?;
        }
        for _ in 0..self.plan.entries {
            self.add_entry()?;
        }
        if self.plan.seeds_catalogue {
            self.seed_catalogue()?;
        }
        Ok(())
    }

    /// Starts one more stage and returns its index.
    pub fn add_stage(&mut self, layers: Layers) -> Result<usize> {
        let vm = self.next_name("stage");
        let mut flags = vec![
            "--model".to_owned(),
            MODEL.to_owned(),
            "--layers".to_owned(),
            layers.to_string(),
            "--total-layers".to_owned(),
            self.plan.layers().to_string(),
        ];
        flags.extend(self.plan.engine_flags.iter().cloned());
        let node = self.start_node(&vm, "fake-engine", &flags, "engine", layers)?;
        self.stages.push(node);
        Ok(self.stages.len() - 1)
    }

    /// Starts one more plain service and returns its index.
    pub fn add_service(&mut self) -> Result<usize> {
        let vm = self.next_name("booking");
        let mut flags = self.plan.service_flags.clone();
        // All services of a cluster store their bookings in the first one.
        if let Some(first) = self.services.first() {
            flags.extend(["--books".to_owned(), first.server.addr().to_string()]);
        }
        let node = self.start_node(&vm, "fake-service", &flags, "service", Layers::default())?;
        self.services.push(node);
        Ok(self.services.len() - 1)
    }

    /// Starts one more entry process and returns its index.
    pub fn add_entry(&mut self) -> Result<usize> {
        let name = self.next_name("entry");
        let child = self.start_entry(&name, ANY_PORT)?;
        self.entries.push(child);
        Ok(self.entries.len() - 1)
    }

    /// Kills an entry process and starts it again at the same address, without its former state.
    pub fn restart_entry(&mut self, index: usize) -> Result<()> {
        let (name, addr) = {
            let old = &mut self.entries[index];
            let _ = old.kill();
            (old.name().to_owned(), old.addr().to_string())
        };
        self.entries[index] = self.start_entry(&name, &addr)?;
        Ok(())
    }

    fn start_entry(&self, name: &str, listen: &str) -> Result<Child> {
        let platform = self.platform.addr();
        let hash = KeyHash::of(OPERATOR_KEY).0;
        let domain = DOMAINS[self.entries.len() % DOMAINS.len()];
        let text = format!(
            "name = \"{name}\"\nlisten = \"{listen}\"\ndomain = \"{domain}\"\n\
             operators = [\"anna:{hash}\"]\n{}\n\
             [platform]\ntable = \"{platform}\"\nobjects = \"{platform}\"\nvms = \"{platform}\"\n",
            self.plan.entry_settings,
        );
        let child = self.start_configured("mustard-entry", name, &text)?;
        self.list_vm(&child, VmKind::Entry, domain, VmState::Live)?;
        Ok(child)
    }

    fn start_node(
        &mut self,
        vm: &str,
        program: &str,
        flags: &[String],
        kind: &str,
        layers: Layers,
    ) -> Result<Node> {
        let server = Child::start(program, &format!("{vm}-server"), flags, &self.dir)?;
        let domain = DOMAINS[self.name_count % DOMAINS.len()].to_owned();
        let mut settings = vec![
            format!("vm = \"{vm}\""),
            format!("domain = \"{domain}\""),
            format!("kind = \"{kind}\""),
            format!("server = \"{}\"", server.addr()),
            format!("table = \"{}\"", self.platform.addr()),
        ];
        if kind == "service" {
            settings.push(format!("service = \"{SERVICE}\""));
        }
        let agent = self.start_agent(vm, &settings, ANY_PORT)?;
        self.list_vm(&agent, VmKind::Agent, &domain, VmState::Live)?;
        Ok(Node {
            server,
            agent,
            layers,
            settings,
            domain,
        })
    }

    fn start_agent(&self, vm: &str, settings: &[String], listen: &str) -> Result<Child> {
        let text = format!("{}\nlisten = \"{listen}\"\n", settings.join("\n"));
        self.start_configured("mustard-agent", vm, &text)
    }

    /// Kills an agent and starts it again at the same address, without its former state.
    pub fn restart_agent(&mut self, node_ref: NodeRef) -> Result<()> {
        let node = self.node_mut(node_ref);
        let _ = node.agent.kill();
        let (vm, addr) = (node.vm().to_owned(), node.agent.addr().to_string());
        let settings = node.settings.clone();
        let agent = self.start_agent(&vm, &settings, &addr)?;
        self.node_mut(node_ref).agent = agent;
        Ok(())
    }

    fn node_mut(&mut self, node_ref: NodeRef) -> &mut Node {
        match node_ref {
            NodeRef::Stage(i) => &mut self.stages[i],
            NodeRef::Service(i) => &mut self.services[i],
        }
    }

    fn start_configured(&self, program: &str, name: &str, text: &str) -> Result<Child> {
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        let args = ["--config".to_owned(), file.display().to_string()];
        Child::start(program, name, &args, &self.dir)
    }

    fn next_name(&mut self, kind: &str) -> String {
        self.name_count += 1;
        format!("{kind}-{}", self.name_count)
    }

    /// Adds a process to the platform's list of VMs or changes its state there.
    pub fn list_vm(&self, child: &Child, kind: VmKind, domain: &str, state: VmState) -> Result<()> {
        let vm = Vm {
            name: child.name().to_owned(),
            kind,
            addr: child.addr(),
            domain: domain.to_owned(),
            state,
        };
        let mut request =
            HttpRequest::post(self.platform.addr(), "/vms", serde_json::to_string(&vm)?);
        request.method = "PUT";
        request.send()?;
        Ok(())
    }

    /// Marks a node as gone in the platform's list of VMs.
    pub fn list_vm_gone(&self, node: &Node) -> Result<()> {
        self.list_vm(&node.agent, VmKind::Agent, &node.domain, VmState::Gone)
    }

    /// Returns the catalogue entry that lets the customer use the model.
    pub fn model_entry(&self) -> Entry {
        Entry {
            name: MODEL.to_owned(),
            owner: "peachtree".to_owned(),
            class: mustard_core::catalogue::Class::Interactive,
            target: Target::Model {
                model: MODEL.to_owned(),
                layers: self.plan.layers(),
            },
            limits: Limits {
                rate: 10_000.0,
                burst: 10_000,
                concurrency: 10_000,
                max_tokens: 4096,
                ..Limits::default()
            },
            keys: vec![KeyHash::of(CUSTOMER_KEY)],
        }
    }

    /// Returns the catalogue entry that lets the customer use the plain service.
    pub fn service_entry(&self) -> Entry {
        Entry {
            name: SERVICE.to_owned(),
            target: Target::Service {
                service: SERVICE.to_owned(),
                repeatable: false,
            },
            ..self.model_entry()
        }
    }

    fn seed_catalogue(&self) -> Result<()> {
        for entry in [self.model_entry(), self.service_entry()] {
            let add = || self.operator(0).put(&entry, 0).ok();
            wait_for("the first catalogue entries are accepted", add)?;
        }
        for entry in 0..self.entries.len() {
            self.wait_ready(entry)?;
            // Other entry processes send nothing to a new one until the platform's list names it.
            let knows_peers = || {
                let status = self.operator(entry).status().ok()?;
                let known = status.entries.len() + 1 >= self.entries.len();
                (known && status.state == EntryState::Ready).then_some(())
            };
            wait_for("an entry process that knows its peers", knows_peers)?;
        }
        Ok(())
    }

    /// Waits until an entry process knows all agents and serves both drafts and reads.
    pub fn wait_ready(&self, entry: usize) -> Result<()> {
        let nodes = self.stages.len() + self.services.len();
        let joined = || {
            let status = self.operator(entry).status().ok()?;
            let known_agents = status.agents.iter().filter(|a| a.role.is_some()).count();
            (known_agents >= nodes).then_some(())
        };
        wait_for("all agents have joined", joined)?;
        let caller = self.caller(entry);
        let draft = || {
            let draft = caller.stream(MODEL, &[1], 1).ok()?;
            draft.is_whole().then_some(())
        };
        if !self.stages.is_empty() {
            wait_for("a first draft", draft)?;
        }
        if self.services.is_empty() {
            return Ok(());
        }
        wait_for("a first read", || {
            let read = caller.read(&format!("{SERVICE}/warm")).ok()?;
            (read.status == 200).then_some(())
        })
    }

    /// Returns a client of an entry process with the customer's key.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].addr(), CUSTOMER_KEY)
    }

    /// Returns a client of an entry process with the operator's key.
    pub fn operator(&self, entry: usize) -> Operator {
        Operator::new(self.entries[entry].addr(), OPERATOR_KEY)
    }

    /// Returns the ledger of a stage's engine.
    pub fn engine_ledger(&self, stage: usize) -> Result<Ledger> {
        read_ledger(self.stages[stage].server.addr())
    }

    /// Returns the index of a stage of the given layers that has an open sequence, if there is one.
    pub fn busy_stage(&self, layers: Layers) -> Option<usize> {
        let busy = |i: &usize| {
            self.stages[*i].layers == layers && self.engine_ledger(*i).is_ok_and(|l| l.open > 0)
        };
        (0..self.stages.len()).find(busy)
    }

    /// Returns all bookings that the plain services made.
    pub fn bookings(&self) -> Result<Vec<Booking>> {
        read_ledger(self.services[0].server.addr())
    }

    /// Returns the number of layers of the model.
    pub fn layers(&self) -> u32 {
        self.plan.layers()
    }
}

/// Reads the ledger of a stand-in: its record of what it ran.
pub fn read_ledger<T: DeserializeOwned>(addr: SocketAddr) -> Result<T> {
    HttpRequest::get(addr, "/ledger").send()?.json()
}

/// Injects a fault into a stand-in, or ends one.
pub fn send_fault_command(child: &Child, command: &FaultCommand) -> Result<()> {
    let body = serde_json::to_string(command)?;
    HttpRequest::post(child.addr(), "/control", body).send()?;
    Ok(())
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Keeps the logs of a failed test.
        if std::thread::panicking() {
            eprintln!("logs of the failed test are kept in {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
