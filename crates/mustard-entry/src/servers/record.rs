//! The record of one agent.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_platform::vms::{Vm, VmState};
use mustard_policy::breaker::{Allowed, Breaker};
use mustard_policy::fleet::{LoadReport, Role as PolicyRole, ServerInfo};
use mustard_policy::membership::{ListedState, Observation, ReportedState};
use mustard_proto::agent::{AgentInfo, AgentState, Load, Role};

/// What this process knows about one agent.
#[derive(Clone, Debug)]
pub struct AgentRecord {
    /// The VM as in the platform's list.
    pub vm: Vm,
    /// The state that the agent last reported; absent until it answers.
    pub info: Option<AgentInfo>,
    /// When it last answered a heartbeat or a step.
    pub heard_at: Option<Moment>,
    /// Whether it belongs to the subset that gets regular heartbeats and requests.
    pub watched: bool,
    /// Whether it has answered a heartbeat or failed to, at least once.
    pub probed: bool,
    /// When it was last sent a heartbeat.
    pub(super) heartbeat_at: Moment,
    breaker: Breaker,
}

impl AgentRecord {
    /// Creates the record of an agent that never answered.
    pub(super) fn new(vm: Vm) -> Self {
        AgentRecord {
            vm,
            info: None,
            heard_at: None,
            watched: true,
            probed: false,
            heartbeat_at: Moment::default(),
            breaker: Breaker::new(),
        }
    }

    /// Replaces the VM; a new address means a new agent.
    pub(super) fn update_vm(&mut self, vm: Vm) {
        if vm.addr != self.vm.addr {
            self.info = None;
            self.heard_at = None;
            self.probed = false;
        }
        self.vm = vm;
    }

    /// Records the state that the agent reports.
    pub(super) fn update_info(&mut self, now: Moment, info: &AgentInfo) {
        self.info = Some(info.clone());
        self.heard_at = Some(now);
        self.probed = true;
    }

    /// Records a load report that came with the answer to a step.
    pub(super) fn update_load(&mut self, now: Moment, load: &Load) {
        if let Some(info) = &mut self.info {
            info.load = *load;
            self.heard_at = Some(now);
        }
    }

    /// Returns whether the agent answered within the last `interval`, so that it needs no
    /// heartbeat.
    pub(super) fn is_fresh(&self, now: Moment, interval: Duration) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < interval)
    }

    /// Applies an observation to the breaker; returns whether it opened the breaker.
    pub(super) fn record_observation(&mut self, now: Moment, observation: Observation) -> bool {
        match observation {
            Observation::CallSucceeded => self.breaker.record_success(now),
            // A heartbeat serves as the probe of a half-open breaker.
            Observation::Heartbeat(_, ReportedState::Ready)
                if self.breaker.permit(now) == Allowed::Probe =>
            {
                self.breaker.record_success(now);
            }
            Observation::CallFailed => return self.breaker.record_failure(now),
            Observation::HeartbeatMissed => self.probed = true,
            Observation::Unreachable => {
                self.probed = true;
                let was_open = self.breaker.is_open();
                if !was_open {
                    self.breaker.open(now);
                }
                return !was_open;
            }
            _ => {}
        }
        false
    }

    /// Returns the share of the agent's normal work that the breaker lets through, from 0 to 1.
    pub(super) fn share(&self, now: Moment) -> f32 {
        self.breaker.share(now)
    }
}

pub(super) fn listed_state(state: VmState) -> ListedState {
    match state {
        VmState::Live => ListedState::Live,
        VmState::Leaving => ListedState::Leaving,
        VmState::Gone => ListedState::Gone,
    }
}

pub(super) fn reported_state(state: AgentState) -> ReportedState {
    match state {
        AgentState::Ready => ReportedState::Ready,
        AgentState::Leaving => ReportedState::Leaving,
        AgentState::Ailing => ReportedState::Ailing,
    }
}

/// Combines a VM and the state that its agent reports to the type of the policy crate.
pub(super) fn server_info(vm: &Vm, info: &AgentInfo) -> ServerInfo {
    let role = match &info.role {
        Role::Stage {
            model,
            layers,
            accelerator,
            ..
        } => PolicyRole::Stage {
            model: model.clone(),
            layers: *layers,
            accelerator: accelerator.clone(),
        },
        Role::Service { service } => PolicyRole::Service {
            service: service.clone(),
        },
        Role::Idle => PolicyRole::Idle,
    };
    ServerInfo {
        vm: vm.name.clone(),
        addr: vm.addr,
        domain: vm.domain.clone(),
        incarnation: info.incarnation,
        role,
    }
}

/// Converts a load report to the type of the policy crate.
pub(super) fn load_report(load: &Load) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        memory: u32::from(load.memory),
    }
}

/// Returns a hash that is equal for agents whose servers do the same work.
pub(super) fn work_group(info: Option<&AgentInfo>) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    match info.map(|i| &i.role) {
        Some(Role::Stage { model, layers, .. }) => (1, model, layers).hash(&mut hasher),
        Some(Role::Service { service }) => (2, service).hash(&mut hasher),
        Some(Role::Idle) => 3.hash(&mut hasher),
        None => 4.hash(&mut hasher),
    }
    hasher.finish()
}
