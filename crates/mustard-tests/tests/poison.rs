//! A request that kills its servers is stopped; others go on.
#![allow(clippy::unwrap_used)]

use std::thread;

use mustard_tests::caller::expected_text;
use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan, wait_for};

const KILLER: [u32; 2] = [1, 13];
const REPLICAS: usize = 5;
const TOKENS: usize = 80;

fn cluster() -> Cluster {
    let plan = Plan::new().services(0).replicas(REPLICAS);
    Cluster::start(&plan.engine_flags(&["--poison", "13", "--step-us", "2000"])).unwrap()
}

fn engines_dead(cluster: &mut Cluster) -> usize {
    let first = cluster.stages.iter_mut().filter(|n| n.layers.first == 0);
    first
        .filter_map(|n| (!n.server.is_running()).then_some(()))
        .count()
}

/// Sends the killing request through both entries again and again; the last answer is returned.
fn send_killer(cluster: &Cluster) -> Option<String> {
    let mut outcome = None;
    for entry in [0, 1, 1, 0, 1] {
        let draft = cluster.caller(entry).stream(MODEL, &KILLER, 5).unwrap();
        assert!(!draft.is_whole());
        assert_eq!(draft.chunks, 0);
        outcome = draft.outcome().map(ToOwned::to_owned);
    }
    outcome
}

#[test]
fn killer_alone_is_refused_after_second_server() {
    let mut cluster = cluster();
    assert_eq!(send_killer(&cluster).as_deref(), Some("not_run"));
    assert_eq!(engines_dead(&mut cluster), 2);
}

#[test]
fn killer_among_innocents_is_refused_and_they_go_on() {
    let mut cluster = cluster();
    let innocents: Vec<_> = (0..4)
        .map(|i| {
            let caller = cluster.caller(i % 2);
            thread::spawn(move || (i, caller.stream(MODEL, &[100 + i as u32], TOKENS).unwrap()))
        })
        .collect();
    assert_eq!(send_killer(&cluster).as_deref(), Some("not_run"));
    assert!(engines_dead(&mut cluster) < REPLICAS);
    for innocent in innocents {
        let (i, draft) = innocent.join().unwrap();
        let prompt = [100 + i as u32];
        assert!(draft.is_whole(), "{draft:?}");
        assert_eq!(draft.text, expected_text(cluster.layers(), &prompt, TOKENS));
        let again = cluster.caller(1).stream(MODEL, &prompt, 3).unwrap();
        assert!(
            again.is_whole(),
            "an innocent request is refused: {again:?}"
        );
    }
}

#[test]
fn killer_is_refused_by_entry_that_joins_later() {
    let mut cluster = cluster();
    assert_eq!(send_killer(&cluster).as_deref(), Some("not_run"));
    let joined = cluster.add_entry().unwrap();
    let answer = wait_for("an answer of the new entry", || {
        let draft = cluster.caller(joined).stream(MODEL, &KILLER, 5).ok()?;
        let outcome = draft.outcome()?.to_owned();
        (outcome != "unavailable").then_some(outcome)
    });
    assert_eq!(answer.unwrap(), "not_run");
    assert_eq!(engines_dead(&mut cluster), 2);
}
