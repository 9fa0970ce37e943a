//! The servers and entry processes known to this process.
//!
//! An observation is a piece of evidence about one agent; it comes from the platform's list of VMs,
//! from a heartbeat or from the outcome of a request. Observations change the agent's state by the
//! rules of `mustard_policy::membership`, and they open and close the agent's circuit breaker. A
//! suspect agent is one that may have failed; it has nothing to do with a suspect content.
//!
//! This process watches a subset of the agents: only these get regular heartbeats and requests.
//! Requests read a published snapshot of the watched agents, the view, without a lock.

mod observation;
mod record;
mod selection;
mod watch;

pub use watch::{follow_list, watch_agents};

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::{Logger, info, warn};

use mustard_core::collections::Map;
use mustard_core::event::EventKind;
use mustard_core::ids::Incarnation;
use mustard_net::{CallError, Process};
use mustard_platform::vms::{Vm, VmKind, VmState};
use mustard_policy::fleet::{Fleet, ServerKey, State};
use mustard_policy::membership::{Membership, Observation, StateChange};
use mustard_proto::agent::{AgentInfo, Load};

use observation::observation_from_error;
pub use record::AgentRecord;
use record::{listed_state, load_report, reported_state, server_info};

/// The most agents per round that get a heartbeat although this process does not watch them, to
/// learn what they serve.
const MAX_UNWATCHED_HEARTBEATS: usize = 4;

/// The servers and entry processes known to this process.
pub struct Servers {
    process: Arc<Process>,
    log: Logger,
    domain: String,
    subset: usize,
    view: ArcSwap<Fleet>,
    registry: Mutex<Registry>,
}

#[derive(Default)]
struct Registry {
    members: Membership,
    agents: Map<String, AgentRecord>,
    entry_processes: Map<String, Vm>,
}

impl Servers {
    /// Creates an empty set; `subset` is the most agents that this process watches.
    pub fn new(process: Arc<Process>, log: Logger, domain: &str, subset: usize) -> Self {
        Servers {
            process,
            log,
            domain: domain.to_owned(),
            subset,
            view: ArcSwap::default(),
            registry: Mutex::default(),
        }
    }

    /// Returns the current view of the watched agents.
    pub fn view(&self) -> Arc<Fleet> {
        self.view.load_full()
    }

    /// Returns every known agent, watched or not.
    pub fn agents(&self) -> Vec<AgentRecord> {
        self.lock().agents.values().cloned().collect()
    }

    /// Returns an agent by the name of its VM.
    pub fn agent(&self, vm: &str) -> Option<AgentRecord> {
        self.lock().agents.get(vm).cloned()
    }

    /// Returns the other live entry processes, known by the platform's list or by a greeting.
    pub fn peers(&self) -> Vec<Vm> {
        let registry = self.lock();
        let other = |vm: &&Vm| vm.state == VmState::Live && vm.name != self.process.name();
        registry
            .entry_processes
            .values()
            .filter(other)
            .cloned()
            .collect()
    }

    /// Returns the addresses of the other live entry processes.
    pub fn peer_addrs(&self) -> Vec<SocketAddr> {
        self.peers().into_iter().map(|vm| vm.addr).collect()
    }

    /// Adds an entry process that introduced itself; a VM that is known already stays as it is, as
    /// the platform's list takes precedence.
    pub fn add_peer(&self, vm: Vm) {
        self.lock()
            .entry_processes
            .entry(vm.name.clone())
            .or_insert(vm);
    }

    /// Applies the record of a VM from the platform's list.
    pub fn update_listed(&self, vm: Vm) {
        if vm.kind == VmKind::Entry {
            let mut registry = self.lock();
            match vm.state {
                VmState::Gone => drop(registry.entry_processes.remove(&vm.name)),
                _ => drop(registry.entry_processes.insert(vm.name.clone(), vm)),
            }
            return;
        }
        let name = vm.name.clone();
        let observation = Observation::Listed(listed_state(vm.state));
        let gone = vm.state == VmState::Gone;
        {
            let mut registry = self.lock();
            match registry.agents.get_mut(&name) {
                Some(record) => record.update_vm(vm),
                None if gone => return,
                None => drop(registry.agents.insert(name.clone(), AgentRecord::new(vm))),
            }
        }
        self.record_observation(&name, observation);
        if gone {
            self.remove(&name);
        }
    }

