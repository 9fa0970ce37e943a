//! The servers and entry processes known to this process.
//!
//! Signs about an agent come from the platform's list, from heartbeats and from the outcome of
//! work. They move the agent's state by the rules of `mustard_policy`; the request path reads
//! the published view without a lock.

mod record;
mod selection;
mod sign;
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
use mustard_policy::membership::{Membership, Sign, Turn};
use mustard_proto::agent::{AgentInfo, Load};

pub use record::Known;
use record::{facts_of, listed_of, report_of, said_of};
use sign::sign_of;

/// The agents that are known beyond the subset, asked in turn to learn what they hold.
const UNSEEN_ASKED: usize = 4;

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
    agents: Map<String, Known>,
    entries: Map<String, Vm>,
}

impl Servers {
    /// Creates an empty set; `subset` is the number of agents watched in detail.
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

    /// Returns the published view.
    pub fn view(&self) -> Arc<Fleet> {
        self.view.load_full()
    }

    /// Returns every agent known.
    pub fn agents(&self) -> Vec<Known> {
        self.lock().agents.values().cloned().collect()
    }

    /// Returns an agent by the name of its VM.
    pub fn agent(&self, vm: &str) -> Option<Known> {
        self.lock().agents.get(vm).cloned()
    }

    /// Returns the other entry processes that the platform's list has as live.
    pub fn peers(&self) -> Vec<Vm> {
        let registry = self.lock();
        let other = |vm: &&Vm| vm.state == VmState::Live && vm.name != self.process.name();
        registry.entries.values().filter(other).cloned().collect()
    }

    /// Returns the addresses of the other live entry processes.
    pub fn peer_addrs(&self) -> Vec<SocketAddr> {
        self.peers().into_iter().map(|vm| vm.addr).collect()
    }

    /// Takes in an entry process that introduced itself; the platform's list goes first.
    pub fn meet(&self, vm: Vm) {
        self.lock().entries.entry(vm.name.clone()).or_insert(vm);
    }

    /// Takes in a VM of the platform's list.
    pub fn list(&self, vm: Vm) {
        if vm.kind == VmKind::Entry {
            let mut registry = self.lock();
            match vm.state {
                VmState::Gone => drop(registry.entries.remove(&vm.name)),
                _ => drop(registry.entries.insert(vm.name.clone(), vm)),
            }
            return;
        }
        let name = vm.name.clone();
        let sign = Sign::Listed(listed_of(vm.state));
        let gone = vm.state == VmState::Gone;
        {
            let mut registry = self.lock();
            match registry.agents.get_mut(&name) {
                Some(known) => known.relist(vm),
                None if gone => return,
                None => drop(registry.agents.insert(name.clone(), Known::new(vm))),
            }
        }
        self.sign(&name, sign);
        if gone {
            self.remove(&name);
        }
    }

    /// Returns the agents to ask for their state now: those that were silent for `pause`, or for
    /// longer where that would take more than `rate` messages a second.
    pub fn due(&self, pause: Duration, rate: u64) -> Vec<Known> {
        let now = self.process.now();
        let mut registry = self.lock();
        let watched = registry.agents.values().filter(|k| k.chosen).count();
        let pause = pause.max(Duration::from_secs(1) * watched as u32 / rate.max(1) as u32);
        let mut unseen = UNSEEN_ASKED;
        let mut due = Vec::new();
        for known in registry.agents.values_mut() {
            let is_unseen = !known.chosen && known.info.is_none() && unseen > 0;
            let wanted = known.chosen || is_unseen;
            if !wanted || now.since(known.asked) < pause || known.is_fresh(now, pause) {
                continue;
            }
            unseen -= usize::from(is_unseen);
            known.asked = now;
            due.push(known.clone());
        }
        due
    }

    /// Tells whether every watched agent was heard or was silent at least once.
    pub fn is_surveyed(&self) -> bool {
        let registry = self.lock();
        registry.agents.values().all(|k| !k.chosen || k.surveyed)
    }

