//! A caller's whole session over the real programs equals its golden file.
#![allow(clippy::unwrap_used)]

use mustard_tests::golden::{Session, mask_volatile};
use mustard_tests::http::HttpRequest;
use mustard_tests::plan::{CUSTOMER_KEY, MODEL};
use mustard_tests::{Cluster, Plan};
use serde_json::{Value, json};

struct Caller<'a> {
    cluster: &'a Cluster,
    session: Session,
}

impl Caller<'_> {
    fn post(&mut self, title: &str, path: &str, body: &Value) {
        let ask = self.ask(path, &body.to_string());
        self.session.exchange(title, &ask).unwrap();
    }

    fn ask(&self, path: &str, body: &str) -> HttpRequest {
        HttpRequest::post(self.cluster.entries[0].addr(), path, body).bearer(CUSTOMER_KEY)
    }

    fn exchange(&mut self, title: &str, ask: &HttpRequest) {
        self.session.exchange(title, ask).unwrap();
    }
}

#[test]
fn session_of_a_caller() {
    let cluster = Cluster::start(&Plan::new().entries(1)).unwrap();
    let mut caller = Caller {
        cluster: &cluster,
        session: Session::new(),
    };
    drafts(&mut caller);
    bookings(&mut caller);
    refusals(&mut caller);
    caller.session.assert_matches("caller_session.txt").unwrap();
}

fn drafts(caller: &mut Caller<'_>) {
    let path = "/v1/completions";
    let prompt = "A caption for the moon strip";
    let whole = json!({"model": MODEL, "prompt": prompt, "max_tokens": 4});
    caller.post("a whole draft", path, &whole);
    let streamed = json!({"model": MODEL, "prompt": [3, 1, 4], "max_tokens": 3, "stream": true});
    caller.post("a streamed draft", path, &streamed);
}

fn bookings(caller: &mut Caller<'_>) {
    let path = "/v1/services/placements/pages/4";
    let body = json!({"strip": "Moon", "page": 4}).to_string();
    let book = caller.ask(path, &body).header("idempotency-key", "page-4");
    caller.exchange("a booking", &book);
    caller.exchange("the same booking again", &book);
    let other = caller.ask(path, "{}").header("idempotency-key", "page-4");
    caller.exchange("the same key with another body", &other);
    let read = HttpRequest::get(caller.cluster.entries[0].addr(), path).bearer(CUSTOMER_KEY);
    caller.exchange("a status read", &read);
    let bare = caller.ask(path, &body);
    caller.exchange("a booking without a key", &bare);
}

fn refusals(caller: &mut Caller<'_>) {
    let path = "/v1/completions";
    let entry = caller.cluster.entries[0].addr();
    let draft = json!({"model": MODEL, "prompt": "x", "max_tokens": 2}).to_string();
    caller.exchange(
        "no bearer key",
        &HttpRequest::post(entry, path, draft.as_str()),
    );
    let foreign = HttpRequest::post(entry, path, draft.as_str()).bearer("foreign");
    caller.exchange("a foreign bearer key", &foreign);
    caller.exchange("malformed JSON", &caller.ask(path, "{\"model\":"));
    caller.post(
        "a wrong type",
        path,
        &json!({"model": MODEL, "prompt": 7, "max_tokens": 2}),
    );
    caller.post(
        "an unknown model",
        path,
        &json!({"model": "nothing", "prompt": "x"}),
    );
    let many = json!({"model": MODEL, "prompt": "x", "max_tokens": 1_000_000});
    caller.post("more tokens than the entry allows", path, &many);
    let late = json!({"model": MODEL, "prompt": "x", "max_tokens": 2, "deadline_ms": 0});
    caller.post("a deadline already past", path, &late);
    caller.exchange("an unknown path", &caller.ask("/v1/nothing", "{}"));
}

#[test]
fn mask_ids_times_and_addresses() {
    let id = "0123456789abcdef0123456789abcdef";
    let line = format!("id {id} at 1700000000000 from 127.0.0.1:4711, t12345 café");
    assert_eq!(
        mask_volatile(&line),
        "id <id> at <time> from <addr>, t12345 café"
    );
}
