//! A booking runs at most once and an accepted booking isn't lost when agents, entries, the
//! platform's table or answers fail while it runs.
#![allow(clippy::unwrap_used)]

use std::thread;
use std::time::Duration;

use mustard_core::collections::Set;
use mustard_fakes::fault::FaultCommand;
use mustard_tests::cluster::send_fault_command;
use mustard_tests::http::{Answer, HttpRequest};
use mustard_tests::node::NodeRef;
use mustard_tests::{Cluster, Plan, Result, wait_for};
use serde_json::{Value, json};

const MAX_CALL_TIME: Duration = Duration::from_secs(2);
const BOOKING_PATH: &str = "placements/pages/4";

fn start_cluster(plan: Plan) -> Cluster {
    Cluster::start(&plan.replicas(0).services(2)).unwrap()
}

fn book(cluster: &Cluster, entry: usize, key: &str) -> Result<Answer> {
    cluster
        .caller(entry)
        .book(BOOKING_PATH, key, &json!({"key": key}))
}

/// Repeats a booking through alternating entries until it succeeds or its outcome is unknown.
fn retry_until_final(cluster: &Cluster, key: &str) -> Answer {
    let mut entry = 0;
    wait_for("the booking has a final answer", || {
        entry = 1 - entry;
        let answer = book(cluster, entry, key).ok()?;
        let done = answer.is_done();
        let unknown = answer.outcome().as_deref() == Some("unknown");
        (done || unknown).then_some(answer)
    })
    .unwrap()
}

fn count_bookings(cluster: &Cluster, key: &str) -> usize {
    let wanted = json!({"key": key});
    let body = |text: &str| serde_json::from_str::<Value>(text).ok();
    let bookings = cluster.bookings().unwrap();
    bookings
        .iter()
        .filter(|b| body(&b.body).as_ref() == Some(&wanted))
        .count()
}

/// Checks that an answer agrees with the bookings that the services recorded.
fn assert_matches_bookings(cluster: &Cluster, key: &str, answer: &Answer) {
    let booked = count_bookings(cluster, key);
    assert!(booked <= 1, "{key} was booked {booked} times");
    match answer.outcome().as_deref() {
        None => assert_eq!(booked, 1, "{key}: {answer:?}"),
        Some("not_run") => assert_eq!(booked, 0, "{key}: {answer:?}"),
        Some(_) => {}
    }
}

fn set_platform_fault(cluster: &Cluster, fault: &FaultCommand) {
    send_fault_command(&cluster.platform, fault).unwrap();
}

fn table_fault() -> FaultCommand {
    FaultCommand {
        part: Some("table".to_owned()),
        ..FaultCommand::default()
    }
}

#[test]
fn book_concurrently_through_both_entries_runs_once() {
    let cluster = start_cluster(Plan::new().service_flags(&["--call-ms", "30"]));
    for round in 0..5 {
        let key = format!("key-{round}");
        let answers: Vec<Answer> = thread::scope(|scope| {
            let send = |i: usize| {
                let (cluster, key) = (&cluster, &key);
                scope.spawn(move || book(cluster, i % 2, key).unwrap())
            };
            let senders: Vec<_> = (0..8).map(send).collect();
            senders.into_iter().map(|s| s.join().unwrap()).collect()
        });
        assert_eq!(count_bookings(&cluster, &key), 1, "{answers:?}");
        let bodies: Set<&String> = answers
            .iter()
            .filter(|a| a.status == 201)
            .map(|a| &a.body)
            .collect();
        assert_eq!(bodies.len(), 1, "{answers:?}");
        assert!(retry_until_final(&cluster, &key).is_done());
    }
}

/// Injects a fault once a booking is claimed, then repeats the booking until its answer is final.
fn book_during_fault(cluster: &mut Cluster, fault: impl FnOnce(&mut Cluster)) {
    book_until_recovery(cluster, fault, |_| {});
    let final_answer = retry_until_final(cluster, "key-1");
    assert_matches_bookings(cluster, "key-1", &final_answer);
}

/// Injects a fault once a booking is claimed, and calls `recover` after the call has returned.
fn book_until_recovery(
    cluster: &mut Cluster,
    fault: impl FnOnce(&mut Cluster),
    recover: impl FnOnce(&mut Cluster),
) {
    let caller = cluster.caller(0);
    let first = thread::spawn(move || caller.book(BOOKING_PATH, "key-1", &json!({"key": "key-1"})));
    wait_for("the booking is claimed", || {
        let rows: Vec<Value> = mustard_tests::cluster::read_ledger(cluster.platform.addr()).ok()?;
        let is_claim = |row: &Value| row["key"].as_str().is_some_and(|k| k.starts_with("claim/"));
        rows.iter().any(is_claim).then_some(())
    })
    .unwrap();
    fault(cluster);
    if let Ok(answer) = first.join().unwrap() {
        // By then the service has finished a call that reached it.
        thread::sleep(MAX_CALL_TIME);
        assert_matches_bookings(cluster, "key-1", &answer);
    }
    recover(cluster);
}