    /// Returns the agents to send a heartbeat to now: those that were silent for `interval`, or for
    /// longer if there are so many that more than `rate` heartbeats per second would be sent.
    pub fn due_heartbeats(&self, interval: Duration, rate: u64) -> Vec<AgentRecord> {
        let now = self.process.now();
        let mut registry = self.lock();
        let watched_count = registry.agents.values().filter(|r| r.watched).count();
        let interval =
            interval.max(Duration::from_secs(1) * watched_count as u32 / rate.max(1) as u32);
        let mut unwatched_left = MAX_UNWATCHED_HEARTBEATS;
        let mut due = Vec::new();
        for record in registry.agents.values_mut() {
            let unwatched_due = !record.watched && record.info.is_none() && unwatched_left > 0;
            let wanted = record.watched || unwatched_due;
            if !wanted
                || now.since(record.heartbeat_at) < interval
                || record.is_fresh(now, interval)
            {
                continue;
            }
            unwatched_left -= usize::from(unwatched_due);
            record.heartbeat_at = now;
            due.push(record.clone());
        }
        due
    }

    /// Returns whether every watched agent has answered a heartbeat or failed to, at least once.
    pub fn all_probed(&self) -> bool {
        let registry = self.lock();
        registry.agents.values().all(|r| !r.watched || r.probed)
    }

    /// Records the state that an agent reports; `round_trip` is the time its answer took, if that
    /// was the answer to a heartbeat.
    pub fn record_state(&self, vm: &str, info: &AgentInfo, round_trip: Option<Duration>) {
        let now = self.process.now();
        let new_info = {
            let mut registry = self.lock();
            let Some(record) = registry.agents.get_mut(vm) else {
                return;
            };
            record.update_info(now, info);
            record.watched.then(|| server_info(&record.vm, info))
        };
        if let Some(new_info) = new_info {
            self.publish(|fleet| {
                let same = fleet
                    .find(vm)
                    .and_then(|key| fleet.get(key))
                    .is_some_and(|s| *s.info() == new_info);
                if same {
                    return false;
                }
                fleet.upsert(new_info.clone());
                true
            });
        }
        if let Some(stats) = self.stats(vm) {
            stats.report(now, load_report(&info.load));
            if let Some(took) = round_trip {
                stats.observe_round_trip(took.as_micros() as f32);
            }
        }
        self.record_observation(
            vm,
            Observation::Heartbeat(info.incarnation, reported_state(info.state)),
        );
    }

    /// Records a load report that came with the answer to a step.
    pub fn record_load(&self, key: ServerKey, load: &Load) {
        let now = self.process.now();
        let fleet = self.view.load();
        let Some(server) = fleet.get(key) else { return };
        let stats = server.stats();
        stats.report(now, load_report(load));
        if load.step_us > 0 {
            stats.observe_step(now, load.step_us as f32);
        }
        if load.prefill_us > 0 {
            stats.observe_prefill(load.prefill_us as f32);
        }
        // An agent that answered a step needs no heartbeat soon.
        if let Some(record) = self.lock().agents.get_mut(&server.info().vm) {
            record.update_load(now, load);
        }
    }

    /// Records that a server completed a request or step.
    pub fn record_success(&self, key: ServerKey) {
        let fleet = self.view();
        let Some(server) = fleet.get(key) else { return };
        // Skips the lock in the common case: a ready agent with its full share can't improve.
        if server.stats().state() == State::Ready && server.stats().weight() >= 1.0 {
            return;
        }
        self.record_observation(&server.info().vm, Observation::CallSucceeded);
    }

    /// Records why a request or step failed at an agent.
    pub fn record_failure(&self, vm: &str, error: &CallError) {
        let incarnation = self.incarnation(vm);
        if let Some(observation) = observation_from_error(error, incarnation) {
            self.record_observation(vm, observation);
        }
    }

