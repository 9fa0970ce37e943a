//! The operators' HTTP interface to the catalogue, in JSON.

use std::time::Duration;

use ntex::web::HttpResponse;
use serde::Serialize;

use mustard_core::ids::RequestId;
use mustard_core::outcome::Outcome;
use mustard_net::problem::{Problem, REQUEST_ID};
use mustard_platform::object::ObjectStore;
use mustard_platform::table::Table;

use crate::errors::WriteError;
use crate::store::CatalogueStore;
use crate::writer::{Proposal, Writer};

const JSON: &str = "application/json";
/// How long an answer waits for the accepted change to be in force at this process.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers `GET /admin/catalogue`.
pub fn list(store: &CatalogueStore, request: RequestId) -> HttpResponse {
    json_response(store.current().snapshot(), request)
}

/// Answers `GET /admin/catalogue/{name}/history`.
pub async fn history<T: Table, O: ObjectStore>(
    writer: &Writer<T, O>,
    name: &str,
    request: RequestId,
) -> HttpResponse {
    match writer.history(name).await {
        Ok(changes) if changes.is_empty() => {
            Problem::new(404, "entry-unknown", "Entry never existed")
                .detail(format!("entry {name:?} has no history"))
                .outcome(Outcome::NotRun)
                .response(request)
        }
        Ok(changes) => json_response(&changes, request),
        Err(e) => to_problem(&e).response(request),
    }
}

/// Answers `POST /admin/catalogue/changes`.
pub async fn change<T: Table, O: ObjectStore>(
    writer: &Writer<T, O>,
    store: &CatalogueStore,
    author: &str,
    body: &[u8],
    request: RequestId,
) -> HttpResponse {
    let proposal: Proposal = match serde_json::from_slice(body) {
        Ok(proposal) => proposal,
        Err(e) => return malformed_body(&e).response(request),
    };
    match writer.accept(&proposal, author).await {
        Ok(accepted) => {
            store.catch_up(accepted.seq, IN_FORCE_TIMEOUT).await;
            json_response(&accepted, request)
        }
        Err(e) => to_problem(&e).response(request),
    }
}

fn json_response(value: &impl Serialize, request: RequestId) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => HttpResponse::Ok()
            .content_type(JSON)
            .set_header(REQUEST_ID, request.to_string())
            .body(body),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

fn malformed_body(e: &serde_json::Error) -> Problem {
    Problem::new(400, "body-malformed", "Body is not a change")
        .detail(e.to_string())
        .outcome(Outcome::NotRun)
}

/// Returns the problem details of the answer to a change that was not accepted.
pub fn to_problem(e: &WriteError) -> Problem {
    let detail = e.to_string();
    let (status, kind, title) = match e {
        WriteError::Invalid(_) => (422, "change-invalid", "Change breaks a rule"),
        WriteError::Conflict { .. } => (409, "revision-conflict", "Entry has another revision"),
        WriteError::NotInForce { .. } => (422, "entry-not-in-force", "Entry is not in force"),
        WriteError::IdReused { .. } => (422, "change-id-reused", "Change id was used before"),
        WriteError::Unavailable { .. } => (503, "table-unavailable", "Table does not answer"),
        WriteError::InDoubt { .. } => (503, "change-in-doubt", "Change may have been accepted"),
        WriteError::Row(_) => (500, "row-malformed", "Row of the table does not parse"),
    };
    let outcome = match e {
        WriteError::InDoubt { .. } => Outcome::Unknown,
        _ => Outcome::NotRun,
    };
    let problem = Problem::new(status, kind, title)
        .detail(detail)
        .outcome(outcome);
    match e {
        WriteError::Conflict { current, .. } => {
            let current = serde_json::to_value(current).unwrap_or_default();
            problem.member("current", current)
        }
        WriteError::Unavailable { retry_ms } | WriteError::InDoubt { retry_ms } => {
            problem.retry_after(Duration::from_millis(*retry_ms))
        }
        _ => problem,
    }
}
