//! Drafts and bookings pass through the entry, the agents and the backend servers.
#![allow(clippy::unwrap_used)]

use mustard_tests::caller::expected_text;
use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan};
use serde_json::json;

const PROMPT: [u32; 5] = [11, 7, 31_999, 0, 5];
const TOKENS: usize = 24;

#[test]
fn draft_streamed_and_unstreamed_match_reference() {
    let cluster = Cluster::start(&Plan::new()).unwrap();
    let expected = expected_text(cluster.layers(), &PROMPT, TOKENS);
    for entry in 0..2 {
        let draft = cluster
            .caller(entry)
            .stream(MODEL, &PROMPT, TOKENS)
            .unwrap();
        assert!(draft.is_whole(), "{draft:?}");
        assert_eq!(draft.text, expected);
        let whole = cluster
            .caller(entry)
            .complete(MODEL, &PROMPT, TOKENS)
            .unwrap();
        let body: serde_json::Value = whole.json().unwrap();
        assert_eq!(body["choices"][0]["text"], expected);
        assert_eq!(body["usage"]["completion_tokens"], TOKENS);
    }
    for stage in 0..cluster.stages.len() {
        assert_eq!(cluster.engine_ledger(stage).unwrap().refused, 0);
    }
}

#[test]
fn booking_repeated_through_other_entry_runs_once() {
    let cluster = Cluster::start(&Plan::new().services(2)).unwrap();
    let body = json!({"strip": "Moon", "page": 4});
    let book = |entry: usize| {
        cluster
            .caller(entry)
            .book("placements/pages/4", "key-1", &body)
            .unwrap()
    };
    let (first, second) = (book(0), book(1));
    assert_eq!(
        (first.status, second.status),
        (201, 201),
        "{first:?} {second:?}"
    );
    assert_eq!(first.body, second.body);
    assert_eq!(cluster.bookings().unwrap().len(), 1);
    let conflicting = cluster
        .caller(1)
        .book("placements/pages/4", "key-1", &json!({}))
        .unwrap();
    assert_eq!(
        conflicting.outcome().as_deref(),
        Some("not_run"),
        "{conflicting:?}"
    );
    assert_eq!(cluster.bookings().unwrap().len(), 1);
    let status = cluster.caller(0).read("placements/pages/4").unwrap();
    assert_eq!(status.json::<serde_json::Value>().unwrap()["booked"], 1);
}
