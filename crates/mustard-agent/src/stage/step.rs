//! One step of an attempt from its arrival to its answer.

use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::{counter, gauge};

use mustard_core::ids::Seq;
use mustard_net::shutdown::Pass;
use mustard_proto::Refusal;
use mustard_proto::step::{Cancel, Input, Output, Step};

use super::run::Run;
use crate::names;
use crate::session::{Begin, Result, check_opening};
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

/// Shows the number of open sessions.
pub(super) fn show_sessions(worker: &Worker) {
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
