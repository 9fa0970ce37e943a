//! A running step: the call of the engine, the call of the next stage, the answer.

use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, histogram};

use mustard_backend::engine::{Engine, SeqId, StepOutput, StepRequest};
use mustard_core::clock::Moment;
use mustard_core::event::EventKind;
use mustard_net::CallError;
use mustard_proto::agent::Load;
use mustard_proto::step::{AttemptParams, Input, Output, Step};
use mustard_proto::{Execution, Refusal};

use super::guard::StepGuard;
use super::step::update_session_gauge;
use crate::metric_names;
use crate::session::{EndReason, Result, StageOutput, StepHandle};
use crate::worker::Worker;

/// The engine takes its time limit in whole milliseconds, so a shorter one would be zero.
const MIN_STEP_TIME: Duration = Duration::from_millis(1);

/// A running step, which ends its attempt if its sender disconnects.
pub(super) struct StepRun<'a> {
    pub(super) worker: &'a Worker,
    pub(super) handle: StepHandle,
    /// The earlier one of the deadlines of the step and of its attempt.
    step_deadline: Moment,
    guard: StepGuard<'a>,
}

impl<'a> StepRun<'a> {
    pub(super) fn new(worker: &'a Worker, handle: StepHandle, step_deadline: Moment) -> Self {
        let guard = StepGuard::new(worker, handle.clone());
        let step_deadline = step_deadline.min(handle.deadline);
        StepRun {
            worker,
            handle,
            step_deadline,
            guard,
        }
    }

    pub(super) async fn run(mut self, input: Input) -> Result<Output> {
        let result = match self.has_time() {
            true => self.run_and_forward(input).await,
            false => {
                // The engine was not called, so the start of the step is undone.
                self.reset_step();
                Err(Refusal::Expired)
            }
        };
        self.guard.disarm();
        update_session_gauge(self.worker);
        result
    }

    fn has_time(&self) -> bool {
        let left = self.worker.shared.process.now().until(self.step_deadline);
        left >= MIN_STEP_TIME
    }

    async fn run_and_forward(&self, input: Input) -> Result<Output> {
        let result = match self.call_engine(input).await {
            Ok(StepOutput::Token(token)) => self.finish_with_token(token),
            Ok(StepOutput::Activations(acts)) => self.record_and_forward(acts).await,
            Err(e) => return Err(self.handle_engine_error(e).await),
        };
        result.map_err(refusal_after_run)
    }

    /// Sends the kept output of an earlier run of this step to the next stage again, without
    /// calling the engine.
    pub(super) async fn resend(mut self, stage_output: StageOutput) -> Result<Output> {
        let result = self.forward(stage_output).await;
        self.guard.disarm();
        result
    }

    async fn call_engine(&self, input: Input) -> mustard_backend::Result<StepOutput> {
        let process = &self.worker.shared.process;
        let start = process.now();
        let body = StepRequest {
            model: self.handle.params.model.clone(),
            pos: self.handle.step_id.pos,
            priority: self.handle.params.priority,
            input,
        };
        let limit = start.until(self.step_deadline);
        let seq = self.seq_id();
        let out = self
            .worker
            .server
            .step(seq, body, limit.as_millis() as u64)
            .await?;
        self.record_run(process.now().since(start));
        Ok(out)
    }

    fn record_run(&self, took: Duration) {
        let step_id = self.handle.step_id;
        let shared = &self.worker.shared;
        shared.observe_step(took, step_id.len);
        histogram!(metric_names::ENGINE_SECONDS).record(took.as_secs_f64());
        counter!(metric_names::POSITIONS).increment(u64::from(step_id.len));
        let ran = EventKind::StageRan {
            epoch: self.handle.epoch,
            from: step_id.pos,
            count: step_id.len,
        };
        shared.process.emit(Some(self.handle.request), ran);
    }

    fn finish_with_token(&self, token: u32) -> Result<Output> {
        if self.handle.next_stage().is_some() {
            self.end_attempt(EndReason::EngineFailed);
            return Err(server_failed("engine made a token before the last stage"));
        }
        let mut loads = Vec::new();
        self.add_load_report(&mut loads);
        self.finish_step(token, loads)
    }

