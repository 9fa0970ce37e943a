//! One step of an attempt from its arrival to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::{counter, gauge, histogram};

use mustard_backend::BackendError;
use mustard_backend::engine::{Engine, SeqId, StepBody, StepOut};
use mustard_core::event::EventKind;
use mustard_core::ids::Seq;
use mustard_net::CallError;
use mustard_net::shutdown::Pass;
use mustard_proto::step::{Cancel, Input, Opening, Output, Step};
use mustard_proto::{Ran, Refusal};

use super::abandon::Running;
use crate::names;
use crate::session::{Begin, Ended, Onward, Result, Ticket, check_opening};
use crate::worker::Worker;

/// The share of a limit that a stage leaves to its caller, so that the stage that fails answers
/// before the stages ahead of it give up.
const LIMIT_SHARE: u32 = 16;

/// Runs a step here and at all later stages; `seq` is the newest catalogue change of the sender.
///
/// # Errors
///
/// [`Refusal::ran`] tells whether a stage may have run the step. After
/// [`Refusal::NextFailed`] the same step may be sent again under the same epoch.
pub async fn step(worker: &Worker, seq: Seq, mut step: Step) -> Result<Output> {
    if step.opening.is_some() {
        admit(worker, seq, &step)?;
    }
    check_input(&step)?;
    let limit = Duration::from_millis(u64::from(step.limit_ms));
    let budget = worker.shared.process.now() + (limit - limit / LIMIT_SHARE);
    let begun = begin(worker, &step)?;
    match begun {
        Begin::Replay { token, pos } => {
            count("replay");
            let loads = Vec::new();
            Ok(Output { token, pos, loads })
        }
        Begin::Run(ticket) => {
            count("run");
            let input = std::mem::replace(&mut step.input, Input::Tokens(Vec::new()));
            Run::new(worker, ticket, budget).whole(input).await
        }
        Begin::Resend(ticket, onward) => {
            count("resend");
            Run::new(worker, ticket, budget).resend(onward).await
        }
    }
}

/// Ends every attempt of a request up to an epoch.
pub fn cancel(worker: &Worker, message: &Cancel) {
    let shared = &worker.shared;
    let now = shared.process.now();
    let closed = shared
        .sessions()
        .cancel(message.request, message.epoch, now);
    worker.cancel_all(closed);
    show_sessions(worker);
}

fn count(result: &'static str) {
    counter!(names::STEPS, "result" => result).increment(1);
}

fn show_sessions(worker: &Worker) {
    let open = worker.shared.sessions().len();
    gauge!(names::SESSIONS).set(open as f64);
}

/// Checks the sender's catalogue and the chain before an attempt is opened.
fn admit(worker: &Worker, seq: Seq, step: &Step) -> Result<()> {
    let shared = &worker.shared;
    let have = shared.process.newest();
    if seq < have {
        return Err(Refusal::StaleCatalogue { have });
    }
    let Some(opening) = &step.opening else {
        return Ok(());
    };
    let server = shared.server.load();
    let Some(held) = &server.held else {
        let what = opening.model.clone();
        return Err(Refusal::NotHeld { what });
    };
    let life = shared.process.incarnation();
    check_opening(
        opening,
        step.stage,
        life,
        &held.model,
        held.layers,
        held.total,
    )
}

fn check_input(step: &Step) -> Result<()> {
    let fits = matches!(&step.input, Input::Tokens(_)) == (step.stage == 0);
    if fits {
        return Ok(());
    }
    let detail = format!("input does not fit stage {}", step.stage);
    Err(Refusal::Malformed { detail })
}

fn begin(worker: &Worker, step: &Step) -> Result<Begin> {
    let shared = &worker.shared;
    let now = shared.process.now();
    let mut closed = Vec::new();
    let guard = || enter(worker);
    let begun = shared.sessions().begin(step, now, guard, &mut closed);
    worker.cancel_all(closed);
    begun
}

fn enter(worker: &Worker) -> Result<Pass> {
    let shared = &worker.shared;
    if shared.changing.load(Ordering::Acquire) {
        return Err(Refusal::Leaving);
    }
    shared.gate.enter().ok_or(Refusal::Leaving)
}

