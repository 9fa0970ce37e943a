//! The servers of the plain service of a stand-in site.

use std::time::Duration;

use ntex::http::Response;
use ntex::util::Bytes;
use serde_json::json;
use tokio::sync::mpsc::channel;
use tokio::time::sleep;

use super::http::{Call, json_response};
use super::{ReceivedRequest, ServerFault, Site, raw};

/// The time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(5);

/// Records in the ledger that a server runs a request; returns the request's id.
pub(super) fn record_run(site: &Site, index: usize, call: &Call) -> String {
    let id = call.header("attempt-id").unwrap_or_default();
    let mut state = site.lock();
    *state.ledger.runs.entry(id.clone()).or_default() += 1;
    state.ledger.requests.push(ReceivedRequest {
        server: index,
        id: id.clone(),
        customer: call.header("tenant"),
        priority: call.header("request-priority"),
        budget_ms: call.header("time-budget-ms").and_then(|v| v.parse().ok()),
        has_key: call.header("authorization").is_some(),
    });
    id
}

/// Tells whether a request names another server in the header `Expect-Instance`.
pub(super) fn is_misdirected(site: &Site, index: usize, call: &Call) -> bool {
    let expected = call.header("expect-instance");
    expected.is_some_and(|e| e != site.lock().servers[index].id)
}

/// Returns the answer to a request for another server, marked as not run.
pub(super) fn misdirected_response() -> Response {
    let mut response = json_response(421, &json!({}));
    response.headers_mut().insert(
        ntex::http::header::HeaderName::from_static("not-executed"),
        ntex::http::header::HeaderValue::from_static("1"),
    );
    response
}

/// Answers a health check, which names the server.
pub(super) fn answer_health(site: &Site, index: usize) -> Response {
    let mut out = Response::Ok();
    out.header("instance-id", site.lock().servers[index].id.clone());
    out.finish()
}

pub(super) async fn answer(site: &Site, index: usize, call: Call) -> Response {
    if is_misdirected(site, index, &call) {
        return misdirected_response();
    }
    if call.path == "/health" {
        site.lock().ledger.health_checks += 1;
        return answer_health(site, index);
    }
    if call.header("attempt-id").is_none() {
        // Such a server answers neither reports nor orders.
        return json_response(400, &json!({}));
    }
    let id = record_run(site, index, &call);
    sleep(CALL_TIME).await;
    if call.is_poison() && !site.lock().is_poison_sound {
        site.end_server(index, &id, None);
        return call.end_with_server(site, index).await;
    }
    let fault = site.lock().servers[index].current_fault();
    match fault {
        ServerFault::LosesAnswers => {
            call.drop_connection();
            Response::Ok().finish()
        }
        ServerFault::AnswersError => {
            let mut out = Response::InternalServerError();
            out.header("attempt-id", id).header("response-seal", "seal");
            out.body(Bytes::from_static(b"failed"))
        }
        ServerFault::Unframed | ServerFault::UnframedCut => {
            let (sender, receiver) = channel(1);
            // The receiver is alive.
            let _ = sender.send(Some(Bytes::from(format!("done {id}")))).await;
            drop(sender);
            raw::send_unframed(&call, &id, "text/plain", receiver).await
        }
        _ => {
            let mut out = Response::Ok();
            out.header("attempt-id", id.clone());
            out.header("response-seal", format!("seal-{id}"));
            let mut body = format!("done {id}").into_bytes();
            body.resize(body.len().max(site.lock().options.answer_bytes), b'.');
            out.body(Bytes::from(body))
        }
    }
}
