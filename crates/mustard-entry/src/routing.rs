//! The servers known to this process and the choice among them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mustard_core::collections::Map;
use mustard_core::ids::{Incarnation, Layers};
use mustard_net::Process;
use mustard_platform::vms::{Vm, VmKind, VmState};
use mustard_proto::agent::{AgentInfo, AgentState, Role};
use mustard_proto::step::Hop;

use crate::drive::{Chain, Want};

const RETRY: Duration = Duration::from_millis(500);
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// What is known of one agent.
#[derive(Clone, Debug)]
pub struct Known {
    /// The VM as the platform's list has it.
    pub vm: Vm,
    /// The state that the agent last reported.
    pub info: Option<AgentInfo>,
    /// When it was last heard of, by the process's clock.
    pub heard: mustard_core::clock::Moment,
    /// Whether the last exchange failed.
    pub silent: bool,
    picked: Arc<AtomicU32>,
}

/// A plain service's agent that was chosen for a call.
#[derive(Clone, Debug)]
pub struct Server {
    /// The name of the VM.
    pub name: String,
    /// Where the agent takes messages.
    pub addr: SocketAddr,
    /// The life of the agent.
    pub incarnation: Incarnation,
}

/// The servers known to this process.
pub struct Routing {
    process: Arc<Process>,
    known: Mutex<Map<String, Known>>,
}

impl Routing {
    /// Creates an empty set.
    pub fn new(process: Arc<Process>) -> Self {
        Routing {
            process,
            known: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a VM of the platform's list.
    pub fn list(&self, vm: Vm) {
        if vm.kind != VmKind::Agent {
            return;
        }
        let mut known = self.lock();
        if vm.state == VmState::Gone {
            known.remove(&vm.name);
            return;
        }
        match known.get_mut(&vm.name) {
            Some(k) => k.vm = vm,
            None => {
                let fresh = Known {
                    vm: vm.clone(),
                    info: None,
                    heard: self.process.now(),
                    silent: false,
                    picked: Arc::default(),
                };
                known.insert(vm.name, fresh);
            }
        }
    }

    /// Takes in the state of an agent.
    pub fn heard(&self, name: &str, info: AgentInfo) {
        let now = self.process.now();
        if let Some(k) = self.lock().get_mut(name) {
            k.info = Some(info);
            k.heard = now;
            k.silent = false;
        }
    }

    /// Takes in that an agent did not answer.
    pub fn silent(&self, name: &str) {
        if let Some(k) = self.lock().get_mut(name) {
            k.silent = true;
        }
    }

    /// Takes in that an agent takes no new work.
    pub fn leaving(&self, name: &str) {
        if let Some(info) = self.lock().get_mut(name).and_then(|k| k.info.as_mut()) {
            info.state = AgentState::Leaving;
        }
    }

    /// Returns every agent known.
    pub fn all(&self) -> Vec<Known> {
        self.lock().values().cloned().collect()
    }

    /// Chooses a chain that holds every layer once.
    pub fn chain(&self, want: &Want) -> Result<Chain, Duration> {
        let known = self.lock();
        let mut chain = Chain {
            hops: Vec::new(),
            names: Vec::new(),
        };
        let mut first = 0;
        while first < want.layers {
            let stage = known
                .values()
                .filter(|k| self.usable(k) && !want.avoid.contains(&k.vm.name))
                .filter_map(|k| Some((k, stage_of(k, &want.model)?)))
                .filter(|(_, layers)| layers.first == first && layers.end <= want.layers)
                .min_by_key(|(k, _)| k.picked.load(Ordering::Relaxed));
            let Some((k, layers)) = stage else {
                return Err(RETRY);
            };
            k.picked.fetch_add(1, Ordering::Relaxed);
            chain.hops.push(Hop {
                addr: k.vm.addr,
                incarnation: life_of(k),
                layers,
            });
            chain.names.push(k.vm.name.clone());
            first = layers.end;
        }
        Ok(chain)
    }

    /// Chooses an agent beside a plain service.
    pub fn server(&self, service: &str, avoid: &[String]) -> Result<Server, Duration> {
        let known = self.lock();
        known
            .values()
            .filter(|k| self.usable(k) && !avoid.contains(&k.vm.name) && serves(k, service))
            .min_by_key(|k| k.picked.load(Ordering::Relaxed))
            .inspect(|k| {
                k.picked.fetch_add(1, Ordering::Relaxed);
            })
            .map(|k| Server {
                name: k.vm.name.clone(),
                addr: k.vm.addr,
                incarnation: life_of(k),
            })
            .ok_or(RETRY)
    }

    fn usable(&self, k: &Known) -> bool {
        let ready = k
            .info
            .as_ref()
            .is_some_and(|i| i.state == AgentState::Ready);
        let fresh = self.process.now().since(k.heard) < MAX_SILENCE;
        ready && fresh && !k.silent && k.vm.state == VmState::Live
    }
}

fn life_of(k: &Known) -> Incarnation {
    k.info.as_ref().map_or(Incarnation(0), |i| i.incarnation)
}

fn stage_of(k: &Known, model: &str) -> Option<Layers> {
    match &k.info.as_ref()?.role {
        Role::Stage {
            model: held,
            layers,
            ..
        } if held == model => Some(*layers),
        _ => None,
    }
}

fn serves(k: &Known, wanted: &str) -> bool {
    let role = k.info.as_ref().map(|i| &i.role);
    matches!(role, Some(Role::Service { service }) if service == wanted)
}
