//! Tests of the services in memory with injected faults.
#![allow(clippy::unwrap_used)]

use std::future::Future;

use mustard_fakes::memory::{MemTable, MemVms};
use mustard_platform::PlatformError;
use mustard_platform::table::{CommitOutcome, Table, Txn};
use mustard_platform::vms::{Vm, VmKind, VmList, VmState};

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    runtime.block_on(work)
}

#[test]
fn commit_conflict_changes_nothing() {
    let table = MemTable::new();
    let insert = |value: &str| Txn::default().check("a", 0).put("a", value).put("b", value);
    assert_eq!(
        block_on(table.commit(insert("1"))).unwrap(),
        CommitOutcome::Done
    );
    let CommitOutcome::Conflict(rows) = block_on(table.commit(insert("2"))).unwrap() else {
        panic!("a second insert has to fail");
    };
    assert_eq!(rows[0].value, "1");
    assert_eq!(table.stored_row("b").value, "1");
}

#[test]
fn commit_answer_lost_applies() {
    let table = MemTable::new();
    table.faults().lose_answers(1);
    let lost = block_on(table.commit(Txn::default().put("a", "1")));
    assert!(matches!(lost, Err(PlatformError::InDoubt { .. })));
    assert_eq!(table.stored_row("a").value, "1");
}

#[test]
fn commit_write_lost_or_down_applies_nothing() {
    let table = MemTable::new();
    table.faults().lose_writes(1);
    let lost = block_on(table.commit(Txn::default().put("a", "1")));
    assert!(matches!(lost, Err(PlatformError::InDoubt { .. })));
    table.faults().set_down(true);
    let down = block_on(table.commit(Txn::default().put("a", "1")));
    assert!(matches!(down, Err(PlatformError::Unavailable { .. })));
    assert_eq!(table.stored_row("a").version, 0);
    assert_eq!(table.faults().counts().writes, 2);
}

#[test]
fn scan_pages_in_key_order() {
    let table = MemTable::new();
    let inserts = Txn::default()
        .put("k/2", "")
        .put("k/1", "")
        .put("k/3", "")
        .put("l", "");
    assert_eq!(
        block_on(table.commit(inserts)).unwrap(),
        CommitOutcome::Done
    );
    table.faults().set_yields(2);
    let first = block_on(table.scan("k/", "", 2)).unwrap();
    assert!(first.more);
    let last = &first.rows[1].key;
    let rest = block_on(table.scan("k/", last, 2)).unwrap();
    assert_eq!((rest.rows[0].key.as_str(), rest.more), ("k/3", false));
}

#[test]
fn changes_lag_hides_newest() {
    let list = MemVms::new();
    let vm = |state| Vm {
        name: "vm-1".to_owned(),
        kind: VmKind::Agent,
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "a".to_owned(),
        state,
    };
    list.put(vm(VmState::Live));
    list.put(vm(VmState::Leaving));
    list.set_lag(1);
    let seen = block_on(list.changes(0)).unwrap();
    assert_eq!(seen.vms, [vm(VmState::Live)]);
    list.set_lag(0);
    let rest = block_on(list.changes(seen.version)).unwrap();
    assert_eq!(rest.vms, [vm(VmState::Leaving)]);
}
