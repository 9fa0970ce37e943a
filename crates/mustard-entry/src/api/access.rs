//! The checks that every caller's request passes before it runs, and the records of its start
//! and end.

use std::rc::Rc;
use std::time::Duration;

use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use slog::{info, warn};
use tokio::time::{Instant, timeout};

use mustard_catalogue::confirmation::ConfirmationState;
use mustard_core::catalogue::Entry;
use mustard_core::event::EventKind;
use mustard_core::fingerprint::KeyHash;
use mustard_core::outcome::Outcome;
use mustard_net::client_body::ClientBody;
use mustard_net::shutdown::RequestGuard;

use super::errors::{ApiError, Result};
use super::problem::RequestContext;
use super::{auth, body};
use crate::app::Worker;

/// How long a request waits for a catalogue change that other entry processes already have.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The retry delay for callers while the catalogue is not confirmed.
const UNCONFIRMED_RETRY: Duration = Duration::from_secs(2);

/// A request whose body has been read.
pub struct ReceivedRequest {
    /// When the request arrived.
    pub arrived: Instant,
    /// The digest of the caller's bearer key.
    pub bearer_key: KeyHash,
    /// The whole body.
    pub body: ClientBody,
    /// Counts the request as running until it is dropped.
    pub guard: RequestGuard,
}

/// Reads a request's body and bearer key.
///
/// # Errors
///
/// Returns an error if the process is stopping, the body can't be read or the key is missing.
pub async fn receive_request(
    worker: &Worker,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<ReceivedRequest> {
    let arrived = Instant::now();
    let shared = &worker.shared;
    let limits = &shared.settings.limits;
    let (guard, bearer_key) = check_head(worker, request)?;
    let time_limit = Duration::from_millis(limits.body_ms);
    let body = body::read(worker, payload, limits.body_bytes, time_limit).await?;
    // A body may end long after its head. What begins as late as this may be cut at the end of the grace time.
    if shared.gate.is_closed() {
        return Err(ApiError::Draining);
    }
    Ok(ReceivedRequest {
        arrived,
        bearer_key,
        body,
        guard,
    })
}

/// Refuses a request whose head already tells that it can't run.
fn check_head(worker: &Worker, request: &HttpRequest) -> Result<(RequestGuard, KeyHash)> {
    let shared = &worker.shared;
    let guard = shared.gate.admit().ok_or(ApiError::Draining)?;
    let bearer_key = auth::bearer_key(request)?;
    body::check_announced(request, shared.settings.limits.body_bytes)?;
    Ok((guard, bearer_key))
}

/// Checks that new work may start under the catalogue in force.
///
/// # Errors
///
/// Returns an error if a newer catalogue exists and does not arrive in time, or if neither the
/// table nor another entry process has confirmed this one recently.
pub async fn check_catalogue(worker: &Worker) -> Result<()> {
    let store = &worker.shared.catalogue;
    if store.is_behind() {
        let newest = worker.shared.process.newest_seq();
        let caught_up = timeout(CATCH_UP_TIMEOUT, store.catch_up(newest, CATCH_UP_TIMEOUT)).await;
        if !caught_up.unwrap_or(false) {
            return Err(ApiError::UnconfirmedCatalogue {
                retry: UNCONFIRMED_RETRY,
            });
        }
    }
    match store.confirmation_state() {
        ConfirmationState::Confirmed => Ok(()),
        _ => Err(ApiError::UnconfirmedCatalogue {
            retry: UNCONFIRMED_RETRY,
        }),
    }
}

/// Logs that a request was accepted and emits the event.
pub fn record_accepted(worker: &Worker, context: RequestContext, entry: &Entry) {
    let shared = &worker.shared;
    let name = entry.name.clone();
    info!(shared.log, "api: Request accepted."; "request" => %context.request_id(),
        "entry" => &name);
    let event = EventKind::Admitted { entry: name };
    shared.process.emit(Some(context.request_id()), event);
}

/// Logs, counts and emits the end of a request.
pub fn record_end(
    worker: &Rc<Worker>,
    context: RequestContext,
    kind: &'static str,
    result: &Result<()>,
) {
    let shared = &worker.shared;
    let (outcome, reason) = match result {
        Ok(()) => (Outcome::Done, "done"),
        Err(error) => (error.problem_fields().outcome, error.problem_fields().kind),
    };
    let id = context.request_id();
    let took = context.elapsed();
    let ms = took.as_millis() as u64;
    match result {
        Ok(()) => info!(shared.log, "api: Request answered."; "request" => %id, "ms" => ms),
        Err(e) => warn!(shared.log, "api: Request failed."; "request" => %id, "ms" => ms,
            "outcome" => outcome.name(), "reason" => reason, "cause" => %e),
    }
    let timing_labels = [("kind", kind), ("outcome", outcome.name())];
    metrics::histogram!("mustard_entry_request_seconds", &timing_labels).record(took.as_secs_f64());
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
