//! A caller's session against the real programs matches its golden file.
#![allow(clippy::unwrap_used)]

use mustard_tests::golden::{Session, mask_volatile};
use mustard_tests::http::HttpRequest;
use mustard_tests::plan::{CUSTOMER_KEY, MODEL};
use mustard_tests::{Cluster, Plan};
use serde_json::{Value, json};

struct Recorder<'a> {
    cluster: &'a Cluster,
    session: Session,
}

impl Recorder<'_> {
    fn post(&mut self, title: &str, path: &str, body: &Value) {
        let request = self.build_post(path, &body.to_string());
        self.session.exchange(title, &request).unwrap();
    }

    fn build_post(&self, path: &str, body: &str) -> HttpRequest {
        HttpRequest::post(self.cluster.entries[0].addr(), path, body).bearer(CUSTOMER_KEY)
    }

    fn exchange(&mut self, title: &str, request: &HttpRequest) {
        self.session.exchange(title, request).unwrap();
    }
}

#[test]
fn caller_session_matches_golden_file() {
    let cluster = Cluster::start(&Plan::new().entries(1)).unwrap();
    let mut recorder = Recorder {
        cluster: &cluster,
        session: Session::new(),
    };
    record_drafts(&mut recorder);
    record_bookings(&mut recorder);
    record_refusals(&mut recorder);
    recorder
        .session
        .assert_matches("caller_session.txt")
        .unwrap();
}

fn record_drafts(recorder: &mut Recorder<'_>) {
    let path = "/v1/completions";
    let prompt = "A caption for the moon strip";
    let whole = json!({"model": MODEL, "prompt": prompt, "max_tokens": 4});
    recorder.post("a whole draft", path, &whole);
    let streamed = json!({"model": MODEL, "prompt": [3, 1, 4], "max_tokens": 3, "stream": true});
    recorder.post("a streamed draft", path, &streamed);
}

fn record_bookings(recorder: &mut Recorder<'_>) {
    let path = "/v1/services/placements/pages/4";
    let body = json!({"strip": "Moon", "page": 4}).to_string();
    let booking = recorder
        .build_post(path, &body)
        .header("idempotency-key", "page-4");
    recorder.exchange("a booking", &booking);
    recorder.exchange("the same booking again", &booking);
    let conflicting = recorder
        .build_post(path, "{}")
        .header("idempotency-key", "page-4");
    recorder.exchange("the same key with another body", &conflicting);
    let status = HttpRequest::get(recorder.cluster.entries[0].addr(), path).bearer(CUSTOMER_KEY);
    recorder.exchange("a status read", &status);
    let keyless = recorder.build_post(path, &body);
    recorder.exchange("a booking without a key", &keyless);
}

fn record_refusals(recorder: &mut Recorder<'_>) {
    let path = "/v1/completions";
    let entry = recorder.cluster.entries[0].addr();
    let draft = json!({"model": MODEL, "prompt": "x", "max_tokens": 2}).to_string();
    recorder.exchange(
        "no bearer key",
        &HttpRequest::post(entry, path, draft.as_str()),
    );
    let unknown_key = HttpRequest::post(entry, path, draft.as_str()).bearer("foreign");
    recorder.exchange("a foreign bearer key", &unknown_key);
    recorder.exchange("malformed JSON", &recorder.build_post(path, "{\"model\":"));
    recorder.post(
        "a wrong type",
        path,
        &json!({"model": MODEL, "prompt": 7, "max_tokens": 2}),
    );
    recorder.post(
        "an unknown model",
        path,
        &json!({"model": "nothing", "prompt": "x"}),
    );
    let oversized = json!({"model": MODEL, "prompt": "x", "max_tokens": 1_000_000});
    recorder.post("more tokens than the entry allows", path, &oversized);
    let expired = json!({"model": MODEL, "prompt": "x", "max_tokens": 2, "deadline_ms": 0});
    recorder.post("a deadline already past", path, &expired);
    recorder.exchange("an unknown path", &recorder.build_post("/v1/nothing", "{}"));
}

#[test]
fn mask_hides_ids_times_and_addresses() {
    let id = "0123456789abcdef0123456789abcdef";
    let line = format!("id {id} at 1700000000000 from 127.0.0.1:4711, t12345 café");
    assert_eq!(
        mask_volatile(&line),
        "id <id> at <time> from <addr>, t12345 café"
    );
}