    /// Records evidence about an agent and publishes the state that follows.
    pub fn record_observation(&self, vm: &str, observation: Observation) {
        let now = self.process.now();
        let change = {
            let mut registry = self.lock();
            let Some(record) = registry.agents.get_mut(vm) else {
                return;
            };
            if record.record_observation(now, observation) {
                let agent = vm.to_owned();
                self.process.emit(None, EventKind::BreakerOpened { agent });
            }
            registry.members.observe(now, vm, observation)
        };
        self.update_state(vm);
        if let Some(change) = change {
            self.announce(&change);
        }
    }

    /// Applies what changes with time: a suspect agent that stays silent becomes dead, and the
    /// share of an agent grows after its breaker closed.
    pub fn tick(&self) {
        let now = self.process.now();
        let changes = self.lock().members.tick(now);
        for change in &changes {
            self.announce(change);
        }
        let names: Vec<String> = self.lock().agents.keys().cloned().collect();
        for name in names {
            self.update_state(&name);
        }
    }

    /// Publishes the state of an agent that follows from its membership and its breaker together.
    fn update_state(&self, vm: &str) {
        let now = self.process.now();
        let (state, share) = {
            let registry = self.lock();
            let Some(record) = registry.agents.get(vm) else {
                return;
            };
            let state = registry.members.state(vm).unwrap_or(State::Suspect);
            (state, record.share(now))
        };
        let state = match state {
            State::Ready if share <= 0.0 => State::Suspect,
            other => other,
        };
        if let Some(stats) = self.stats(vm) {
            stats.set_state(state);
            stats.set_weight(share);
        }
    }

    fn stats(&self, vm: &str) -> Option<Arc<mustard_policy::fleet::ServerStats>> {
        let fleet = self.view.load();
        let key = fleet.find(vm)?;
        fleet.get(key).map(|s| Arc::clone(s.stats()))
    }

    fn incarnation(&self, vm: &str) -> Incarnation {
        let registry = self.lock();
        let info = registry.agents.get(vm).and_then(|r| r.info.as_ref());
        info.map_or(Incarnation(0), |i| i.incarnation)
    }

    fn remove(&self, vm: &str) {
        {
            let mut registry = self.lock();
            registry.agents.remove(vm);
            registry.members.forget(vm);
        }
        self.unpublish(&[vm.to_owned()]);
    }

    fn unpublish(&self, names: &[String]) {
        self.publish(|fleet| {
            let keys: Vec<ServerKey> = names.iter().filter_map(|n| fleet.find(n)).collect();
            for key in &keys {
                if let Some(server) = fleet.remove(*key) {
                    server.stats().set_state(State::Dead);
                }
            }
            !keys.is_empty()
        });
    }

    /// Applies `change` to a copy of the view and publishes it; `change` returns whether it changed
    /// anything.
    fn publish(&self, change: impl Fn(&mut Fleet) -> bool) {
        // The lock serializes writers; readers load the view without it.
        let _registry = self.lock();
        let mut fleet = Fleet::clone(&self.view.load());
        if change(&mut fleet) {
            self.view.store(Arc::new(fleet));
        }
    }

    /// Logs, counts and emits a change of an agent's state.
    fn announce(&self, change: &StateChange) {
        let agent = change.vm.clone();
        let state = format!("{:?}", change.state).to_lowercase();
        metrics::counter!("mustard_entry_agent_turns_total", "state" => state).increment(1);
        match change.state {
            State::Ready => {
                info!(self.log, "members: Agent takes work."; "agent" => &agent);
                self.process.emit(None, EventKind::AgentJoined { agent });
            }
            State::Leaving => {
                info!(self.log, "members: Agent is leaving."; "agent" => &agent);
                self.process.emit(None, EventKind::AgentLeaving { agent });
            }
            State::Dead => {
                warn!(self.log, "members: Agent is gone."; "agent" => &agent);
                self.process.emit(None, EventKind::AgentLost { agent });
            }
            State::Suspect => warn!(self.log, "members: Agent is suspect."; "agent" => &agent),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
