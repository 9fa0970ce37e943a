//! A draft whose only stage for some layers dies continues once a new stage for them joins.
#![allow(clippy::unwrap_used)]

use mustard_tests::caller::expected_text;
use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan};

const TOKENS: usize = 60;

#[test]
fn stream_only_stage_killed_waits_for_replacement() {
    let plan = Plan::new()
        .entries(1)
        .services(0)
        .engine_flags(&["--step-us", "3000"]);
    let mut cluster = Cluster::start(&plan).unwrap();
    let caller = cluster.caller(0);
    let draft = caller
        .stream_with(MODEL, &[2, 7], TOKENS, |token| {
            if token == 10 {
                let mut node = cluster.stages.remove(1);
                node.kill().unwrap();
                cluster.list_vm_gone(&node).unwrap();
                cluster.add_stage(node.layers).unwrap();
            }
        })
        .unwrap();
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(cluster.layers(), &[2, 7], TOKENS));
}
