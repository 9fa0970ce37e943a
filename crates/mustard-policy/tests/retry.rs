//! Retry budgets, hedged calls and the detection of slow servers.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::check;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use mustard_core::ids::{Incarnation, Layers};
use mustard_policy::fleet::{Fleet, Role, ServerInfo, ServerKey};
use mustard_policy::hedge::HedgePolicy;
use mustard_policy::retry::RetryBudget;
use mustard_policy::slow::SlowDetector;

/// With any failure rate, retries never exceed their share of first attempts plus the reserve.
#[test]
fn try_spend_random_failures() {
    check!()
        .with_iterations(300)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let (share, reserve) = (0.1, 5.0);
            let mut budget = RetryBudget::new(share, reserve);
            let failure_rate = rng.random::<f64>();
            let (mut first_attempts, mut retries) = (0.0, 0.0);
            for _ in 0..500 {
                first_attempts += 1.0;
                budget.record_attempt();
                while rng.random::<f64>() < failure_rate && budget.try_spend() {
                    retries += 1.0;
                }
                assert!(retries <= share * first_attempts + reserve);
            }
        });
}

/// At most 5 in 100 calls get a second copy, and only repeatable ones whose class allows it.
#[test]
fn delay_usual_calls() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut hedge = HedgePolicy::new(Duration::from_millis(10));
    assert_eq!(hedge.delay(Class::Batch, true), None);
    assert_eq!(hedge.delay(Class::Interactive, false), None);
    let mut sent = 0;
    for _ in 0..10_000 {
        let took = Duration::from_micros(rng.random_range(1_000..20_000));
        let delay = hedge.delay(Class::Interactive, true).unwrap();
        sent += u32::from(took > delay && hedge.try_spend());
        hedge.observe(took);
    }
    assert!((200..=505).contains(&sent), "{sent} of 10,000");
}

/// One server of a group slows down and recovers: each change is reported once.
#[test]
fn detect_changes_slow_server() {
    let mut fleet = Fleet::default();
    let keys: Vec<ServerKey> = (0..6)
        .map(|i| {
            fleet.upsert(ServerInfo {
                vm: format!("vm-{i}"),
                addr: ([127, 0, 0, 1], i).into(),
                domain: "d".into(),
                incarnation: Incarnation(1),
                role: Role::Stage {
                    model: "m".into(),
                    layers: Layers::new(0, 4),
                    accelerator: "a".into(),
                },
            })
        })
        .collect();
    let mut detector = SlowDetector::new();
    let mut changes = Vec::new();
    for round in 0..60_u64 {
        let now = Moment::from_millis(round * 100);
        for (i, key) in keys.iter().enumerate() {
            let slow = i == 2 && (10..30).contains(&round);
            let us = if slow { 20_000.0 } else { 2_000.0 };
            let stats = fleet.get(*key).unwrap().stats();
            (0..30).for_each(|_| stats.observe_step(now, us));
        }
        for (key, slow) in detector.detect_changes(now, &fleet, "m") {
            changes.push((round, key, slow));
        }
    }
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!((changes[0].1, changes[0].2), (keys[2], true));
    assert_eq!((changes[1].1, changes[1].2), (keys[2], false));
    assert!(changes[0].0 < 20, "{changes:?}");
    assert!(!detector.is_slow(keys[2]));
}
