//! What is known of one agent.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_platform::vms::{Vm, VmState};
use mustard_policy::breaker::{Breaker, Permit};
use mustard_policy::fleet::{Facts, Report, Role as Work};
use mustard_policy::membership::{Listed, Said, Sign};
use mustard_proto::agent::{AgentInfo, AgentState, Load, Role};

/// What is known of one agent.
#[derive(Clone, Debug)]
pub struct Known {
    /// The VM as the platform's list has it.
    pub vm: Vm,
    /// The state that the agent last reported.
    pub info: Option<AgentInfo>,
    /// When it was last heard.
    pub heard: Option<Moment>,
    /// Whether it is watched in detail.
    pub chosen: bool,
    /// Whether it was heard or found silent at least once.
    pub surveyed: bool,
    /// When it was last asked.
    pub(super) asked: Moment,
    breaker: Breaker,
}

impl Known {
    /// Creates the record of an agent that was never heard.
    pub(super) fn new(vm: Vm) -> Self {
        Known {
            vm,
            info: None,
            heard: None,
            chosen: true,
            surveyed: false,
            asked: Moment::default(),
            breaker: Breaker::new(),
        }
    }

    /// Takes over a changed VM; a new address means a new agent.
    pub(super) fn relist(&mut self, vm: Vm) {
        if vm.addr != self.vm.addr {
            self.info = None;
            self.heard = None;
            self.surveyed = false;
        }
        self.vm = vm;
    }

    /// Takes in the state that the agent reports.
    pub(super) fn hear(&mut self, now: Moment, info: &AgentInfo) {
        self.info = Some(info.clone());
        self.heard = Some(now);
        self.surveyed = true;
    }

    /// Takes in a load report that came with an answer to work.
    pub(super) fn answered(&mut self, now: Moment, load: &Load) {
        if let Some(info) = &mut self.info {
            info.load = *load;
            self.heard = Some(now);
        }
    }

    /// Tells whether the agent was heard so lately that it need not be asked.
    pub(super) fn is_fresh(&self, now: Moment, pause: Duration) -> bool {
        self.heard.is_some_and(|at| now.since(at) < pause)
    }

    /// Takes in a sign; tells whether the breaker opened by it.
    pub(super) fn take(&mut self, now: Moment, sign: Sign) -> bool {
        match sign {
            Sign::Worked => self.breaker.success(now),
            // A heartbeat serves as the probe of a breaker that was open.
            Sign::Heartbeat(_, Said::Ready) if self.breaker.permit(now) == Permit::Probe => {
                self.breaker.success(now);
            }
            Sign::Failed => return self.breaker.failure(now),
            Sign::Missed => self.surveyed = true,
            Sign::Unreachable => {
                self.surveyed = true;
                let was = self.breaker.is_open();
                if !was {
                    self.breaker.open(now);
                }
                return !was;
            }
            _ => {}
        }
        false
    }

    /// Returns the share of usual work that the agent should get.
    pub(super) fn share(&self, now: Moment) -> f32 {
        self.breaker.share(now)
    }
}

pub(super) fn listed_of(state: VmState) -> Listed {
    match state {
        VmState::Live => Listed::Live,
        VmState::Leaving => Listed::Leaving,
        VmState::Gone => Listed::Gone,
    }
}

pub(super) fn said_of(state: AgentState) -> Said {
    match state {
        AgentState::Ready => Said::Ready,
        AgentState::Leaving => Said::Leaving,
        AgentState::Ailing => Said::Ailing,
    }
}

pub(super) fn facts_of(vm: &Vm, info: &AgentInfo) -> Facts {
    let role = match &info.role {
        Role::Stage {
            model,
            layers,
            accelerator,
            ..
        } => Work::Stage {
            model: model.clone(),
            layers: *layers,
            accelerator: accelerator.clone(),
        },
        Role::Service { service } => Work::Service {
            service: service.clone(),
        },
        Role::Idle => Work::Idle,
    };
    Facts {
        vm: vm.name.clone(),
        addr: vm.addr,
        domain: vm.domain.clone(),
        incarnation: info.incarnation,
        role,
    }
}

/// Returns a load report in the terms of the policy.
pub(super) fn report_of(load: &Load) -> Report {
    Report {
        running: load.running,
        queued: load.queued,
        memory: u32::from(load.memory),
    }
}

/// Returns a number that is equal for agents whose servers do the same work.
pub(super) fn group_of(info: Option<&AgentInfo>) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    match info.map(|i| &i.role) {
        Some(Role::Stage { model, layers, .. }) => (1, model, layers).hash(&mut hasher),
        Some(Role::Service { service }) => (2, service).hash(&mut hasher),
        Some(Role::Idle) => 3.hash(&mut hasher),
        None => 4.hash(&mut hasher),
    }
    hasher.finish()
}
