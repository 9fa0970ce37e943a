//! The table of all sessions of a stage.

use std::sync::Arc;
use std::time::Duration;

use mustard_core::arena::{Arena, Key};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, RequestId};
use mustard_proto::Refusal;
use mustard_proto::step::Step;

use super::Result;
use super::attempt::{EndReason, EndedSession, Session, StepHandle};
use super::progress::{Phase, StageOutput, StepId};
use super::tombstones::Tombstones;

/// The retry delay for a sender that repeats a step while it is still running, in milliseconds.
const RUNNING_RETRY_MS: u64 = 20;
/// The retry delay for a sender while the maximum number of sessions is open, in milliseconds.
const FULL_RETRY_MS: u64 = 250;

/// Limits on the number of sessions and on how long they are kept.
#[derive(Clone, Copy, Debug)]
pub struct SessionLimits {
    /// The maximum number of open sessions.
    pub sessions: usize,
    /// The maximum number of tombstones; above it the oldest is dropped.
    pub tombstones: usize,
    /// How long a tombstone is kept.
    pub tombstone_ttl: Duration,
    /// How long a session without a running step is kept after its last activity.
    pub idle_timeout: Duration,
    /// The least time between two load reports within one session.
    pub report_interval: Duration,
}

/// What the stage does with an accepted step.
#[derive(Clone, Debug)]
pub enum StepAction {
    /// Answer a repeated step with the token that it gave before.
    Replay {
        /// The token.
        token: u32,
        /// The position that the token takes.
        pos: u32,
    },
    /// Run the step on the engine, then send the output to the next stage.
    Run(StepHandle),
    /// Send the kept output to the next stage again, without another run on the engine.
    Resend(StepHandle, StageOutput),
}

/// All sessions of a stage; `G` is a guard that lives as long as its session.
pub struct Sessions<G> {
    limits: SessionLimits,
    arena: Arena<Session<G>>,
    index: Map<RequestId, Key<Session<G>>>,
    tombstones: Tombstones,
}

impl<G> Sessions<G> {
    /// Creates a table without sessions.
    pub fn new(limits: SessionLimits) -> Self {
        Sessions {
            limits,
            arena: Arena::new(),
            index: Map::default(),
            tombstones: Tombstones::new(limits.tombstones, limits.tombstone_ttl),
        }
    }

    /// Returns the number of open sessions.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Tells whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Accepts a step and decides what to do with it.
    ///
    /// A session replaced by a newer attempt is added to `ended`. `guard` returns the guard of a
    /// new session, or the refusal if the stage accepts no new sessions.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the step is neither the next one of the newest attempt nor a repeat of
    /// its last one. A refused step has not run.
    pub fn begin(
        &mut self,
        step: &Step,
        now: Moment,
        guard: impl FnOnce() -> Result<G>,
        ended: &mut Vec<EndedSession>,
    ) -> Result<StepAction> {
        let step_id = StepId::of(step);
        if step_id.len == 0 || step_id.end().is_none() {
            let detail = "step has no countable position".to_owned();
            return Err(Refusal::Malformed { detail });
        }
        if let Some(ended_epoch) = self
            .tombstones
            .get(step.request)
            .filter(|e| step.epoch <= *e)
        {
            let current = ended_epoch.next();
            return Err(Refusal::StaleEpoch { current });
        }
        match self.index.get(&step.request).copied() {
            Some(key) => match self.arena.get(key).map(|s| s.epoch) {
                Some(current) if step.epoch < current => Err(Refusal::StaleEpoch { current }),
                Some(current) if step.epoch == current => {
                    self.continue_attempt(key, step, step_id, now)
                }
                _ => self.open_session(step, step_id, now, guard, ended),
            },
            None => self.open_session(step, step_id, now, guard, ended),
        }
    }

