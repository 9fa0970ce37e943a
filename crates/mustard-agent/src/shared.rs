//! What all threads of the agent share.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::Logger;

use mustard_backend::engine::Held;
use mustard_core::ids::Layers;
use mustard_net::Process;
use mustard_net::shutdown::{Gate, Pass};
use mustard_proto::agent::{AgentInfo, AgentState, Load, Role};

use crate::claims::{Bounds, Claims, Keeper};
use crate::fence::Watermark;
use crate::session::{Limits, Sessions};
use crate::settings::{AgentSettings, ServerKind};
use crate::stage::deaths::Deaths;

const SMOOTHING: u32 = 8;
const TOMBS_PER_SESSION: usize = 16;

/// What the agent knows of its backend server.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Whether it answers.
    pub up: bool,
    /// What it holds, if it is an engine.
    pub held: Option<Held>,
    /// The load as it reports it, late.
    pub load: Load,
}

/// State of the agent that every worker thread sees.
pub struct Shared {
    /// The identity of the process.
    pub process: Arc<Process>,
    /// Counts work in flight and refuses new work.
    pub gate: Arc<Gate>,
    /// The settings.
    pub settings: AgentSettings,
    /// The root of log lines.
    pub log: Logger,
    /// What is known of the backend server.
    pub server: ArcSwap<Server>,
    /// Whether a change of role keeps new attempts out.
    pub changing: AtomicBool,
    /// Keys of calls of the plain service.
    pub claims: Arc<Claims>,
    /// The highest fencing number accepted.
    pub fence: Watermark,
    /// Deaths of the engine.
    pub deaths: Mutex<Deaths>,
    stopping: AtomicBool,
    sessions: Mutex<Sessions<Pass>>,
    step_us: AtomicU32,
    prefill_us: AtomicU32,
}

impl Shared {
    /// Creates the state of an agent that starts now.
    pub fn new(
        process: Arc<Process>,
        gate: Arc<Gate>,
        settings: AgentSettings,
        log: Logger,
        keeper: Keeper,
    ) -> Arc<Self> {
        let bounds = Bounds {
            journal: settings.claims.journal,
            join: Duration::from_millis(settings.claims.join_ms),
        };
        let claims = Claims::new(
            Arc::clone(&process),
            Arc::clone(&gate),
            log.clone(),
            keeper,
            bounds,
        );
        let s = &settings.session;
        let limits = Limits {
            sessions: s.most,
            tombstones: s.most * TOMBS_PER_SESSION,
            tombstone_life: Duration::from_millis(s.memory_ms),
            idle: Duration::from_millis(s.idle_ms),
            report: Duration::from_millis(s.report_ms),
        };
        Arc::new(Shared {
            fence: Watermark::new(&settings.vm),
            process,
            gate,
            settings,
            log,
            server: ArcSwap::default(),
            changing: AtomicBool::new(false),
            claims,
            deaths: Mutex::default(),
            stopping: AtomicBool::new(false),
            sessions: Mutex::new(Sessions::new(limits)),
            step_us: AtomicU32::new(0),
            prefill_us: AtomicU32::new(0),
        })
    }

    /// Locks the sessions; the guard must not live across an await.
    pub fn sessions(&self) -> MutexGuard<'_, Sessions<Pass>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in the time that the engine spent on a step.
    pub fn observe_step(&self, took: Duration, positions: u32) {
        let us = took.as_micros().min(u128::from(u32::MAX)) as u32;
        if positions == 1 {
            smooth(&self.step_us, us);
        } else {
            smooth(&self.prefill_us, us / positions.max(1));
        }
    }

    /// Returns the present load: own counts, with the server's own figures where only it knows.
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

    /// Returns whether new work is taken.
    pub fn state(&self) -> AgentState {
        if self.gate.is_closed() || self.changing.load(Ordering::Acquire) {
            return AgentState::Leaving;
        }
        match self.server.load().up {
            true => AgentState::Ready,
            false => AgentState::Ailing,
        }
    }

    /// Refuses new work for the rest of this process's life.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.gate.close();
    }

    /// Refuses new work from now on, or takes it again unless the process stops.
    pub fn leave(&self, leave: bool) {
        let leave = leave || self.stopping.load(Ordering::Acquire);
        if leave {
            self.gate.close();
        } else {
            self.gate.open();
        }
        slog::info!(self.log, "agent: Drain changed."; "leaving" => leave);
    }

    /// Describes the agent to other processes.
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

/// Moves a smoothed figure towards a new one; the first one is taken whole.
fn smooth(figure: &AtomicU32, new: u32) {
    let step = |old: u32| {
        Some(match old {
            0 => new,
            old => old - old / SMOOTHING + new / SMOOTHING,
        })
    };
    let _ = figure.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
}
