//! Failures that coincide with drains, restarts or other failures.
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
const POISON_PROMPT: [u32; 2] = [1, 13];
const TOKENS: usize = 60;
const FIRST_LAYERS: Layers = Layers::new(0, 4);
const MIDDLE_LAYERS: Layers = Layers::new(4, 8);

fn assert_correct(cluster: &Cluster, draft: &Draft) {
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(cluster.layers(), &PROMPT, TOKENS));
}

/// Drains every stage of a layer range but `kept`, through the given entry.
fn drain_others(cluster: &Cluster, entry: usize, range: Layers, kept: usize) {
    let stages = cluster.stages.iter().enumerate();
    for (_, node) in stages.filter(|(i, n)| n.layers == range && *i != kept) {
        let answer = cluster.operator(entry).drain(node.vm(), true).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[test]
fn stream_stage_killed_while_others_drain_continues() {
    let plan = Plan::new().entries(1).services(0).replicas(2);
    let mut cluster = Cluster::start(&plan.engine_flags(&["--step-us", "3000"])).unwrap();
    let caller = cluster.caller(0);
    let draft = caller.stream_with(MODEL, &PROMPT, TOKENS, |token| {
        if token == 10 {
            let busy = cluster
                .busy_stage(MIDDLE_LAYERS)
                .expect("no middle stage is busy");
            drain_others(&cluster, 0, MIDDLE_LAYERS, busy);
            cluster.stages[busy].kill().unwrap();
            cluster.add_stage(MIDDLE_LAYERS).unwrap();
        }
    });
    assert_correct(&cluster, &draft.unwrap());
}

#[test]
fn poison_sent_through_other_entry_during_drain() {
    let plan = Plan::new().services(0).replicas(4);
    let flags = ["--poison", "13", "--step-us", "2000"];
    let mut cluster = Cluster::start(&plan.engine_flags(&flags)).unwrap();
    let failed_outcome = |draft: Result<Draft>| {
        let draft = draft.unwrap();
        assert!(!draft.is_whole() && draft.chunks == 0, "{draft:?}");
        draft.outcome().map(ToOwned::to_owned)
    };
    failed_outcome(cluster.caller(0).stream(MODEL, &POISON_PROMPT, 5));
    let running = cluster
        .stages
        .iter_mut()
        .position(|n| n.layers == FIRST_LAYERS && n.server.is_running());
    let draining = cluster.stages[running.unwrap()].vm().to_owned();
    cluster.operator(0).drain(&draining, true).unwrap();
    failed_outcome(cluster.caller(1).stream(MODEL, &POISON_PROMPT, 5));
    let last_outcome = failed_outcome(cluster.caller(1).stream(MODEL, &POISON_PROMPT, 5));
    assert_eq!(last_outcome.as_deref(), Some("not_run"));
    let first_stages = cluster
        .stages
        .iter_mut()
        .filter(|n| n.layers == FIRST_LAYERS);
    let dead = first_stages
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
fn book_table_down_then_agents_restarted_runs_once() {
    let mut cluster = Cluster::start(&Plan::new().services(2)).unwrap();
    let set_table_down = |down: bool| {
        let fault = json!({"part": "table", "down": down}).to_string();
        HttpRequest::post(cluster.platform.addr(), "/control", fault)
            .send()
            .unwrap();
    };
    set_table_down(true);
    for entry in 0..2 {
        let answer = book(&cluster, entry);
        assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{answer:?}");
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    }
    assert_eq!(cluster.bookings().unwrap().len(), 0);
    set_table_down(false);
    for service in 0..2 {
        cluster.restart_agent(NodeRef::Service(service)).unwrap();
    }
    // An entry that doesn't know of the agents' restart yet refuses and asks for a later retry.
    let book_until_done = |entry: usize| {
        let answer = wait_for("the booking is done", || {
            thread::sleep(Duration::from_millis(100));
            Some(book(&cluster, entry)).filter(|a| a.status == 201)
        });
        answer.unwrap().body
    };
    assert_eq!(book_until_done(1), book_until_done(0));
    assert_eq!(cluster.bookings().unwrap().len(), 1);
}
