//! The handling of a step from its arrival to its answer.

use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::{counter, gauge};

use mustard_core::ids::Seq;
use mustard_net::shutdown::RequestGuard;
use mustard_proto::Refusal;
use mustard_proto::step::{Cancel, Input, Output, Step};

use super::run::StepRun;
use crate::metric_names;
use crate::session::{Result, StepAction, check_params};
use crate::worker::Worker;

/// A stage leaves 1/16 of the time limit to its sender, so that a stage answers with its failure
/// before the stages ahead of it time out.
const RESERVE_DIVISOR: u32 = 16;

/// Runs a step at this stage and all later ones.
///
/// `seq` is the newest catalogue change that the sender knows.
///
/// # Errors
///
/// [`Refusal::execution`] tells whether a stage may have run the step. After
/// [`Refusal::NextFailed`] the sender may repeat the step under the same epoch.
pub async fn run_step(worker: &Worker, seq: Seq, mut step: Step) -> Result<Output> {
    if step.params.is_some() {
        check_admission(worker, seq, &step)?;
    }
    check_input(&step)?;
    let limit = Duration::from_millis(u64::from(step.limit_ms));
    let step_deadline = worker.shared.process.now() + (limit - limit / RESERVE_DIVISOR);
    let action = begin_step(worker, &step)?;
    match action {
        StepAction::Replay { token, pos } => {
            count_step("replay");
            let loads = Vec::new();
            Ok(Output { token, pos, loads })
        }
        StepAction::Run(handle) => {
            count_step("run");
            let input = std::mem::replace(&mut step.input, Input::Tokens(Vec::new()));
            StepRun::new(worker, handle, step_deadline).run(input).await
        }
        StepAction::Resend(handle, stage_output) => {
            count_step("resend");
            StepRun::new(worker, handle, step_deadline)
                .resend(stage_output)
                .await
        }
    }
}

/// Ends every attempt of a request up to and including an epoch.
pub fn cancel_attempts(worker: &Worker, message: &Cancel) {
    let shared = &worker.shared;
    let now = shared.process.now();
    let ended = shared
        .sessions()
        .cancel(message.request, message.epoch, now);
    worker.cancel_sessions(ended);
    update_session_gauge(worker);
}

fn count_step(result: &'static str) {
    counter!(metric_names::STEPS, "result" => result).increment(1);
}

/// Sets the gauge of open sessions.
pub(super) fn update_session_gauge(worker: &Worker) {
    let open = worker.shared.sessions().len();
    gauge!(metric_names::SESSIONS).set(open as f64);
}

/// Checks the sender's catalogue version and the chain before an attempt is opened.
fn check_admission(worker: &Worker, seq: Seq, step: &Step) -> Result<()> {
    let shared = &worker.shared;
    let have = shared.process.newest_seq();
    if seq < have {
        return Err(Refusal::StaleCatalogue { have });
    }
    let Some(params) = &step.params else {
        return Ok(());
    };
    let server = shared.server.load();
    let Some(held) = &server.held else {
        let what = params.model.clone();
        return Err(Refusal::NotHeld { what });
    };
    let incarnation = shared.process.incarnation();
    check_params(
        params,
        step.stage,
        incarnation,
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

fn begin_step(worker: &Worker, step: &Step) -> Result<StepAction> {
    let shared = &worker.shared;
    let now = shared.process.now();
    let mut ended = Vec::new();
    let guard = || admit_step(worker);
    let action = shared.sessions().begin(step, now, guard, &mut ended);
    worker.cancel_sessions(ended);
    action
}

fn admit_step(worker: &Worker) -> Result<RequestGuard> {
    let shared = &worker.shared;
    if shared.role_changing.load(Ordering::Acquire) {
        return Err(Refusal::Leaving);
    }
    shared.gate.admit().ok_or(Refusal::Leaving)
}
