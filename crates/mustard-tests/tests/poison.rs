//! A poison request (one that crashes the servers which run it) is refused after it has crashed
//! some, while other requests go on.
#![allow(clippy::unwrap_used)]

use std::thread;

use mustard_tests::caller::expected_text;
use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan, wait_for};

const POISON_PROMPT: [u32; 2] = [1, 13];
const REPLICAS: usize = 5;
const TOKENS: usize = 80;

fn start_cluster() -> Cluster {
    let plan = Plan::new().services(0).replicas(REPLICAS);
    Cluster::start(&plan.engine_flags(&["--poison", "13", "--step-us", "2000"])).unwrap()
}

fn count_dead_engines(cluster: &mut Cluster) -> usize {
    let first_stages = cluster.stages.iter_mut().filter(|n| n.layers.first == 0);
    first_stages
        .filter_map(|n| (!n.server.is_running()).then_some(()))
        .count()
}

/// Sends the poison request repeatedly through both entries and returns the last outcome.
fn send_poison_request(cluster: &Cluster) -> Option<String> {
    let mut outcome = None;
    for entry in [0, 1, 1, 0, 1] {
        let draft = cluster
            .caller(entry)
            .stream(MODEL, &POISON_PROMPT, 5)
            .unwrap();
        assert!(!draft.is_whole());
        assert_eq!(draft.chunks, 0);
        outcome = draft.outcome().map(ToOwned::to_owned);
    }
    outcome
}

#[test]
fn killer_alone_is_refused_after_second_server() {
    let mut cluster = start_cluster();
    assert_eq!(send_poison_request(&cluster).as_deref(), Some("not_run"));
    assert_eq!(count_dead_engines(&mut cluster), 2);
}

#[test]
fn poison_among_other_requests_is_refused_and_they_complete() {
    let mut cluster = start_cluster();
    let streams: Vec<_> = (0..4)
        .map(|i| {
            let caller = cluster.caller(i % 2);
            thread::spawn(move || (i, caller.stream(MODEL, &[100 + i as u32], TOKENS).unwrap()))
        })
        .collect();
    assert_eq!(send_poison_request(&cluster).as_deref(), Some("not_run"));
    assert!(count_dead_engines(&mut cluster) < REPLICAS);
    for stream in streams {
        let (i, draft) = stream.join().unwrap();
        let prompt = [100 + i as u32];
        assert!(draft.is_whole(), "{draft:?}");
        assert_eq!(draft.text, expected_text(cluster.layers(), &prompt, TOKENS));
        let again = cluster.caller(1).stream(MODEL, &prompt, 3).unwrap();
        assert!(
            again.is_whole(),
            "a harmless request was refused: {again:?}"
        );
    }
}

#[test]
fn poison_is_refused_by_entry_that_joins_later() {
    let mut cluster = start_cluster();
    assert_eq!(send_poison_request(&cluster).as_deref(), Some("not_run"));
    let new_entry = cluster.add_entry().unwrap();
    let outcome = wait_for("the new entry serves models", || {
        let draft = cluster
            .caller(new_entry)
            .stream(MODEL, &POISON_PROMPT, 5)
            .ok()?;
        let outcome = draft.outcome()?.to_owned();
        (outcome != "unavailable").then_some(outcome)
    });
    assert_eq!(outcome.unwrap(), "not_run");
    assert_eq!(count_dead_engines(&mut cluster), 2);
}
