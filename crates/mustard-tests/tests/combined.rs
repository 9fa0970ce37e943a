//! Failures that come together.
#![allow(clippy::unwrap_used)]

use std::thread;
use std::time::Duration;

use mustard_core::ids::Layers;
use mustard_tests::caller::{Draft, expected_text};
use mustard_tests::http::{Answer, HttpRequest};
use mustard_tests::node::NodeRef;
use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan, Result, wait_for};
use serde_json::json;

const PROMPT: [u32; 3] = [2, 7, 1];
const KILLER: [u32; 2] = [1, 13];
const TOKENS: usize = 60;
const FIRST: Layers = Layers::new(0, 4);
const MIDDLE: Layers = Layers::new(4, 8);

fn assert_correct(cluster: &Cluster, draft: &Draft) {
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(cluster.layers(), &PROMPT, TOKENS));
}

/// Orders every stage of a range but `kept` to leave, through an entry.
fn drain_others(cluster: &Cluster, entry: usize, range: Layers, kept: usize) {
    let stages = cluster.stages.iter().enumerate();
    for (_, node) in stages.filter(|(i, n)| n.layers == range && *i != kept) {
        let answer = cluster.operator(entry).drain(node.vm(), true).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[test]
fn stage_killed_while_its_replacement_leaves() {
    let plan = Plan::new().entries(1).services(0).replicas(2);
    let mut cluster = Cluster::start(&plan.engine_flags(&["--step-us", "3000"])).unwrap();
    let caller = cluster.caller(0);
    let draft = caller.stream_with(MODEL, &PROMPT, TOKENS, |token| {
        if token == 10 {
            let busy = cluster.busy_stage(MIDDLE).expect("a middle stage is busy");
            drain_others(&cluster, 0, MIDDLE, busy);
            cluster.stages[busy].kill().unwrap();
            cluster.add_stage(MIDDLE).unwrap();
        }
    });
    assert_correct(&cluster, &draft.unwrap());
}

#[test]
fn killer_sent_through_other_entry_during_drain() {
    let plan = Plan::new().services(0).replicas(4);
    let flags = ["--poison", "13", "--step-us", "2000"];
    let mut cluster = Cluster::start(&plan.engine_flags(&flags)).unwrap();
    let outcome = |draft: Result<Draft>| {
        let draft = draft.unwrap();
        assert!(!draft.is_whole() && draft.chunks == 0, "{draft:?}");
        draft.outcome().map(ToOwned::to_owned)
    };
    outcome(cluster.caller(0).stream(MODEL, &KILLER, 5));
    let alive = cluster
        .stages
        .iter_mut()
        .position(|n| n.layers == FIRST && n.server.is_running());
    let leaving = cluster.stages[alive.unwrap()].vm().to_owned();
    cluster.operator(0).drain(&leaving, true).unwrap();
    outcome(cluster.caller(1).stream(MODEL, &KILLER, 5));
    let last = outcome(cluster.caller(1).stream(MODEL, &KILLER, 5));
    assert_eq!(last.as_deref(), Some("not_run"));
    let first = cluster.stages.iter_mut().filter(|n| n.layers == FIRST);
    let dead = first
        .filter_map(|n| (!n.server.is_running()).then_some(()))
        .count();
    assert_eq!(dead, 2);
    let draft = cluster.caller(1).stream(MODEL, &PROMPT, TOKENS).unwrap();
    assert_correct(&cluster, &draft);
}

fn book(cluster: &Cluster, entry: usize) -> Answer {
    let body = json!({"strip": "Moon"});
    let caller = cluster.caller(entry);
    caller.book("placements/pages/4", "key-1", &body).unwrap()
}

#[test]
fn bookings_while_table_falls_and_agents_restart() {
    let mut cluster = Cluster::start(&Plan::new().services(2)).unwrap();
    let table = |down: bool| {
        let fault = json!({"part": "table", "down": down}).to_string();
        HttpRequest::post(cluster.platform.addr(), "/control", fault)
            .send()
            .unwrap();
    };
    table(true);
    for entry in 0..2 {
        let answer = book(&cluster, entry);
        assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    }
    assert_eq!(cluster.bookings().unwrap().len(), 0);
    table(false);
    for service in 0..2 {
        cluster.restart_agent(NodeRef::Service(service)).unwrap();
    }
    // An entry that has not seen the agents' new lives yet refuses and says when to come back.
    let booked = |entry: usize| {
        let done = wait_for("the booking", || {
            thread::sleep(Duration::from_millis(100));
            Some(book(&cluster, entry)).filter(|a| a.status == 201)
        });
        done.unwrap().body
    };
    assert_eq!(booked(1), booked(0));
    assert_eq!(cluster.bookings().unwrap().len(), 1);
}
