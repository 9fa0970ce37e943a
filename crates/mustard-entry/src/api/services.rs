//! Calls to plain services: `/v1/services/{name}/{path}`.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};

use mustard_core::catalogue::{Entry, Target};
use mustard_core::fingerprint::Fingerprint;
use mustard_net::problem::REQUEST_ID;
use mustard_proto::agent::{Call, CallAnswer};

use super::access::{self, record_accepted, record_end};
use super::draft::deadline_ms;
use super::errors::{ApiError, Result};
use super::problem::RequestContext;
use super::{State, auth};
use crate::app::Worker;
use crate::calls::{self, NetCalls};
use crate::ports::RequestScope;
use crate::quotas;

const REQUEST_KIND: &str = "call";
const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const REPLAYED_HEADER: &str = "idempotency-replayed";
const MAX_KEY_BYTES: usize = 128;

/// Handles a call to a plain service.
pub async fn handle(request: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let context = RequestContext::new();
    let worker = Rc::clone(&state);
    let result = handle_call(&worker, context, &request, &mut payload).await;
    let (response, result) = match result {
        Ok(answer) => (service_response(context, answer), Ok(())),
        Err(error) => (context.refuse(&error), Err(error)),
    };
    record_end(&worker, context, REQUEST_KIND, &result);
    response
}

async fn handle_call(
    worker: &Rc<Worker>,
    context: RequestContext,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<CallAnswer> {
    let shared = &worker.shared;
    let received = access::receive_request(worker, request, payload).await?;
    access::check_catalogue(worker).await?;
    let name = request.match_info().get("name").unwrap_or_default();
    let entry = auth::authorize(&shared.catalogue.current(), &received.bearer_key, name)?;
    let requested_ms = deadline_header(request)?;
    let time_ms = deadline_ms(
        requested_ms,
        shared.settings.limits.deadline_ms,
        &entry.limits,
    )?;
    let call = build_call(context, request, &entry, &received.body.bytes, time_ms)?;
    let _permit = quotas::acquire_permit(worker, &entry).await?;
    record_accepted(worker, context, &entry);
    let deadline = received.arrived + Duration::from_millis(time_ms);
    let scope = RequestScope {
        entry: entry.name.clone(),
        bearer_key: received.bearer_key,
        fingerprint: call.fingerprint,
        deadline,
    };
    let ports = NetCalls::new(Rc::clone(worker), scope);
    Ok(calls::run_call(&ports, call, deadline).await?)
}

fn build_call(
    context: RequestContext,
    request: &HttpRequest,
    entry: &Entry,
    body: &[u8],
    time_ms: u64,
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
    let key = match *repeatable || is_safe_method(method) {
        true => None,
        false => Some(idempotency_key(request)?),
    };
    Ok(Call {
        request: context.request_id(),
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
        deadline_ms: time_ms,
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
    check_idempotency_key(bytes)
}

/// Checks the form of an idempotency key and returns it as text.
pub fn check_idempotency_key(bytes: &[u8]) -> Result<String> {
    let visible = bytes.iter().all(u8::is_ascii_graphic);
    if bytes.is_empty() || bytes.len() > MAX_KEY_BYTES || !visible {
        return Err(ApiError::BadKey);
    }
    Ok(String::from_utf8_lossy(bytes).into_owned())
}

/// Returns whether a method is safe by its definition in HTTP, so that it may be repeated.
fn is_safe_method(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Returns the path and query to request from the service.
fn service_path(request: &HttpRequest) -> String {
    let rest = request.match_info().get("path").unwrap_or_default();
    let path = format!("/{}", rest.trim_start_matches('/'));
    match request.query_string() {
        "" => path,
        query => format!("{path}?{query}"),
    }
}

fn service_response(context: RequestContext, answer: CallAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.header(REQUEST_ID, context.request_id().to_string());
    if answer.replayed {
        response.header(REPLAYED_HEADER, "true");
    }
    if !answer.content_type.is_empty() {
        response.content_type(answer.content_type);
    }
    response.body(answer.body)
}
