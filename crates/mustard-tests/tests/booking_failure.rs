//! A booking runs at most once and an accepted one is not lost, whatever fails around it.
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

const LONGEST_CALL: Duration = Duration::from_secs(2);
const PATH: &str = "placements/pages/4";

fn cluster(plan: Plan) -> Cluster {
    Cluster::start(&plan.replicas(0).services(2)).unwrap()
}

fn book(cluster: &Cluster, entry: usize, key: &str) -> Result<Answer> {
    cluster.caller(entry).book(PATH, key, &json!({"key": key}))
}

/// Sends a booking again, through one entry and the other, until its answer is final.
fn settle(cluster: &Cluster, key: &str) -> Answer {
    let mut entry = 0;
    wait_for("a final answer to a booking", || {
        entry = 1 - entry;
        let answer = book(cluster, entry, key).ok()?;
        let done = answer.is_done();
        let unknown = answer.outcome().as_deref() == Some("unknown");
        (done || unknown).then_some(answer)
    })
    .unwrap()
}

fn bookings_of(cluster: &Cluster, key: &str) -> usize {
    let wanted = json!({"key": key});
    let body = |text: &str| serde_json::from_str::<Value>(text).ok();
    let bookings = cluster.bookings().unwrap();
    bookings
        .iter()
        .filter(|b| body(&b.body).as_ref() == Some(&wanted))
        .count()
}

/// Checks a final answer against the books.
fn assert_truthful(cluster: &Cluster, key: &str, answer: &Answer) {
    let booked = bookings_of(cluster, key);
    assert!(booked <= 1, "{key} is booked {booked} times");
    match answer.outcome().as_deref() {
        None => assert_eq!(booked, 1, "{key}: {answer:?}"),
        Some("not_run") => assert_eq!(booked, 0, "{key}: {answer:?}"),
        Some(_) => {}
    }
}

fn tell(cluster: &Cluster, fault: &FaultCommand) {
    send_fault_command(&cluster.platform, fault).unwrap();
}

fn table() -> FaultCommand {
    FaultCommand {
        part: Some("table".to_owned()),
        ..FaultCommand::default()
    }
}

#[test]
fn book_concurrently_through_both_entries_runs_once() {
    let cluster = cluster(Plan::new().service_flags(&["--call-ms", "30"]));
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
        assert_eq!(bookings_of(&cluster, &key), 1, "{answers:?}");
        let bodies: Set<&String> = answers
            .iter()
            .filter(|a| a.status == 201)
            .map(|a| &a.body)
            .collect();
        assert_eq!(bodies.len(), 1, "{answers:?}");
        assert!(settle(&cluster, &key).is_done());
    }
}

/// Runs a fault while the plain service works on a booking, then settles the booking.
fn book_through(cluster: &mut Cluster, fault: impl FnOnce(&mut Cluster)) {
    book_until(cluster, fault, |_| {});
    let settled = settle(cluster, "key-1");
    assert_truthful(cluster, "key-1", &settled);
}

/// Runs a fault while the plain service works on a booking and `heal` once the answer is there.
fn book_until(
    cluster: &mut Cluster,
    fault: impl FnOnce(&mut Cluster),
    heal: impl FnOnce(&mut Cluster),
) {
    let caller = cluster.caller(0);
    let first = thread::spawn(move || caller.book(PATH, "key-1", &json!({"key": "key-1"})));
    wait_for("the claim", || {
        let rows: Vec<Value> = mustard_tests::cluster::read_ledger(cluster.platform.addr()).ok()?;
        let claimed = |row: &Value| row["key"].as_str().is_some_and(|k| k.starts_with("claim/"));
        rows.iter().any(claimed).then_some(())
    })
    .unwrap();
    fault(cluster);
    if let Ok(answer) = first.join().unwrap() {
        // A call that reached the service has ended there by then.
        thread::sleep(LONGEST_CALL);
        assert_truthful(cluster, "key-1", &answer);
    }
    heal(cluster);
}

