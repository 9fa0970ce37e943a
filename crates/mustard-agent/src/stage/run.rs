//! A step under way: the engine, the next stage, the answer.

use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, histogram};

use mustard_backend::engine::{Engine, SeqId, StepBody, StepOut};
use mustard_core::clock::Moment;
use mustard_core::event::EventKind;
use mustard_net::CallError;
use mustard_proto::agent::Load;
use mustard_proto::step::{Input, Opening, Output, Step};
use mustard_proto::{Ran, Refusal};

use super::abandon::Running;
use super::step::show_sessions;
use crate::names;
use crate::session::{Ended, Onward, Result, Ticket};
use crate::worker::Worker;

/// The least time with which a step is sent to the engine.
const LEAST_LIMIT: Duration = Duration::from_millis(1);

/// A step under way.
pub(super) struct Run<'a> {
    pub(super) worker: &'a Worker,
    pub(super) ticket: Ticket,
    budget: Moment,
    running: Running<'a>,
}

impl<'a> Run<'a> {
    pub(super) fn new(worker: &'a Worker, ticket: Ticket, budget: Moment) -> Self {
        let running = Running::new(worker, ticket.clone());
        let budget = budget.min(ticket.deadline);
        Run {
            worker,
            ticket,
            budget,
            running,
        }
    }

    pub(super) async fn whole(mut self, input: Input) -> Result<Output> {
        let result = match self.has_time() {
            true => self.run_and_pass(input).await,
            false => {
                self.unrun();
                Err(Refusal::Expired)
            }
        };
        self.running.disarm();
        show_sessions(self.worker);
        result
    }

    fn has_time(&self) -> bool {
        let left = self.worker.shared.process.now().until(self.budget);
        left >= LEAST_LIMIT
    }

    async fn run_and_pass(&self, input: Input) -> Result<Output> {
        let result = match self.engine(input).await {
            Ok(StepOut::Token(token)) => self.token(token),
            Ok(StepOut::Acts(acts)) => self.onward(acts).await,
            Err(e) => return Err(self.engine_failed(e).await),
        };
        result.map_err(after_run)
    }

    pub(super) async fn resend(mut self, onward: Onward) -> Result<Output> {
        let result = self.pass_on(onward).await;
        self.running.disarm();
        result
    }

    async fn engine(&self, input: Input) -> mustard_backend::Result<StepOut> {
        let process = &self.worker.shared.process;
        let start = process.now();
        let body = StepBody {
            model: self.ticket.opening.model.clone(),
            pos: self.ticket.work.pos,
            priority: self.ticket.opening.priority,
            input,
        };
        let limit = start.until(self.budget);
        let seq = self.seq();
        let out = self
            .worker
            .server
            .step(seq, body, limit.as_millis() as u64)
            .await?;
        self.note_run(process.now().since(start));
        Ok(out)
    }

    fn note_run(&self, took: Duration) {
        let work = self.ticket.work;
        let shared = &self.worker.shared;
        shared.observe_step(took, work.len);
        histogram!(names::ENGINE_SECONDS).record(took.as_secs_f64());
        counter!(names::POSITIONS).increment(u64::from(work.len));
        let ran = EventKind::StageRan {
            epoch: self.ticket.epoch,
            from: work.pos,
            count: work.len,
        };
        shared.process.emit(Some(self.ticket.request), ran);
    }

    fn token(&self, token: u32) -> Result<Output> {
        if self.ticket.next_hop().is_some() {
            self.end(Ended::Broken);
            return Err(server_failed("engine made a token before the last stage"));
        }
        let mut loads = Vec::new();
        self.report(&mut loads);
        self.finish(token, loads)
    }

    async fn onward(&self, acts: Vec<u64>) -> Result<Output> {
        if self.ticket.next_hop().is_none() || acts.len() != self.ticket.work.len as usize {
            self.end(Ended::Broken);
            return Err(server_failed("engine made activations that do not fit"));
        }
        let now = self.worker.shared.process.now();
        let ran = self.worker.shared.sessions().ran(&self.ticket, acts, now);
        match ran {
            Ok(onward) => self.pass_on(onward).await,
            Err(r) => {
                // The attempt ended while the engine ran; its sequence must not outlive it.
                self.worker.cancel_sequence(self.seq());
                Err(r)
            }
        }
    }

    async fn pass_on(&self, onward: Onward) -> Result<Output> {
        match self.call_next(&onward.acts).await {
            Ok(output) => {
                let mut loads = output.loads;
                self.report(&mut loads);
                self.finish(output.token, loads)
            }
            Err(e) => {
                self.worker.shared.sessions().keep(&self.ticket);
                Err(self.next_failed(e))
            }
        }
    }

    /// Calls the next agent, a second time if the connection broke before an answer.
    async fn call_next(&self, acts: &Arc<Vec<u64>>) -> std::result::Result<Output, CallError> {
        match self.call_once(acts).await {
            Err(CallError::Lost(_)) => self.call_once(acts).await,
            other => other,
        }
    }

    async fn call_once(&self, acts: &Arc<Vec<u64>>) -> std::result::Result<Output, CallError> {
        let Some(hop) = self.ticket.next_hop() else {
            return Err(CallError::NotSent("chain has no further stage".to_owned()));
        };
        let now = self.worker.shared.process.now();
        let limit = now.until(self.budget);
        let step = Step {
            request: self.ticket.request,
            epoch: self.ticket.epoch,
            stage: self.ticket.stage + 1,
            pos: self.ticket.work.pos,
            input: Input::Acts(acts.as_ref().clone()),
            opening: self.opening(now.until(self.ticket.deadline)),
            limit_ms: limit.as_millis() as u32,
        };
        self.worker
            .client
            .call(hop.addr, hop.incarnation, step, limit)
            .await
    }

    fn opening(&self, left: Duration) -> Option<Opening> {
        if self.ticket.work.pos != 0 {
            return None;
        }
        let mut opening = self.ticket.opening.as_ref().clone();
        opening.deadline_ms = left.as_millis() as u64;
        Some(opening)
    }

    fn next_failed(&self, e: CallError) -> Refusal {
        match e.into_refusal() {
            r @ Refusal::NextFailed { .. } => r,
            cause => Refusal::NextFailed {
                stage: self.ticket.stage + 1,
                cause: Box::new(cause),
            },
        }
    }

    fn report(&self, loads: &mut Vec<(u32, Load)>) {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let due = shared.sessions().report_due(&self.ticket, now);
        if due {
            loads.push((self.ticket.stage, shared.load()));
        }
    }

    fn finish(&self, token: u32, loads: Vec<(u32, Load)>) -> Result<Output> {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let pos = shared.sessions().finish(&self.ticket, token, now)?;
        Ok(Output { token, pos, loads })
    }

    pub(super) fn seq(&self) -> SeqId {
        SeqId {
            request: self.ticket.request,
            epoch: self.ticket.epoch,
        }
    }
}

/// Describes a refusal that came after the engine ran the step.
fn after_run(r: Refusal) -> Refusal {
    match r.ran() {
        Ran::Maybe => r,
        Ran::No => server_failed(&format!("engine ran the step, then: {r}")),
    }
}

fn server_failed(detail: &str) -> Refusal {
    Refusal::ServerFailed {
        ran: Ran::Maybe,
        detail: detail.to_owned(),
        suspects: Vec::new(),
    }
}
