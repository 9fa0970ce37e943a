//! Calls of plain services: `/v1/services/{service}/{path}`.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use slog::{info, warn};
use tokio::time::Instant;

use mustard_core::catalogue::Target;
use mustard_core::event::EventKind;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::outcome::Outcome;
use mustard_proto::agent::{Call, CallAnswer};

use super::draft::deadline_ms;
use super::errors::{ApiError, Result};
use super::problem::{Answer, REQUEST_ID};
use super::{State, auth, body};
use crate::app::Worker;
use crate::calls::{self, NetCalls};

const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const REPLAYED_HEADER: &str = "idempotency-replayed";
const MAX_KEY: usize = 128;

/// Handles a call of a plain service.
pub async fn handle(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let answer = Answer::new();
    let worker = Rc::clone(&state);
    let result = run(&worker, answer, &request, &mut payload).await;
    note_end(&worker, answer, result.as_ref().err());
    match result {
        Ok(done) => relay(answer, done),
        Err(error) => answer.refuse(&error),
    }
}

async fn run(
    worker: &Rc<Worker>,
    answer: Answer,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<CallAnswer> {
    let arrived = Instant::now();
    let shared = &worker.shared;
    let limits = &shared.settings.limits;
    let _pass = shared.gate.enter().ok_or(ApiError::Draining)?;
    let key = auth::key_of(request);
    let time = Duration::from_millis(limits.body_ms);
    let bytes = body::read(payload, limits.body_bytes, time).await?;
    let key = key?;
    let name = request.match_info().get("name").unwrap_or_default();
    let entry = auth::open(&shared.catalogue.current(), &key, name)?;
    let Target::Service {
        service,
        repeatable,
    } = &entry.target
    else {
        let name = name.to_owned();
        return Err(ApiError::UnknownEntry { name });
    };
    let asked = deadline_header(request)?;
    let time = deadline_ms(asked, limits.deadline_ms, &entry.limits)?;
    let path = service_path(request);
    let key = match *repeatable || is_read(request.method().as_str()) {
        true => None,
        false => Some(idempotency_key(request)?),
    };
    shared.process.emit(
        Some(answer.request()),
        EventKind::Admitted {
            entry: entry.name.clone(),
        },
    );
    info!(shared.log, "api: Call admitted.";
        "request" => %answer.request(), "entry" => &entry.name);
    let call = Call {
        request: answer.request(),
        entry: entry.name.clone(),
        owner: entry.owner.clone(),
        service: service.clone(),
        key,
        fingerprint: Fingerprint::of(&[
            request.method().as_str().as_bytes(),
            path.as_bytes(),
            &bytes,
        ]),
        method: request.method().as_str().to_owned(),
        path,
        content_type: header(request, "content-type")
            .unwrap_or_default()
            .to_owned(),
        body: bytes,
        deadline_ms: time,
    };
    let ports = NetCalls::new(Rc::clone(worker));
    let deadline = arrived + Duration::from_millis(time);
    calls::run(&ports, call, deadline)
        .await
        .map_err(ApiError::from)
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|v| v.to_str().ok())
}

fn deadline_header(request: &HttpRequest) -> Result<Option<u64>> {
    let Some(text) = header(request, DEADLINE_HEADER) else {
        return Ok(None);
    };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| ApiError::malformed("X-Deadline-Ms must be a whole number"))
}

fn idempotency_key(request: &HttpRequest) -> Result<String> {
    let value = request.headers().get(KEY_HEADER);
    let bytes = value.ok_or(ApiError::KeyRequired)?.as_bytes();
    check_key(bytes)
}

/// Checks the form of an idempotency key.
pub fn check_key(bytes: &[u8]) -> Result<String> {
    let visible = bytes.iter().all(u8::is_ascii_graphic);
    if bytes.is_empty() || bytes.len() > MAX_KEY || !visible {
        return Err(ApiError::BadKey);
    }
    Ok(String::from_utf8_lossy(bytes).into_owned())
}

/// Tells whether a method has no effect by its definition.
fn is_read(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Returns the path at the service, with its query.
fn service_path(request: &HttpRequest) -> String {
    let rest = request.match_info().get("path").unwrap_or_default();
    let path = format!("/{}", rest.trim_start_matches('/'));
    match request.query_string() {
        "" => path,
        query => format!("{path}?{query}"),
    }
}

fn relay(answer: Answer, done: CallAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(done.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.header(REQUEST_ID, answer.request().to_string());
    if done.replayed {
        response.header(REPLAYED_HEADER, "true");
    }
    if !done.content_type.is_empty() {
        response.content_type(done.content_type);
    }
    response.body(done.body)
}

fn note_end(worker: &Worker, answer: Answer, error: Option<&ApiError>) {
    let shared = &worker.shared;
    let face = error.map(ApiError::face);
    let outcome = face.map_or(Outcome::Done, |f| f.outcome);
    let reason = face.map_or("done", |f| f.kind);
    match error {
        None => info!(shared.log, "api: Call done."; "request" => %answer.request()),
        Some(e) => warn!(shared.log, "api: Call refused or unknown.";
            "request" => %answer.request(), "outcome" => outcome.name(), "cause" => %e),
    }
    shared.process.emit(
        Some(answer.request()),
        EventKind::Answered {
            outcome,
            reason: reason.to_owned(),
        },
    );
}
