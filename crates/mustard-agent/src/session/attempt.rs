//! A session: one attempt at a request, as this stage sees it.

use std::sync::Arc;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::ids::{Epoch, RequestId};
use mustard_proto::step::{AttemptParams, ChainStage};

use super::progress::{Phase, StepId};

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndReason {
    /// The entry process cancelled it, as it also does after the last token, the normal end.
    Cancelled,
    /// A newer attempt at the same request replaced it.
    Superseded,
    /// Its deadline passed.
    Expired,
    /// No step arrived within the idle time.
    IdleTimeout,
    /// The sender of a step disconnected while the step was running.
    Abandoned,
    /// The engine lost the sequence, answered wrongly, or failed in a step that it may have run.
    EngineFailed,
}

/// A session that ended; its sequence at the engine is still to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedSession {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt; a later attempt at the same request has a higher one.
    pub epoch: Epoch,
    /// The reason, which is counted and logged.
    pub reason: EndReason,
}

/// A step in progress, with what is needed to run it and to record its result.
#[derive(Clone, Debug)]
pub struct StepHandle {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt; a later attempt at the same request has a higher one.
    pub epoch: Epoch,
    /// The positions of the step and a digest of its input.
    pub step_id: StepId,
    /// The chain, the model and the priority, as sent with the first step of the attempt.
    pub params: Arc<AttemptParams>,
    /// The index of this stage in the chain.
    pub stage: u32,
    /// The deadline of the attempt.
    pub deadline: Moment,
}

impl StepHandle {
    /// Returns the next agent of the chain, or `None` at the last stage.
    pub fn next_stage(&self) -> Option<&ChainStage> {
        self.params.chain.get(self.stage as usize + 1)
    }
}

impl EndReason {
    /// Returns the stable name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::Cancelled => "by_entry",
            EndReason::Superseded => "superseded",
            EndReason::Expired => "expired",
            EndReason::IdleTimeout => "silent",
            EndReason::Abandoned => "abandoned",
            EndReason::EngineFailed => "broken",
        }
    }
}

/// One attempt at one request.
pub(super) struct Session<G> {
    pub(super) request: RequestId,
    pub(super) epoch: Epoch,
    pub(super) stage: u32,
    /// The position that the next step has to start at.
    pub(super) next_pos: u32,
    pub(super) phase: Phase,
    /// The last finished step and its token, kept to answer a repeat.
    pub(super) last_output: Option<(StepId, u32)>,
    pub(super) params: Arc<AttemptParams>,
    pub(super) deadline: Moment,
    /// When the session last received a step or an output.
    pub(super) last_active: Moment,
    /// When this stage last sent a load report within the session; `None` before the first one.
    pub(super) reported_at: Option<Moment>,
    // Counts the session as work in flight until the session is dropped.
    pub(super) _guard: G,
}

impl<G> Session<G> {
    /// Returns a handle to a step of this session.
    pub(super) fn step_handle(&self, step_id: StepId) -> StepHandle {
        StepHandle {
            request: self.request,
            epoch: self.epoch,
            step_id,
            params: Arc::clone(&self.params),
            stage: self.stage,
            deadline: self.deadline,
        }
    }

    /// Returns the reason to end the session if its deadline or its idle time has passed.
    ///
    /// A session whose step is still running doesn't become idle.
    pub(super) fn check_timeouts(&self, now: Moment, idle_timeout: Duration) -> Option<EndReason> {
        if now >= self.deadline {
            return Some(EndReason::Expired);
        }
        let running = matches!(self.phase, Phase::EngineRunning(_) | Phase::NextRunning(..));
        (!running && now.since(self.last_active) >= idle_timeout).then_some(EndReason::IdleTimeout)
    }
}
