//! The plain service of a stand-in site.

use std::time::Duration;

use ntex::http::Response;
use ntex::util::Bytes;
use serde_json::json;
use tokio::time::sleep;

use super::http::{Call, json};
use super::{Health, Seen, Site};

const WORK: Duration = Duration::from_millis(5);

/// Notes a request that a server runs; returns its id.
pub(super) fn note_run(site: &Site, index: usize, call: &Call) -> String {
    let id = call.header("attempt-id").unwrap_or_default();
    let mut state = site.lock();
    *state.ledger.runs.entry(id.clone()).or_default() += 1;
    state.ledger.requests.push(Seen {
        server: index,
        id: id.clone(),
        customer: call.header("tenant"),
        budget: call.header("time-budget-ms").and_then(|v| v.parse().ok()),
        key: call.header("authorization").is_some(),
    });
    id
}

/// Tells whether the request is meant for another server.
pub(super) fn is_misdirected(site: &Site, index: usize, call: &Call) -> bool {
    let wanted = call.header("expect-instance");
    wanted.is_some_and(|w| w != site.lock().servers[index].id)
}

pub(super) fn misdirected() -> Response {
    let mut response = json(421, &json!({}));
    response.headers_mut().insert(
        ntex::http::header::HeaderName::from_static("not-executed"),
        ntex::http::header::HeaderValue::from_static("1"),
    );
    response
}

pub(super) async fn answer(site: &Site, index: usize, call: Call) -> Response {
    if is_misdirected(site, index, &call) {
        return misdirected();
    }
    let id = note_run(site, index, &call);
    sleep(WORK).await;
    let health = site.lock().servers[index].health;
    match health {
        Health::LosesAnswers => {
            call.close();
            Response::Ok().finish()
        }
        Health::Fails => {
            let mut out = Response::InternalServerError();
            out.header("attempt-id", id).header("response-seal", "seal");
            out.body(Bytes::from_static(b"failed"))
        }
        _ => {
            let mut out = Response::Ok();
            out.header("attempt-id", id.clone());
            out.header("response-seal", format!("seal-{id}"));
            out.body(Bytes::from(format!("done {id}")))
        }
    }
}