    fn open_session(
        &mut self,
        step: &Step,
        step_id: StepId,
        now: Moment,
        guard: impl FnOnce() -> Result<G>,
        ended: &mut Vec<EndedSession>,
    ) -> Result<StepAction> {
        let Some(params) = step.params.as_ref() else {
            return Err(Refusal::NotOpen);
        };
        if step.pos != 0 {
            return Err(Refusal::Gap { expected: 0 });
        }
        if params.deadline_ms == 0 {
            return Err(Refusal::Expired);
        }
        let replaces = self.index.contains_key(&step.request);
        if !replaces && self.arena.len() >= self.limits.sessions {
            let retry_ms = FULL_RETRY_MS;
            return Err(Refusal::Busy { retry_ms });
        }
        let guard = guard()?;
        ended.extend(self.end_session(step.request, EndReason::Superseded, now));
        let params = Arc::new(params.clone());
        let session = Session {
            request: step.request,
            epoch: step.epoch,
            stage: step.stage,
            next_pos: 0,
            phase: Phase::EngineRunning(step_id),
            last_output: None,
            deadline: now + Duration::from_millis(params.deadline_ms),
            params,
            last_active: now,
            reported_at: None,
            _guard: guard,
        };
        let handle = session.step_handle(step_id);
        let key = self.arena.insert(session);
        self.index.insert(step.request, key);
        Ok(StepAction::Run(handle))
    }

    fn continue_attempt(
        &mut self,
        key: Key<Session<G>>,
        step: &Step,
        step_id: StepId,
        now: Moment,
    ) -> Result<StepAction> {
        let session = self.arena.get_mut(key).ok_or(Refusal::NotOpen)?;
        session.last_active = now;
        if step.stage != session.stage {
            let detail = format!("attempt has stage {} here", session.stage);
            return Err(Refusal::Malformed { detail });
        }
        match &session.phase {
            Phase::EngineRunning(id) | Phase::NextRunning(id, _) if *id == step_id => {
                let retry_ms = RUNNING_RETRY_MS;
                return Err(Refusal::Busy { retry_ms });
            }
            Phase::NextFailed(id, acts) if *id == step_id => {
                let acts = Arc::clone(acts);
                session.phase = Phase::NextRunning(step_id, Arc::clone(&acts));
                let request = session.request;
                let handle = session.step_handle(step_id);
                return Ok(StepAction::Resend(handle, StageOutput { request, acts }));
            }
            _ => {}
        }
        if let Some((last_id, token)) = session.last_output
            && last_id == step_id
        {
            let pos = session.next_pos;
            return Ok(StepAction::Replay { token, pos });
        }
        let expected = session.next_pos;
        if step.pos != expected || !matches!(session.phase, Phase::Idle) {
            return Err(Refusal::Gap { expected });
        }
        if now >= session.deadline {
            return Err(Refusal::Expired);
        }
        session.phase = Phase::EngineRunning(step_id);
        Ok(StepAction::Run(session.step_handle(step_id)))
    }

    /// Records the activations that the engine returned for a step.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the attempt ended in the meantime.
    pub fn record_activations(
        &mut self,
        handle: &StepHandle,
        acts: Vec<u64>,
        now: Moment,
    ) -> Result<StageOutput> {
        let session = self.current_session(handle)?;
        session.last_active = now;
        let acts = Arc::new(acts);
        session.phase = Phase::NextRunning(handle.step_id, Arc::clone(&acts));
        let request = session.request;
        Ok(StageOutput { request, acts })
    }

    /// Records the token that the last stage returned for a step, and returns its position.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the attempt ended in the meantime.
    pub fn record_token(&mut self, handle: &StepHandle, token: u32, now: Moment) -> Result<u32> {
        let session = self.current_session(handle)?;
        session.last_active = now;
        session.phase = Phase::Idle;
        session.next_pos = handle.step_id.pos + handle.step_id.len;
        session.last_output = Some((handle.step_id, token));
        Ok(session.next_pos)
    }