#[test]
fn book_agents_killed_in_call_runs_at_most_once() {
    let mut cluster = start_cluster(Plan::new().service_flags(&["--call-ms", "1500"]));
    book_during_fault(&mut cluster, |c| {
        for i in 0..2 {
            c.services[i].agent.kill().unwrap();
        }
        for i in 0..2 {
            c.restart_agent(NodeRef::Service(i)).unwrap();
        }
    });
}

#[test]
fn book_agents_killed_for_good_answer_is_true() {
    let mut cluster = start_cluster(Plan::new().service_flags(&["--call-ms", "1500"]));
    let is_running = |c: &Cluster, i: usize| {
        let request = HttpRequest::get(c.services[i].server.addr(), "/running");
        request.send().is_ok_and(|a| a.body != "0")
    };
    let kill_agents = |c: &mut Cluster| {
        let any_running = || (0..2).any(|i| is_running(c, i)).then_some(());
        wait_for("a service runs the booking", any_running).unwrap();
        (0..2).for_each(|i| c.services[i].agent.kill().unwrap());
    };
    book_until_recovery(&mut cluster, kill_agents, |c| {
        (0..2).for_each(|i| c.restart_agent(NodeRef::Service(i)).unwrap());
    });
    let final_answer = retry_until_final(&cluster, "key-1");
    assert_matches_bookings(&cluster, "key-1", &final_answer);
    assert_eq!(count_bookings(&cluster, "key-1"), 1);
}

#[test]
fn book_entry_killed_in_call_keeps_booking() {
    let mut cluster = start_cluster(Plan::new().service_flags(&["--call-ms", "1000"]));
    book_during_fault(&mut cluster, |c| c.restart_entry(0).unwrap());
    // The agent that holds the claim still runs, so the answer becomes known.
    wait_for("the booking succeeds", || {
        let answer = book(&cluster, 1, "key-1").ok()?;
        answer.is_done().then_some(())
    })
    .unwrap();
    assert_eq!(count_bookings(&cluster, "key-1"), 1);
}

#[test]
fn book_agents_frozen_in_call_runs_at_most_once() {
    let mut cluster = start_cluster(Plan::new().service_flags(&["--call-ms", "1000"]));
    book_during_fault(&mut cluster, |c| {
        for i in 0..2 {
            c.services[i].agent.freeze().unwrap();
        }
        thread::sleep(Duration::from_secs(3));
        for i in 0..2 {
            c.services[i].agent.thaw().unwrap();
        }
    });
}

#[test]
fn book_table_answer_lost_runs_once() {
    let cluster = start_cluster(Plan::new());
    for (i, lost) in [1, 2, 3].into_iter().enumerate() {
        let key = format!("key-{i}");
        set_platform_fault(
            &cluster,
            &FaultCommand {
                lose_answers: Some(lost),
                ..table_fault()
            },
        );
        let answer = book(&cluster, 0, &key).unwrap();
        assert_matches_bookings(&cluster, &key, &answer);
        set_platform_fault(
            &cluster,
            &FaultCommand {
                lose_answers: Some(0),
                ..table_fault()
            },
        );
        let final_answer = retry_until_final(&cluster, &key);
        assert_matches_bookings(&cluster, &key, &final_answer);
    }
}

#[test]
fn book_service_answer_lost_runs_at_most_once() {
    let cluster = start_cluster(Plan::new());
    for service in &cluster.services {
        let fault = FaultCommand {
            lose_answers: Some(1),
            ..FaultCommand::default()
        };
        send_fault_command(&service.server, &fault).unwrap();
    }
    let answer = book(&cluster, 0, "key-1").unwrap();
    assert_matches_bookings(&cluster, "key-1", &answer);
    let final_answer = retry_until_final(&cluster, "key-1");
    assert_matches_bookings(&cluster, "key-1", &final_answer);
    assert_eq!(count_bookings(&cluster, "key-1"), 1);
}

#[test]
fn book_table_down_not_run_then_runs_once() {
    let cluster = start_cluster(Plan::new());
    set_platform_fault(
        &cluster,
        &FaultCommand {
            down: Some(true),
            ..table_fault()
        },
    );
    let refused = book(&cluster, 0, "key-1").unwrap();
    assert_eq!(refused.outcome().as_deref(), Some("not_run"), "{refused:?}");
    assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    assert_eq!(count_bookings(&cluster, "key-1"), 0);
    set_platform_fault(
        &cluster,
        &FaultCommand {
            down: Some(false),
            ..table_fault()
        },
    );
    assert!(retry_until_final(&cluster, "key-1").is_done());
    assert_eq!(count_bookings(&cluster, "key-1"), 1);
}

#[test]
fn book_table_down_with_agent_killed_runs_at_most_once() {
    let mut cluster = start_cluster(Plan::new().service_flags(&["--call-ms", "1500"]));
    book_during_fault(&mut cluster, |c| {
        set_platform_fault(
            c,
            &FaultCommand {
                down: Some(true),
                ..table_fault()
            },
        );
        for i in 0..2 {
            c.services[i].agent.kill().unwrap();
        }
        for i in 0..2 {
            c.restart_agent(NodeRef::Service(i)).unwrap();
        }
        let refused = book(c, 1, "key-1").unwrap();
        assert_ne!(refused.status, 201, "{refused:?}");
        set_platform_fault(
            c,
            &FaultCommand {
                down: Some(false),
                ..table_fault()
            },
        );
    });
}
