//! What every request passes before it runs: gate, body, key, catalogue and limits.

use std::rc::Rc;
use std::time::Duration;

use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use slog::{info, warn};
use tokio::time::{Instant, timeout};

use mustard_catalogue::confirm::Standing;
use mustard_core::catalogue::Entry;
use mustard_core::event::EventKind;
use mustard_core::fingerprint::KeyHash;
use mustard_core::outcome::Outcome;
use mustard_net::shutdown::Pass;

use super::errors::{ApiError, Result};
use super::problem::Answer;
use super::{auth, body};
use crate::app::Worker;

/// How long a request waits for a catalogue change that was seen elsewhere.
const CATCH_UP: Duration = Duration::from_millis(1_500);
const UNCONFIRMED_RETRY: Duration = Duration::from_secs(2);

/// A request whose body is read.
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// The digest of its bearer key.
    pub key: KeyHash,
    /// The body.
    pub body: Vec<u8>,
    /// Counts the request as running.
    pub pass: Pass,
}

/// Reads a request.
///
/// # Errors
///
/// Returns the refusal for a process that stops, a bad body or a missing key.
pub async fn receive(
    worker: &Worker,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Arrival> {
    let at = Instant::now();
    let shared = &worker.shared;
    let limits = &shared.settings.limits;
    let pass = shared.gate.enter().ok_or(ApiError::Draining)?;
    let key = auth::key_of(request);
    let time = Duration::from_millis(limits.body_ms);
    // The body is read before any refusal, so that the connection stays in step.
    let body = body::read(payload, limits.body_bytes, time).await?;
    let key = key?;
    Ok(Arrival {
        at,
        key,
        body,
        pass,
    })
}

/// Makes sure that the catalogue in force may be worked under.
///
/// # Errors
///
/// Returns a refusal if a newer catalogue exists and does not arrive, or if no process has
/// confirmed this one for too long.
pub async fn current(worker: &Worker) -> Result<()> {
    let store = &worker.shared.catalogue;
    if store.is_behind() {
        let newest = worker.shared.process.newest();
        let caught = timeout(CATCH_UP, store.catch_up(newest, CATCH_UP)).await;
        if !caught.unwrap_or(false) {
            return Err(ApiError::Unconfirmed {
                retry: UNCONFIRMED_RETRY,
            });
        }
    }
    match store.standing() {
        Standing::Confirmed => Ok(()),
        _ => Err(ApiError::Unconfirmed {
            retry: UNCONFIRMED_RETRY,
        }),
    }
}

/// Notes that a request was admitted.
pub fn note_start(worker: &Worker, answer: Answer, entry: &Entry) {
    let shared = &worker.shared;
    let name = entry.name.clone();
    info!(shared.log, "api: Admitted."; "request" => %answer.request(), "entry" => &name);
    let event = EventKind::Admitted { entry: name };
    shared.process.emit(Some(answer.request()), event);
}

/// Notes the end of a request.
pub fn note_end(worker: &Rc<Worker>, answer: Answer, kind: &'static str, result: &Result<()>) {
    let shared = &worker.shared;
    let (outcome, reason) = match result {
        Ok(()) => (Outcome::Done, "done"),
        Err(error) => (error.face().outcome, error.face().kind),
    };
    let id = answer.request();
    let took = answer.elapsed();
    let ms = took.as_millis() as u64;
    match result {
        Ok(()) => info!(shared.log, "api: Answered."; "request" => %id, "ms" => ms),
        Err(e) => warn!(shared.log, "api: Refused or broken off."; "request" => %id, "ms" => ms,
            "outcome" => outcome.name(), "reason" => reason, "cause" => %e),
    }
    let spent = [("kind", kind), ("outcome", outcome.name())];
    metrics::histogram!("mustard_entry_request_seconds", &spent).record(took.as_secs_f64());
    let labels = [
        ("kind", kind),
        ("outcome", outcome.name()),
        ("reason", reason),
    ];
    metrics::counter!("mustard_entry_requests_total", &labels).increment(1);
    let reason = reason.to_owned();
    let event = EventKind::Answered { outcome, reason };
    shared.process.emit(Some(id), event);
}
