//! Calls of plain services: `/v1/services/{service}/{path}`.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};

use mustard_core::catalogue::{Entry, Target};
use mustard_core::fingerprint::Fingerprint;
use mustard_net::problem::REQUEST_ID;
use mustard_proto::agent::{Call, CallAnswer};

use super::access::{self, note_end, note_start};
use super::draft::deadline_ms;
use super::errors::{ApiError, Result};
use super::problem::Answer;
use super::{State, auth};
use crate::app::Worker;
use crate::calls::{self, NetCalls};
use crate::ports::Rights;
use crate::quotas;

const KIND: &str = "call";
const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const REPLAYED_HEADER: &str = "idempotency-replayed";
const MAX_KEY: usize = 128;

/// Handles a call of a plain service.
pub async fn handle(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let answer = Answer::new();
    let worker = Rc::clone(&state);
    let result = run(&worker, answer, &request, &mut payload).await;
    let (response, result) = match result {
        Ok(done) => (relay(answer, done), Ok(())),
        Err(error) => (answer.refuse(&error), Err(error)),
    };
    note_end(&worker, answer, KIND, &result);
    response
}

async fn run(
    worker: &Rc<Worker>,
    answer: Answer,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<CallAnswer> {
    let shared = &worker.shared;
    let arrival = access::receive(worker, request, payload).await?;
    access::current(worker).await?;
    let name = request.match_info().get("name").unwrap_or_default();
    let entry = auth::open(&shared.catalogue.current(), &arrival.key, name)?;
    let asked = deadline_header(request)?;
    let time = deadline_ms(asked, shared.settings.limits.deadline_ms, &entry.limits)?;
    let call = call_of(answer, request, &entry, &arrival.body, time)?;
    let _permit = quotas::permit(worker, &entry).await?;
    note_start(worker, answer, &entry);
    let deadline = arrival.at + Duration::from_millis(time);
    let rights = Rights {
        entry: entry.name.clone(),
        key: arrival.key,
        fingerprint: call.fingerprint,
        deadline,
    };
    let ports = NetCalls::new(Rc::clone(worker), rights);
    Ok(calls::run(&ports, call, deadline).await?)
}

fn call_of(
    answer: Answer,
    request: &HttpRequest,
    entry: &Entry,
    body: &[u8],
    time: u64,
) -> Result<Call> {
    let Target::Service {
        service,
        repeatable,
    } = &entry.target
    else {
        let name = entry.name.clone();
        return Err(ApiError::UnknownEntry { name });
    };
    let method = request.method().as_str();
    let path = service_path(request);
    let key = match *repeatable || is_read(method) {
        true => None,
        false => Some(idempotency_key(request)?),
    };
    Ok(Call {
        request: answer.request(),
        entry: entry.name.clone(),
        owner: entry.owner.clone(),
        service: service.clone(),
        key,
        fingerprint: Fingerprint::of(&[method.as_bytes(), path.as_bytes(), body]),
        method: method.to_owned(),
        path,
        content_type: header(request, "content-type")
            .unwrap_or_default()
            .to_owned(),
        body: body.to_vec(),
        deadline_ms: time,
    })
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
