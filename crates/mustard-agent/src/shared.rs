//! The state that all threads of the agent share.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::Logger;

use mustard_backend::engine::LoadedLayers;
use mustard_core::ids::Layers;
use mustard_net::Process;
use mustard_net::shutdown::{RequestGate, RequestGuard};
use mustard_proto::agent::{AgentInfo, AgentState, Load, Role};

use crate::claims::{ClaimLimits, Claims, WriteQueue};
use crate::fence::Watermark;
use crate::session::{SessionLimits, Sessions};
use crate::settings::{AgentSettings, ServerKind};
use crate::stage::deaths::EngineDeaths;

/// The weight of a new value in the moving average is one divided by this number.
const SMOOTHING_DIVISOR: u32 = 8;
/// Tombstones, which remember ended attempts, per session that may be open.
const TOMBSTONES_PER_SESSION: usize = 16;

/// The last known state of the backend server.
#[derive(Clone, Debug, Default)]
pub struct ServerState {
    /// Whether it answers.
    pub up: bool,
    /// The model and layers that it holds; none beside a plain service and before an engine's first
    /// answer.
    pub held: Option<LoadedLayers>,
    /// The load that it last reported.
    pub load: Load,
}

/// The state of the agent that every worker thread uses.
pub struct Shared {
    /// The identity, clock and event buffer of the process.
    pub process: Arc<Process>,
    /// Counts work in flight and refuses new work.
    pub gate: Arc<RequestGate>,
    /// The settings that the agent was started with.
    pub settings: AgentSettings,
    /// The root logger.
    pub log: Logger,
    /// The last known state of the backend server.
    pub server: ArcSwap<ServerState>,
    /// Whether a change of role is in progress, which refuses new attempts.
    pub role_changing: AtomicBool,
    /// The idempotency keys of calls of the plain service.
    pub claims: Arc<Claims>,
    /// The highest fencing token of an order that was accepted.
    pub fence: Watermark,
    /// The newest death of the engine and the requests that may have caused it.
    pub engine_deaths: Mutex<EngineDeaths>,
    stopping: AtomicBool,
    sessions: Mutex<Sessions<RequestGuard>>,
    step_us: AtomicU32,
    prefill_us: AtomicU32,
}

impl Shared {
    /// Creates the state of an agent that starts now.
    pub fn new(
        process: Arc<Process>,
        gate: Arc<RequestGate>,
        settings: AgentSettings,
        log: Logger,
        write_queue: WriteQueue,
    ) -> Arc<Self> {
        let claim_limits = ClaimLimits {
            max_background: settings.claims.journal,
            join_wait: Duration::from_millis(settings.claims.join_ms),
        };
        let claims = Claims::new(
            Arc::clone(&process),
            Arc::clone(&gate),
            log.clone(),
            write_queue,
            claim_limits,
        );
        let s = &settings.session;
        let limits = SessionLimits {
            sessions: s.most,
            tombstones: s.most * TOMBSTONES_PER_SESSION,
            tombstone_ttl: Duration::from_millis(s.memory_ms),
            idle_timeout: Duration::from_millis(s.idle_ms),
            report_interval: Duration::from_millis(s.report_ms),
        };
        Arc::new(Shared {
            fence: Watermark::new(&settings.vm),
            process,
            gate,
            settings,
            log,
            server: ArcSwap::default(),
            role_changing: AtomicBool::new(false),
            claims,
            engine_deaths: Mutex::default(),
            stopping: AtomicBool::new(false),
            sessions: Mutex::new(Sessions::new(limits)),
            step_us: AtomicU32::new(0),
            prefill_us: AtomicU32::new(0),
        })
    }

    /// Locks the sessions; the guard must not be held across an await.
    pub fn sessions(&self) -> MutexGuard<'_, Sessions<RequestGuard>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the time that the engine spent on a step to a moving average: that of token steps if
    /// it had one position, else that of one position of a prefill.
    pub fn observe_step(&self, took: Duration, positions: u32) {
        let us = took.as_micros().min(u128::from(u32::MAX)) as u32;
        if positions == 1 {
            update_average(&self.step_us, us);
        } else {
            update_average(&self.prefill_us, us / positions.max(1));
        }
    }

    /// Returns the current load: the agent's own counts, and the figures that the backend
    /// server last reported.
    pub fn load(&self) -> Load {
        let server = self.server.load();
        let running = match self.settings.kind {
            ServerKind::Engine => self.sessions().len(),
            ServerKind::Service => self.gate.running(),
        };
        Load {
            running: running as u32,
            queued: server.load.queued,
            step_us: self.step_us.load(Ordering::Relaxed),
            prefill_us: self.prefill_us.load(Ordering::Relaxed),
            memory: server.load.memory,
        }
    }

    /// Returns whether new work is accepted, and if not, why.
    pub fn state(&self) -> AgentState {
        if self.gate.is_closed() || self.role_changing.load(Ordering::Acquire) {
            return AgentState::Leaving;
        }
        match self.server.load().up {
            true => AgentState::Ready,
            false => AgentState::Ailing,
        }
    }

    /// Refuses new work until the process ends.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.gate.close();
    }

    /// Starts a drain, which refuses new work, or ends it, unless the process is stopping.
    pub fn set_draining(&self, draining: bool) {
        let draining = draining || self.stopping.load(Ordering::Acquire);
        if draining {
            self.gate.close();
        } else {
            self.gate.open();
        }
        slog::info!(self.log, "agent: Drain state changed."; "leaving" => draining);
    }

    /// Returns the description of the agent that other processes get.
    pub fn info(&self) -> AgentInfo {
        AgentInfo {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            incarnation: self.process.incarnation(),
            state: self.state(),
            role: self.role(),
            load: self.load(),
        }
    }

    fn role(&self) -> Role {
        if let Some(service) = &self.settings.service {
            let service = service.clone();
            return Role::Service { service };
        }
        match &self.server.load().held {
            Some(h) if !h.model.is_empty() && h.layers != Layers::default() => Role::Stage {
                model: h.model.clone(),
                version: h.version.clone(),
                layers: h.layers,
                accelerator: h.accelerator.clone(),
            },
            _ => Role::Idle,
        }
    }
}

/// Updates an exponential moving average with a new value; zero means that there is none yet.
fn update_average(average: &AtomicU32, new: u32) {
    let next = |old: u32| {
        Some(match old {
            0 => new,
            old => old - old / SMOOTHING_DIVISOR + new / SMOOTHING_DIVISOR,
        })
    };
    let _ = average.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
}
