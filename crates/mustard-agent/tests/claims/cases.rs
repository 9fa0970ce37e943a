//! Tests with a single failure each.

use mustard_platform::table::Txn;

use super::*;

/// Waits until a condition holds.
async fn wait_for(condition: impl Fn() -> bool) {
    for _ in 0..100_000 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("condition was not met");
}

/// Returns the result that the last answered caller got.
fn last_result(cluster: &Cluster) -> Result<CallAnswer, Refusal> {
    cluster.results.borrow().last().unwrap().result.clone()
}

#[test]
fn call_replays_through_other_agent() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        cluster.call(1, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        assert!(last_result(&cluster).unwrap().replayed);
        cluster.call(2, 0, 1, 1_000);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(last_result(&cluster), Err(Refusal::KeyReused));
        cluster.check_invariants();
    });
}

#[test]
fn call_at_once_through_other_agent_gets_first_answer() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.call(0, 0, 0, 1_000);
        while cluster.results.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        // The first caller has its answer, which is not yet written to the row.
        cluster.call(1, 0, 0, 3_000);
        sleep(Duration::from_secs(5)).await;
        let results = cluster.results.borrow();
        let status = |n: usize| results[n].result.as_ref().unwrap().status;
        assert_eq!((status(0), status(1)), (201, 201));
        cluster.check_invariants();
    });
}

#[test]
fn call_claimant_alive_is_waited_for() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.service.faults.set(ServiceFaults {
            delay_ms: 2_000,
            ..ServiceFaults::default()
        });
        cluster.call(0, 0, 0, 10_000);
        sleep(Duration::from_millis(100)).await;
        cluster.call(1, 0, 0, 10_000);
        sleep(Duration::from_secs(5)).await;
        let results = cluster.results.borrow();
        let statuses: Vec<_> = results
            .iter()
            .map(|call| call.result.clone().unwrap().status)
            .collect();
        assert_eq!(statuses, [201, 201]);
    });
}

#[test]
fn call_claimant_dead_settles_by_record() {
    run(async {
        let mut cluster = Cluster::new();
        let delay_ms = 200;
        cluster.service.faults.set(ServiceFaults {
            delay_ms,
            ..ServiceFaults::default()
        });
        cluster.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(100)).await;
        cluster.agents[0].crash(&cluster.crashes);
        sleep(Duration::from_millis(delay_ms)).await;
        cluster.call(1, 0, 0, 20_000);
        // The repeated call does not wait as long as for a claimant that is alive.
        sleep(Duration::from_millis(250)).await;
        assert!(last_result(&cluster).unwrap().replayed);
        cluster.call(2, 0, 0, 20_000);
        sleep(Duration::from_secs(1)).await;
        assert!(last_result(&cluster).unwrap().replayed);
        assert_eq!(cluster.records(0).len(), 1);
    });
}

#[test]
fn call_claimant_paused_before_send() {
    run(async {
        let mut cluster = Cluster::new();
        // The claimant is paused after its claim is written and before it sends the call.
        cluster.agents[0].pause_after_commit();
        cluster.call(0, 0, 0, 300);
        let row = row_key(SERVICE, OWNER, &key_name(0));
        wait_for(|| cluster.table.stored_row(&row).version > 0).await;
        assert!(cluster.service.ledger.borrow().is_empty());
        cluster.call(1, 0, 0, 5_000);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(last_result(&cluster), Err(Refusal::InDoubt));
        cluster.agents[0].pause(false);
        sleep(Duration::from_secs(10)).await;
        // The claimant resumed after its deadline, so it released the claim, and the key is free.
        assert_eq!(last_result(&cluster), Err(Refusal::Expired));
        assert!(cluster.service.ledger.borrow().is_empty());
        cluster.call(1, 0, 0, 5_000);
        sleep(Duration::from_secs(1)).await;
        assert!(!last_result(&cluster).unwrap().replayed);
        cluster.check_invariants();
    });
}

#[test]
fn call_table_down_after_send() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.service.faults.set(ServiceFaults {
            delay_ms: 100,
            ..ServiceFaults::default()
        });
        cluster.call(0, 0, 0, 1_000);
        wait_for(|| {
            cluster
                .table
                .stored_row(&row_key(SERVICE, OWNER, &key_name(0)))
                .version
                > 0
        })
        .await;
        cluster.table.faults().set_down(true);
        sleep(Duration::from_secs(1)).await;
        assert!(
            !last_result(&cluster).unwrap().replayed,
            "the caller gets the answer from memory"
        );
        let agent = cluster.agent(0);
        assert_eq!(
            agent.gate.running(),
            1,
            "a planned stop waits for the result to be written"
        );
        cluster.call(0, 0, 0, 1_000);
        cluster.call(0, 1, 0, 1_000);
        sleep(Duration::from_secs(3_600)).await;
        {
            let results = cluster.results.borrow();
            assert!(results[1].result.as_ref().unwrap().replayed);
            assert!(matches!(
                results[2].result,
                Err(Refusal::PlatformDown { .. })
            ));
        }
        cluster.clear_faults().await;
        cluster.check_invariants();
    });
}

