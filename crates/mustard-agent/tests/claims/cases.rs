//! Single failures of a call, one test each.

use super::*;

async fn wait_for(what: impl Fn() -> bool) {
    for _ in 0..100_000 {
        if what() {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("condition was not met");
}

fn last(world: &World) -> Result<CallAnswer, Refusal> {
    world.told.borrow().last().unwrap().result.clone()
}

#[test]
fn call_replays_through_other_agent() {
    run(async {
        let mut world = World::new();
        world.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        world.call(1, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        assert!(last(&world).unwrap().replayed);
        world.call(2, 0, 1, 1_000);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(last(&world), Err(Refusal::KeyReused));
        world.check();
    });
}

#[test]
fn call_at_once_through_other_agent_gets_first_answer() {
    run(async {
        let mut world = World::new();
        world.call(0, 0, 0, 1_000);
        while world.told.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        // The first caller has its answer, and the row does not have it yet.
        world.call(1, 0, 0, 3_000);
        sleep(Duration::from_secs(5)).await;
        let told = world.told.borrow();
        let status = |n: usize| told[n].result.as_ref().unwrap().status;
        assert_eq!((status(0), status(1)), (201, 201));
        world.check();
    });
}

#[test]
fn call_claimant_alive_is_waited_for() {
    run(async {
        let mut world = World::new();
        world.service.mood.set(Mood {
            slow_ms: 2_000,
            ..Mood::default()
        });
        world.call(0, 0, 0, 10_000);
        sleep(Duration::from_millis(100)).await;
        world.call(1, 0, 0, 10_000);
        sleep(Duration::from_secs(5)).await;
        let told = world.told.borrow();
        let statuses: Vec<_> = told
            .iter()
            .map(|t| t.result.clone().unwrap().status)
            .collect();
        assert_eq!(statuses, [201, 201]);
    });
}

#[test]
fn call_claimant_dead_settles_by_record() {
    run(async {
        let mut world = World::new();
        let slow_ms = 200;
        world.service.mood.set(Mood {
            slow_ms,
            ..Mood::default()
        });
        world.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(100)).await;
        world.agents[0].crash(&world.ends);
        sleep(Duration::from_millis(slow_ms)).await;
        world.call(1, 0, 0, 20_000);
        // The repeat does not wait as long as for a claimant that lives.
        sleep(Duration::from_millis(250)).await;
        assert!(last(&world).unwrap().replayed);
        world.call(2, 0, 0, 20_000);
        sleep(Duration::from_secs(1)).await;
        assert!(last(&world).unwrap().replayed);
        assert_eq!(world.records(0).len(), 1);
    });
}

#[test]
fn call_claimant_paused_before_send() {
    run(async {
        let mut world = World::new();
        // The claim is in the table, and the claimant stands still before it sends the call.
        world.agents[0].pause_after_commit();
        world.call(0, 0, 0, 300);
        let row = row_key(SERVICE, OWNER, &name(0));
        wait_for(|| world.table.peek(&row).version > 0).await;
        assert!(world.service.ledger.borrow().is_empty());
        world.call(1, 0, 0, 5_000);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(last(&world), Err(Refusal::InDoubt));
        world.agents[0].pause(false);
        sleep(Duration::from_secs(10)).await;
        // The claimant woke up past its deadline: it gave the claim up, and the key is free.
        assert_eq!(last(&world), Err(Refusal::Expired));
        assert!(world.service.ledger.borrow().is_empty());
        world.call(1, 0, 0, 5_000);
        sleep(Duration::from_secs(1)).await;
        assert!(!last(&world).unwrap().replayed);
        world.check();
    });
}

#[test]
fn call_table_down_after_send() {
    run(async {
        let mut world = World::new();
        world.service.mood.set(Mood {
            slow_ms: 100,
            ..Mood::default()
        });
        world.call(0, 0, 0, 1_000);
        wait_for(|| world.table.peek(&row_key(SERVICE, OWNER, &name(0))).version > 0).await;
        world.table.switches().set_down(true);
        sleep(Duration::from_secs(1)).await;
        assert!(
            !last(&world).unwrap().replayed,
            "the caller gets the answer from memory"
        );
        let agent = world.agent(0);
        assert_eq!(
            agent.gate.running(),
            1,
            "a planned stop waits for the result to be written"
        );
        world.call(0, 0, 0, 1_000);
        world.call(0, 1, 0, 1_000);
        sleep(Duration::from_secs(3_600)).await;
        {
            let told = world.told.borrow();
            assert!(told[1].result.as_ref().unwrap().replayed);
            assert!(matches!(told[2].result, Err(Refusal::PlatformDown { .. })));
        }
        world.heal().await;
        world.check();
    });
}

#[test]
fn call_claim_in_doubt_is_freed() {
    run(async {
        let mut world = World::new();
        // The claim's answer and its repeats are lost until the caller's time is over.
        world.table.switches().lose_answers(100);
        world.call(0, 0, 0, 300);
        sleep(Duration::from_secs(5)).await;
        assert!(matches!(last(&world), Err(Refusal::PlatformDown { .. })));
        assert_ne!(
            world.table.peek(&row_key(SERVICE, OWNER, &name(0))).version,
            0
        );
        world.heal().await;
        world.call(1, 0, 0, 1_000);
        sleep(Duration::from_secs(5)).await;
        assert!(!last(&world).unwrap().replayed);
        world.check();
    });
}

#[test]
fn commit_conflict_spares_the_batch() {
    run(async {
        let mut world = World::new();
        world.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(500)).await;
        let before = world.table.switches().counts().writes;
        for key in 0..KEYS {
            world.call(1, key, 0, 1_000);
        }
        sleep(Duration::from_millis(10)).await;
        let writes = world.table.switches().counts().writes - before;
        assert_eq!(writes, 2, "one transaction with a conflict, one without");
        sleep(Duration::from_millis(500)).await;
        let told = world.told.borrow();
        assert!(told.iter().all(|t| t.result.is_ok()));
        assert_eq!(world.service.ledger.borrow().len(), usize::from(KEYS));
    });
}

#[test]
fn settle_ends_the_doubt() {
    run(async {
        let mut world = World::new();
        world.service.mood.set(Mood {
            blind: true,
            slow_ms: 500,
            ..Mood::default()
        });
        world.call(0, 0, 0, 1_000);
        sleep(Duration::from_millis(100)).await;
        world.agents[0].crash(&world.ends);
        sleep(Duration::from_secs(60)).await;
        world.call(1, 0, 0, 1_000);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(last(&world), Err(Refusal::InDoubt));
        let answer = CallAnswer {
            status: 201,
            content_type: "text/plain".into(),
            body: world.records(0)[0].body.clone(),
            replayed: false,
        };
        let settle = |verdict| Settle {
            owner: OWNER.into(),
            service: SERVICE.into(),
            key: name(0),
            verdict,
        };
        let claims = world.agent(1).claims.clone();
        let open = claims.settle(&world.service, &settle(None)).await;
        assert_eq!(open, Ok(VoidAnswer::InDoubt));
        let done = settle(Some(Verdict::Done(answer)));
        let done = claims.settle(&world.service, &done).await.unwrap();
        assert!(matches!(done, VoidAnswer::Ran(_)));
        let void = settle(Some(Verdict::Void));
        let late = claims.settle(&world.service, &void).await.unwrap();
        assert!(
            matches!(late, VoidAnswer::Ran(_)),
            "a final key stays as it is"
        );
        world.call(2, 0, 0, 1_000);
        sleep(Duration::from_secs(1)).await;
        assert!(last(&world).unwrap().replayed);
        world.check();
    });
}
