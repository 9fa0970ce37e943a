//! Each layer runs once for each token and in order, even if stages fail in the middle of a stream.
#![allow(clippy::unwrap_used)]

use mustard_core::ids::Layers;
use mustard_tests::caller::{Draft, expected_text};
use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan};

const PROMPT: [u32; 4] = [3, 1, 4, 1];
const TOKENS: usize = 60;
const MIDDLE_LAYERS: Layers = Layers::new(4, 8);

fn start_cluster(replicas: usize) -> Cluster {
    let plan = Plan::new().entries(1).services(0).replicas(replicas);
    Cluster::start(&plan.engine_flags(&["--step-us", "3000"])).unwrap()
}

/// Streams a draft and injects `fault` into the busy middle stage after each token number in
/// `fault_tokens`.
fn stream_with_fault(
    cluster: &mut Cluster,
    fault_tokens: &[usize],
    fault: fn(&mut Cluster, usize),
) -> Draft {
    let caller = cluster.caller(0);
    caller
        .stream_with(MODEL, &PROMPT, TOKENS, |token| {
            if fault_tokens.contains(&token) {
                let stage = cluster
                    .busy_stage(MIDDLE_LAYERS)
                    .expect("no middle stage is busy");
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
    let mut cluster = start_cluster(2);
    let draft = stream_with_fault(&mut cluster, &[10], |c, i| c.stages[i].kill().unwrap());
    assert_correct(&cluster, &draft);
}

#[test]
fn stream_replacement_killed_too_continues() {
    let mut cluster = start_cluster(3);
    let draft = stream_with_fault(&mut cluster, &[10, 30], |c, i| c.stages[i].kill().unwrap());
    assert_correct(&cluster, &draft);
}

#[test]
fn stream_engine_killed_continues() {
    let mut cluster = start_cluster(2);
    let draft = stream_with_fault(&mut cluster, &[10], |c, i| {
        c.stages[i].server.kill().unwrap();
    });
    assert_correct(&cluster, &draft);
}

#[test]
fn stream_agent_frozen_continues() {
    let mut cluster = start_cluster(2);
    let draft = stream_with_fault(&mut cluster, &[10], |c, i| {
        c.stages[i].agent.freeze().unwrap();
    });
    assert_correct(&cluster, &draft);
    // The resumed agent still has its old attempt, which must not disturb a new draft.
    for stage in &cluster.stages {
        stage.agent.thaw().unwrap();
    }
    let draft = stream_with_fault(&mut cluster, &[], |_, _| {});
    assert_correct(&cluster, &draft);
}

#[test]
fn stream_engine_frozen_continues() {
    let mut cluster = start_cluster(2);
    let draft = stream_with_fault(&mut cluster, &[10], |c, i| {
        c.stages[i].server.freeze().unwrap();
    });
    assert_correct(&cluster, &draft);
}