    /// Keeps the activations of a step whose next stage failed, so that a repeat can resend them.
    pub fn keep_activations(&mut self, handle: &StepHandle) {
        if let Ok(session) = self.current_session(handle)
            && let Phase::NextRunning(step_id, acts) = &session.phase
        {
            session.phase = Phase::NextFailed(*step_id, Arc::clone(acts));
        }
    }

    /// Undoes the start of a step that the engine certainly did not run; it may be sent again.
    ///
    /// An attempt that has not run any step yet is removed without a tombstone, so that it can be
    /// opened again under the same epoch.
    pub fn reset_step(&mut self, handle: &StepHandle) {
        let Ok(session) = self.current_session(handle) else {
            return;
        };
        session.phase = Phase::Idle;
        if session.next_pos == 0 {
            self.remove_session(handle.request);
        }
    }

    /// Ends the attempt of a step if that step is still in progress.
    pub fn end_attempt(
        &mut self,
        handle: &StepHandle,
        reason: EndReason,
        now: Moment,
    ) -> Option<EndedSession> {
        self.current_session(handle).ok()?;
        self.end_session(handle.request, reason, now)
    }

    /// Ends every attempt of a request up to and including an epoch.
    pub fn cancel(
        &mut self,
        request: RequestId,
        epoch: Epoch,
        now: Moment,
    ) -> Option<EndedSession> {
        self.tombstones.insert(request, epoch, now);
        let key = *self.index.get(&request)?;
        if self.arena.get(key)?.epoch > epoch {
            return None;
        }
        self.end_session(request, EndReason::Cancelled, now)
    }

    /// Ends the sessions that are past their deadline or idle for too long, and drops expired
    /// tombstones.
    pub fn sweep(&mut self, now: Moment) -> Vec<EndedSession> {
        self.tombstones.expire(now);
        let idle_timeout = self.limits.idle_timeout;
        let timed_out: Vec<_> = self
            .arena
            .iter()
            .filter_map(|(_, s)| Some((s.request, s.check_timeouts(now, idle_timeout)?)))
            .collect();
        timed_out
            .into_iter()
            .filter_map(|(request, reason)| self.end_session(request, reason, now))
            .collect()
    }

    /// Returns whether the session is due a load report, and if so counts it as sent now.
    pub fn mark_if_report_due(&mut self, handle: &StepHandle, now: Moment) -> bool {
        let every = self.limits.report_interval;
        let Ok(session) = self.current_session(handle) else {
            return false;
        };
        let due = session.reported_at.is_none_or(|at| now.since(at) >= every);
        if due {
            session.reported_at = Some(now);
        }
        due
    }

    /// Returns the content fingerprint of every request that the engine is running a step of.
    pub fn running_fingerprints(&self) -> Vec<Fingerprint> {
        self.arena
            .iter()
            .filter(|(_, s)| matches!(s.phase, Phase::EngineRunning(_)))
            .map(|(_, s)| s.params.fingerprint)
            .collect()
    }

    fn current_session(&mut self, handle: &StepHandle) -> Result<&mut Session<G>> {
        let key = *self.index.get(&handle.request).ok_or(Refusal::NotOpen)?;
        let session = self.arena.get_mut(key).ok_or(Refusal::NotOpen)?;
        if session.epoch != handle.epoch {
            let current = session.epoch;
            return Err(Refusal::StaleEpoch { current });
        }
        if session.phase.step_id() != Some(handle.step_id) {
            let expected = session.next_pos;
            return Err(Refusal::Gap { expected });
        }
        Ok(session)
    }

    fn end_session(
        &mut self,
        request: RequestId,
        reason: EndReason,
        now: Moment,
    ) -> Option<EndedSession> {
        let epoch = self.remove_session(request)?;
        self.tombstones.insert(request, epoch, now);
        Some(EndedSession {
            request,
            epoch,
            reason,
        })
    }

    fn remove_session(&mut self, request: RequestId) -> Option<Epoch> {
        let key = self.index.remove(&request)?;
        self.arena.remove(key).map(|s| s.epoch)
    }
}
