//! Each layer runs once for each token and in order, though stages fail in mid-stream.
#![allow(clippy::unwrap_used)]

use mustard_core::ids::Layers;
use mustard_tests::caller::{Draft, expected_text};
use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan};

const PROMPT: [u32; 4] = [3, 1, 4, 1];
const TOKENS: usize = 60;
const MIDDLE: Layers = Layers::new(4, 8);

fn cluster(replicas: usize) -> Cluster {
    let plan = Plan::new().entries(1).services(0).replicas(replicas);
    Cluster::start(&plan.engine_flags(&["--step-us", "3000"])).unwrap()
}

/// Streams a draft and runs `fault` on the busy middle stage after each token of `at`.
fn stream(cluster: &mut Cluster, at: &[usize], fault: fn(&mut Cluster, usize)) -> Draft {
    let caller = cluster.caller(0);
    caller
        .stream_with(MODEL, &PROMPT, TOKENS, |token| {
            if at.contains(&token) {
                let stage = cluster.busy_stage(MIDDLE).expect("a middle stage is busy");
                fault(cluster, stage);
            }
        })
        .unwrap()
}

fn assert_correct(cluster: &Cluster, draft: &Draft) {
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(cluster.layers(), &PROMPT, TOKENS));
}

#[test]
fn stream_vm_killed_continues() {
    let mut cluster = cluster(2);
    let draft = stream(&mut cluster, &[10], |c, i| c.stages[i].kill().unwrap());
    assert_correct(&cluster, &draft);
}

#[test]
fn stream_replacement_killed_too_continues() {
    let mut cluster = cluster(3);
    let draft = stream(&mut cluster, &[10, 30], |c, i| c.stages[i].kill().unwrap());
    assert_correct(&cluster, &draft);
}

#[test]
fn stream_engine_killed_continues() {
    let mut cluster = cluster(2);
    let draft = stream(&mut cluster, &[10], |c, i| {
        c.stages[i].server.kill().unwrap();
    });
    assert_correct(&cluster, &draft);
}

#[test]
fn stream_agent_frozen_continues() {
    let mut cluster = cluster(2);
    let draft = stream(&mut cluster, &[10], |c, i| {
        c.stages[i].agent.freeze().unwrap();
    });
    assert_correct(&cluster, &draft);
    // The late stage wakes up with its old attempt and must not disturb a new draft.
    for stage in &cluster.stages {
        stage.agent.thaw().unwrap();
    }
    let draft = stream(&mut cluster, &[], |_, _| {});
    assert_correct(&cluster, &draft);
}

#[test]
fn stream_engine_frozen_continues() {
    let mut cluster = cluster(2);
    let draft = stream(&mut cluster, &[10], |c, i| {
        c.stages[i].server.freeze().unwrap();
    });
    assert_correct(&cluster, &draft);
}