#[test]
fn book_agents_killed_in_call_runs_at_most_once() {
    let mut cluster = cluster(Plan::new().service_flags(&["--call-ms", "1500"]));
    book_through(&mut cluster, |c| {
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
    let mut cluster = cluster(Plan::new().service_flags(&["--call-ms", "1500"]));
    let runs = |c: &Cluster, i: usize| {
        let request = HttpRequest::get(c.services[i].server.addr(), "/running");
        request.send().is_ok_and(|a| a.body != "0")
    };
    let kill = |c: &mut Cluster| {
        let both = || (0..2).any(|i| runs(c, i)).then_some(());
        wait_for("the service works on the booking", both).unwrap();
        (0..2).for_each(|i| c.services[i].agent.kill().unwrap());
    };
    book_until(&mut cluster, kill, |c| {
        (0..2).for_each(|i| c.restart_agent(NodeRef::Service(i)).unwrap());
    });
    let settled = settle(&cluster, "key-1");
    assert_truthful(&cluster, "key-1", &settled);
    assert_eq!(bookings_of(&cluster, "key-1"), 1);
}

#[test]
fn book_entry_killed_in_call_keeps_booking() {
    let mut cluster = cluster(Plan::new().service_flags(&["--call-ms", "1000"]));
    book_through(&mut cluster, |c| c.restart_entry(0).unwrap());
    // The agent that holds the claim lives on, so its answer becomes known.
    wait_for("the answer of the booking", || {
        let answer = book(&cluster, 1, "key-1").ok()?;
        answer.is_done().then_some(())
    })
    .unwrap();
    assert_eq!(bookings_of(&cluster, "key-1"), 1);
}

#[test]
fn book_agents_frozen_in_call_runs_at_most_once() {
    let mut cluster = cluster(Plan::new().service_flags(&["--call-ms", "1000"]));
    book_through(&mut cluster, |c| {
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
    let cluster = cluster(Plan::new());
    for (i, lost) in [1, 2, 3].into_iter().enumerate() {
        let key = format!("key-{i}");
        tell(
            &cluster,
            &FaultCommand {
                lose_answers: Some(lost),
                ..table()
            },
        );
        let answer = book(&cluster, 0, &key).unwrap();
        assert_truthful(&cluster, &key, &answer);
        tell(
            &cluster,
            &FaultCommand {
                lose_answers: Some(0),
                ..table()
            },
        );
        let settled = settle(&cluster, &key);
        assert_truthful(&cluster, &key, &settled);
    }
}

#[test]
fn book_service_answer_lost_runs_at_most_once() {
    let cluster = cluster(Plan::new());
    for service in &cluster.services {
        let lose = FaultCommand {
            lose_answers: Some(1),
            ..FaultCommand::default()
        };
        send_fault_command(&service.server, &lose).unwrap();
    }
    let answer = book(&cluster, 0, "key-1").unwrap();
    assert_truthful(&cluster, "key-1", &answer);
    let settled = settle(&cluster, "key-1");
    assert_truthful(&cluster, "key-1", &settled);
    assert_eq!(bookings_of(&cluster, "key-1"), 1);
}

#[test]
fn book_table_down_not_run_then_runs_once() {
    let cluster = cluster(Plan::new());
    tell(
        &cluster,
        &FaultCommand {
            down: Some(true),
            ..table()
        },
    );
    let refused = book(&cluster, 0, "key-1").unwrap();
    assert_eq!(refused.outcome().as_deref(), Some("not_run"), "{refused:?}");
    assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    assert_eq!(bookings_of(&cluster, "key-1"), 0);
    tell(
        &cluster,
        &FaultCommand {
            down: Some(false),
            ..table()
        },
    );
    assert!(settle(&cluster, "key-1").is_done());
    assert_eq!(bookings_of(&cluster, "key-1"), 1);
}

#[test]
fn book_table_down_with_agent_killed_runs_at_most_once() {
    let mut cluster = cluster(Plan::new().service_flags(&["--call-ms", "1500"]));
    book_through(&mut cluster, |c| {
        tell(
            c,
            &FaultCommand {
                down: Some(true),
                ..table()
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
        tell(
            c,
            &FaultCommand {
                down: Some(false),
                ..table()
            },
        );
    });
}
