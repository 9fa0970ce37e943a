//! An accepted catalogue change comes into force at every entry process and is never lost.
#![allow(clippy::unwrap_used)]

use std::thread;

use mustard_core::catalogue::{Change, Op};
use mustard_core::ids::{RequestId, Revision};
use mustard_fakes::fault::FaultCommand;
use mustard_tests::cluster::send_fault_command;
use mustard_tests::operator::{AcceptedChange, NewChange};
use mustard_tests::plan::{MODEL, SERVICE};
use mustard_tests::{Cluster, Plan, wait_for};
use serde_json::Value;

fn start_cluster() -> Cluster {
    Cluster::start(&Plan::new().entries(3)).unwrap()
}

fn set_table_fault(cluster: &Cluster, fault: &FaultCommand) {
    let part = Some("table".to_owned());
    send_fault_command(
        &cluster.platform,
        &FaultCommand {
            part,
            ..fault.clone()
        },
    )
    .unwrap();
}

fn table_outage(is_down: bool) -> FaultCommand {
    FaultCommand {
        down: Some(is_down),
        ..FaultCommand::default()
    }
}

fn wait_in_force(cluster: &Cluster, entry: usize, change: AcceptedChange) {
    wait_for("the change is in force", || {
        let snapshot = cluster.operator(entry).catalogue().ok()?;
        (snapshot.seq >= change.seq).then_some(())
    })
    .unwrap();
}

/// Returns whether an entry process refuses the retired model and still serves the plain service.
fn enforces_retirement(cluster: &Cluster, entry: usize) -> bool {
    let caller = cluster.caller(entry);
    let draft = caller.stream(MODEL, &[1], 1).unwrap();
    let read = caller.read(&format!("{SERVICE}/warm")).unwrap();
    draft.outcome() == Some("not_run") && read.status == 200
}

#[test]
fn retire_in_force_at_restarted_entry_while_table_is_down() {
    let mut cluster = start_cluster();
    let change = cluster.operator(0).retire(MODEL, 1).unwrap();
    for entry in 0..3 {
        wait_in_force(&cluster, entry, change);
        assert!(enforces_retirement(&cluster, entry));
    }
    set_table_fault(&cluster, &table_outage(true));
    cluster.restart_entry(1).unwrap();
    wait_for("the restarted entry refuses the retired model", || {
        enforces_retirement(&cluster, 1).then_some(())
    })
    .unwrap();
    assert!(cluster.operator(1).catalogue().unwrap().seq >= change.seq);
    set_table_fault(&cluster, &table_outage(false));
    for entry in 0..3 {
        wait_in_force(&cluster, entry, change);
        assert!(enforces_retirement(&cluster, entry));
    }
}

fn burst_change(cluster: &Cluster, burst: u32) -> NewChange {
    let mut entry = cluster.service_entry();
    entry.limits.burst = burst;
    NewChange {
        id: RequestId::random().to_string(),
        expected: Revision(1),
        op: Op::Put(entry),
    }
}

fn history(cluster: &Cluster, entry: usize) -> Vec<Change> {
    let path = format!("/admin/catalogue/{SERVICE}/history");
    cluster.operator(entry).get(&path).unwrap().json().unwrap()
}

#[test]
fn put_racing_operators_one_wins() {
    let cluster = start_cluster();
    let changes: Vec<NewChange> = (0..3).map(|i| burst_change(&cluster, 500 + i)).collect();
    let answers: Vec<_> = thread::scope(|scope| {
        let send = |(i, change)| {
            let operator = cluster.operator(i);
            scope.spawn(move || operator.send_change(change).unwrap())
        };
        let senders: Vec<_> = changes.iter().enumerate().map(send).collect();
        senders.into_iter().map(|s| s.join().unwrap()).collect()
    });
    let won: Vec<usize> = (0..3).filter(|i| answers[*i].status == 200).collect();
    let [winner] = won[..] else {
        panic!("exactly one change must be accepted: {answers:?}");
    };
    for (i, answer) in answers.iter().enumerate().filter(|(i, _)| *i != winner) {
        assert_eq!(answer.status, 409, "{i}: {answer:?}");
        let problem: Value = answer.json().unwrap();
        let burst = &problem["current"]["entry"]["limits"]["burst"];
        assert_eq!(burst.as_u64(), Some(500 + winner as u64), "{answer:?}");
    }
    assert_eq!(history(&cluster, 0).len(), 2);
}

#[test]
fn put_answer_lost_in_outage_repeated_applies_once() {
    let cluster = start_cluster();
    let (change, competing) = (burst_change(&cluster, 700), burst_change(&cluster, 701));
    set_table_fault(
        &cluster,
        &FaultCommand {
            lose_answers: Some(1),
            ..FaultCommand::default()
        },
    );
    let _ = cluster.operator(0).send_change(&change).unwrap();
    set_table_fault(&cluster, &table_outage(true));
    let refused = cluster.operator(1).send_change(&change).unwrap();
    assert_ne!(refused.outcome().as_deref(), Some("not_run"), "{refused:?}");
    set_table_fault(&cluster, &table_outage(false));
    let accepted: AcceptedChange = cluster
        .operator(2)
        .send_change(&change)
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(accepted.revision, Revision(2));
    assert_eq!(
        cluster.operator(1).send_change(&competing).unwrap().status,
        409
    );
    for entry in 0..3 {
        wait_in_force(&cluster, entry, accepted);
        let snapshot = cluster.operator(entry).catalogue().unwrap();
        let version = &snapshot.entries[SERVICE];
        assert_eq!(version.entry.as_ref().unwrap().limits.burst, 700);
    }
    assert_eq!(history(&cluster, 0).len(), 2);
}