#[test]
fn call_claim_in_doubt_is_freed() {
    run(async {
        let mut cluster = Cluster::new();
        // The table applies the claim, but all its answers are lost until the caller's deadline.
        cluster.table.faults().lose_answers(100);
        cluster.call(0, 0, 0, 300);
        sleep(Duration::from_secs(5)).await;
        assert!(matches!(
            last_result(&cluster),
            Err(Refusal::PlatformDown { .. })
        ));
        assert_ne!(
            cluster
                .table
                .stored_row(&row_key(SERVICE, OWNER, &key_name(0)))
                .version,
            0
        );
        cluster.clear_faults().await;
        cluster.call(1, 0, 0, 1_000);
        sleep(Duration::from_secs(5)).await;
        assert!(!last_result(&cluster).unwrap().replayed);
        cluster.check_invariants();
    });
}

#[test]
fn commit_conflict_keeps_rest_of_batch() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        let before = cluster.table.faults().counts().writes;
        for key in 0..KEYS {
            cluster.call(1, key, 0, 1_000);
        }
        sleep(Duration::from_millis(10)).await;
        let writes = cluster.table.faults().counts().writes - before;
        assert_eq!(writes, 2, "one transaction with a conflict, one without");
        sleep(Duration::from_millis(500)).await;
        let results = cluster.results.borrow();
        assert!(results.iter().all(|call| call.result.is_ok()));
        assert_eq!(cluster.service.ledger.borrow().len(), usize::from(KEYS));
    });
}

#[test]
fn settle_key_in_doubt() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.service.faults.set(ServiceFaults {
            lookup_fails: true,
            delay_ms: 500,
            ..ServiceFaults::default()
        });
        cluster.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(100)).await;
        cluster.agents[0].crash(&cluster.crashes);
        sleep(Duration::from_secs(60)).await;
        cluster.call(1, 0, 0, 1_000);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(last_result(&cluster), Err(Refusal::InDoubt));
        let answer = CallAnswer {
            status: 201,
            content_type: "text/plain".into(),
            body: cluster.records(0)[0].body.clone(),
            replayed: false,
        };
        let settle = |verdict| SettleKey {
            owner: OWNER.into(),
            service: SERVICE.into(),
            key: key_name(0),
            verdict,
        };
        let claims = cluster.agent(1).claims.clone();
        let unsettled = claims.settle(&cluster.service, &settle(None)).await;
        assert_eq!(unsettled, Ok(VoidAnswer::InDoubt));
        let done = settle(Some(SettleDecision::Done(answer)));
        let done = claims.settle(&cluster.service, &done).await.unwrap();
        assert!(matches!(done, VoidAnswer::Ran(_)));
        let void = settle(Some(SettleDecision::Void));
        let late = claims.settle(&cluster.service, &void).await.unwrap();
        assert!(
            matches!(late, VoidAnswer::Ran(_)),
            "a closed key stays as it is"
        );
        cluster.call(2, 0, 0, 1_000);
        sleep(Duration::from_secs(1)).await;
        assert!(last_result(&cluster).unwrap().replayed);
        cluster.check_invariants();
    });
}

/// Guards against a booking that runs twice: its row is lost as the table comes back from an older
/// copy, and the caller repeats it through another agent.
#[test]
fn call_restored_table_runs_once() {
    run(async {
        let mut cluster = Cluster::new();
        let copy = cluster.table.copy();
        cluster.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        assert!(last_result(&cluster).is_ok());
        cluster.table.restore(copy);
        sleep(Duration::from_millis(500)).await;
        cluster.call(1, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        cluster.check_invariants();
    });
}

/// Guards against the same while the first call still runs.
#[test]
fn call_restored_table_while_running() {
    run(async {
        let mut cluster = Cluster::new();
        cluster.service.faults.set(ServiceFaults {
            delay_ms: 800,
            ..ServiceFaults::default()
        });
        let copy = cluster.table.copy();
        cluster.call(0, 0, 0, 2_000);
        sleep(Duration::from_millis(300)).await;
        cluster.table.restore(copy);
        cluster.call(1, 0, 0, 2_000);
        sleep(Duration::from_secs(5)).await;
        cluster.check_invariants();
    });
}

/// Guards against the same once the calls under lost claims have ended: the service has a record of
/// the call, and the caller gets its answer.
#[test]
fn call_restored_table_service_has_record() {
    run(async {
        let mut cluster = Cluster::new();
        let copy = cluster.table.copy();
        cluster.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        cluster.table.restore(copy);
        // Twenty seconds ago, longer than calls are held back.
        let now = std::time::SystemTime::now();
        let since = now.duration_since(std::time::UNIX_EPOCH).unwrap() - Duration::from_secs(20);
        let row = format!(r#"{{"era":1,"since_ms":{}}}"#, since.as_millis());
        cluster.table.apply(&Txn::default().put("claim-era", row));
        cluster.call(1, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        assert!(last_result(&cluster).unwrap().replayed);
        cluster.call(2, 1, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        assert!(!last_result(&cluster).unwrap().replayed);
        cluster.check_invariants();
    });
}