    /// Takes in the state that an agent reports.
    pub fn heard(&self, vm: &str, info: &AgentInfo, round_trip: Option<Duration>) {
        let now = self.process.now();
        let facts = {
            let mut registry = self.lock();
            let Some(known) = registry.agents.get_mut(vm) else {
                return;
            };
            known.hear(now, info);
            known.chosen.then(|| facts_of(&known.vm, info))
        };
        if let Some(facts) = facts {
            self.publish(|fleet| {
                let same = fleet
                    .find(vm)
                    .and_then(|key| fleet.get(key))
                    .is_some_and(|s| *s.facts() == facts);
                if same {
                    return false;
                }
                fleet.upsert(facts.clone());
                true
            });
        }
        if let Some(live) = self.live(vm) {
            live.report(now, report_of(&info.load));
            if let Some(took) = round_trip {
                live.observe_entry(took.as_micros() as f32);
            }
        }
        self.sign(vm, Sign::Heartbeat(info.incarnation, said_of(info.state)));
    }

    /// Takes in a load report that came with an answer to work.
    pub fn loaded(&self, key: ServerKey, load: &Load) {
        let now = self.process.now();
        let fleet = self.view.load();
        let Some(server) = fleet.get(key) else { return };
        let live = server.live();
        live.report(now, report_of(load));
        if load.step_us > 0 {
            live.observe_step(now, load.step_us as f32);
        }
        if load.prefill_us > 0 {
            live.observe_prefill(load.prefill_us as f32);
        }
        // An agent that answers work need not be asked for its state.
        if let Some(known) = self.lock().agents.get_mut(&server.facts().vm) {
            known.answered(now, load);
        }
    }

    /// Takes in that work was done by a server.
    pub fn worked(&self, key: ServerKey) {
        let fleet = self.view();
        let Some(server) = fleet.get(key) else { return };
        // Most work is done by servers whose state cannot improve.
        if server.live().state() == State::Ready && server.live().weight() >= 1.0 {
            return;
        }
        self.sign(&server.facts().vm, Sign::Worked);
    }

    /// Takes in why work failed at an agent.
    pub fn failed(&self, vm: &str, error: &CallError) {
        let life = self.life(vm);
        if let Some(sign) = sign_of(error, life) {
            self.sign(vm, sign);
        }
    }

    /// Takes in a sign about an agent.
    pub fn sign(&self, vm: &str, sign: Sign) {
        let now = self.process.now();
        let turn = {
            let mut registry = self.lock();
            let Some(known) = registry.agents.get_mut(vm) else {
                return;
            };
            if known.take(now, sign) {
                let agent = vm.to_owned();
                self.process.emit(None, EventKind::BreakerOpened { agent });
            }
            registry.members.take(now, vm, sign)
        };
        self.set_state(vm);
        if let Some(turn) = turn {
            self.announce(&turn);
        }
    }

    /// Takes in that time passed.
    pub fn tick(&self) {
        let now = self.process.now();
        let turns = self.lock().members.tick(now);
        for turn in &turns {
            self.announce(turn);
        }
        let names: Vec<String> = self.lock().agents.keys().cloned().collect();
        for name in names {
            self.set_state(&name);
        }
    }

    /// Publishes the state that membership and breaker give together.
    fn set_state(&self, vm: &str) {
        let now = self.process.now();
        let (state, share) = {
            let registry = self.lock();
            let Some(known) = registry.agents.get(vm) else {
                return;
            };
            let state = registry.members.state(vm).unwrap_or(State::Suspect);
            (state, known.share(now))
        };
        let state = match state {
            State::Ready if share <= 0.0 => State::Suspect,
            other => other,
        };
        if let Some(live) = self.live(vm) {
            live.set_state(state);
            live.set_weight(share);
        }
    }

    fn live(&self, vm: &str) -> Option<Arc<mustard_policy::fleet::Live>> {
        let fleet = self.view.load();
        let key = fleet.find(vm)?;
        fleet.get(key).map(|s| Arc::clone(s.live()))
    }

    fn life(&self, vm: &str) -> Incarnation {
        let registry = self.lock();
        let info = registry.agents.get(vm).and_then(|k| k.info.as_ref());
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
                    server.live().set_state(State::Dead);
                }
            }
            !keys.is_empty()
        });
    }

    /// Publishes a changed view; `change` tells whether it changed anything.
    fn publish(&self, change: impl Fn(&mut Fleet) -> bool) {
        // The lock orders writers; readers take the view without it.
        let _registry = self.lock();
        let mut fleet = Fleet::clone(&self.view.load());
        if change(&mut fleet) {
            self.view.store(Arc::new(fleet));
        }
    }

    fn announce(&self, turn: &Turn) {
        let agent = turn.vm.clone();
        let state = format!("{:?}", turn.state).to_lowercase();
        metrics::counter!("mustard_entry_agent_turns_total", "state" => state).increment(1);
        match turn.state {
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