/// A step under way.
struct Run<'a> {
    worker: &'a Worker,
    ticket: Ticket,
    budget: mustard_core::clock::Moment,
    running: Running<'a>,
}

impl<'a> Run<'a> {
    fn new(worker: &'a Worker, ticket: Ticket, budget: mustard_core::clock::Moment) -> Self {
        let running = Running::new(worker, ticket.clone());
        let budget = budget.min(ticket.deadline);
        Run {
            worker,
            ticket,
            budget,
            running,
        }
    }

    async fn whole(mut self, input: Input) -> Result<Output> {
        let out = self.engine(input).await;
        let result = match out {
            Ok(StepOut::Token(token)) => self.token(token),
            Ok(StepOut::Acts(acts)) => self.onward(acts).await,
            Err(e) => Err(self.engine_failed(e).await),
        };
        self.running.disarm();
        show_sessions(self.worker);
        result
    }

    async fn resend(mut self, onward: Onward) -> Result<Output> {
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
        let onward = self.worker.shared.sessions().ran(&self.ticket, acts, now)?;
        self.pass_on(onward).await
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

    fn report(&self, loads: &mut Vec<(u32, mustard_proto::agent::Load)>) {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let due = shared.sessions().report_due(&self.ticket, now);
        if due {
            loads.push((self.ticket.stage, shared.load()));
        }
    }

    fn finish(&self, token: u32, loads: Vec<(u32, mustard_proto::agent::Load)>) -> Result<Output> {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let pos = shared.sessions().finish(&self.ticket, token, now)?;
        Ok(Output { token, pos, loads })
    }

    async fn engine_failed(&self, e: BackendError) -> Refusal {
        let request = self.ticket.request;
        slog::info!(self.worker.shared.log, "stage: Engine failed.";
            "request" => %request, "cause" => %e);
        match e {
            BackendError::Full { retry_ms } => {
                self.unrun();
                Refusal::Busy { retry_ms }
            }
            BackendError::NotHeld(what) => {
                self.end(Ended::Broken);
                Refusal::NotHeld { what }
            }
            BackendError::Position { .. } => {
                self.end(Ended::Broken);
                Refusal::NotOpen
            }
            BackendError::Unreachable(detail) => {
                self.unrun();
                self.failure(Ran::No, detail, 0)
            }
            BackendError::Broken(detail) => {
                let suspects = self.suspects().await;
                self.end(Ended::Broken);
                self.failure(Ran::Maybe, detail, suspects)
            }
            other => {
                self.end(Ended::Broken);
                self.failure(other.ran(), other.to_string(), 0)
            }
        }
    }

    /// Counts the request contents that the engine ran when it died; zero if it lives.
    async fn suspects(&self) -> u32 {
        let shared = &self.worker.shared;
        let running = shared.sessions().at_engine();
        if self.worker.server.held().await.is_ok() {
            return 0;
        }
        let now = shared.process.now();
        let mut deaths = shared
            .deaths
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let broken = self.ticket.opening.fingerprint;
        let (suspects, first) = deaths.report(broken, &running, now);
        if first {
            counter!(names::SERVER_DEATHS).increment(1);
        }
        suspects
    }

    fn failure(&self, ran: Ran, detail: String, suspects: u32) -> Refusal {
        Refusal::ServerFailed {
            ran,
            detail,
            suspects,
        }
    }

    fn unrun(&self) {
        self.worker.shared.sessions().unrun(&self.ticket);
    }

    fn end(&self, why: Ended) {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let closed = shared.sessions().end(&self.ticket, why, now);
        self.worker.cancel_all(closed);
    }

    fn seq(&self) -> SeqId {
        SeqId {
            request: self.ticket.request,
            epoch: self.ticket.epoch,
        }
    }
}

fn server_failed(detail: &str) -> Refusal {
    Refusal::ServerFailed {
        ran: Ran::Maybe,
        detail: detail.to_owned(),
        suspects: 0,
    }
}