    async fn record_and_forward(&self, acts: Vec<u64>) -> Result<Output> {
        if self.handle.next_stage().is_none() || acts.len() != self.handle.step_id.len as usize {
            self.end_attempt(EndReason::EngineFailed);
            return Err(server_failed("engine made activations that do not fit"));
        }
        let now = self.worker.shared.process.now();
        let ran = self
            .worker
            .shared
            .sessions()
            .record_activations(&self.handle, acts, now);
        match ran {
            Ok(stage_output) => self.forward(stage_output).await,
            Err(r) => {
                // The attempt ended and its sequence was cancelled while the engine ran the step.
                // The engine may have opened the sequence after that, so it is cancelled again.
                self.worker.cancel_sequence(self.seq_id());
                Err(r)
            }
        }
    }

    async fn forward(&self, stage_output: StageOutput) -> Result<Output> {
        match self.call_next_stage(&stage_output.acts).await {
            Ok(output) => {
                let mut loads = output.loads;
                self.add_load_report(&mut loads);
                self.finish_step(output.token, loads)
            }
            Err(e) => {
                // A repeat of the step resends these activations instead of running the engine.
                self.worker.shared.sessions().keep_activations(&self.handle);
                Err(self.next_stage_failed(e))
            }
        }
    }

    /// Calls the next agent, and once more if the connection broke before the answer.
    ///
    /// The repeat can't run the step twice: the next stage answers it from its kept output or
    /// refuses it.
    async fn call_next_stage(
        &self,
        acts: &Arc<Vec<u64>>,
    ) -> std::result::Result<Output, CallError> {
        match self.call_once(acts).await {
            Err(CallError::Lost(_)) => self.call_once(acts).await,
            other => other,
        }
    }

    async fn call_once(&self, acts: &Arc<Vec<u64>>) -> std::result::Result<Output, CallError> {
        let Some(next) = self.handle.next_stage() else {
            return Err(CallError::NotSent("chain has no further stage".to_owned()));
        };
        let now = self.worker.shared.process.now();
        let limit = now.until(self.step_deadline);
        let step = Step {
            request: self.handle.request,
            epoch: self.handle.epoch,
            stage: self.handle.stage + 1,
            pos: self.handle.step_id.pos,
            input: Input::Activations(acts.as_ref().clone()),
            params: self.params_for_next(now.until(self.handle.deadline)),
            limit_ms: limit.as_millis() as u32,
        };
        self.worker
            .client
            .call(next.addr, next.incarnation, step, limit)
            .await
    }

    fn params_for_next(&self, left: Duration) -> Option<AttemptParams> {
        if self.handle.step_id.pos != 0 {
            return None;
        }
        let mut params = self.handle.params.as_ref().clone();
        params.deadline_ms = left.as_millis() as u64;
        Some(params)
    }

    fn next_stage_failed(&self, e: CallError) -> Refusal {
        match e.into_refusal() {
            r @ Refusal::NextFailed { .. } => r,
            cause => Refusal::NextFailed {
                stage: self.handle.stage + 1,
                cause: Box::new(cause),
            },
        }
    }

    fn add_load_report(&self, loads: &mut Vec<(u32, Load)>) {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let due = shared.sessions().mark_if_report_due(&self.handle, now);
        if due {
            loads.push((self.handle.stage, shared.load()));
        }
    }

    fn finish_step(&self, token: u32, loads: Vec<(u32, Load)>) -> Result<Output> {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let pos = shared.sessions().record_token(&self.handle, token, now)?;
        Ok(Output { token, pos, loads })
    }

    pub(super) fn seq_id(&self) -> SeqId {
        SeqId {
            request: self.handle.request,
            epoch: self.handle.epoch,
        }
    }
}

/// Returns a refusal that says that the step may have run, as the engine here has run it.
fn refusal_after_run(r: Refusal) -> Refusal {
    match r.execution() {
        Execution::Maybe => r,
        Execution::No => server_failed(&format!("engine ran the step, then: {r}")),
    }
}

fn server_failed(detail: &str) -> Refusal {
    Refusal::ServerFailed {
        ran: Execution::Maybe,
        detail: detail.to_owned(),
        suspects: Vec::new(),
    }
}
