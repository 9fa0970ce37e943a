//! Retry budgets, hedged calls and the detection of slow servers.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::check;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use mustard_core::ids::{Incarnation, Layers};
use mustard_policy::budget_share::{Budget, RetryBudgetShare};
use mustard_policy::fleet::{Fleet, Role, ServerInfo, ServerKey};
use mustard_policy::hedge::{Conditions, HedgePolicy, Settings};
use mustard_policy::retry::RetryBudget;
use mustard_policy::slow::SlowDetector;

/// A retry budget that is never used up.
const WIDE_BUDGET: Budget = Budget {
    ratio: 1.0,
    slack: 10_000.0,
    window: Duration::from_secs(10),
};

/// The conditions of an idle service.
const WITH_ROOM: Conditions = Conditions {
    waiting: 0,
    load: 0.1,
    is_suspect: false,
    attempts_left: 1,
};

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
    // The limits other than the share of calls are out of reach.
    let settings = Settings {
        rate: 1_000.0,
        ..Settings::default()
    };
    let mut hedge = HedgePolicy::new(settings, 1, Moment::default());
    let mut budget = RetryBudgetShare::new(WIDE_BUDGET, Moment::default());
    budget.observe_processes(1);
    budget.advance(Moment::from_millis(10_000));
    let target = Duration::from_millis(10);
    let delay = |hedge: &HedgePolicy, class, is_repeatable| {
        let delay = hedge.delay("r", target, class, is_repeatable);
        delay.map(|d| d.wait)
    };
    assert_eq!(delay(&hedge, Class::Batch, true), None);
    assert_eq!(delay(&hedge, Class::Interactive, false), None);
    let mut sent = 0;
    for call in 0..10_000 {
        let now = Moment::from_millis(call * 100);
        let took = Duration::from_micros(rng.random_range(1_000..20_000));
        hedge.record_request();
        let delay = delay(&hedge, Class::Interactive, true).unwrap();
        if took > delay && hedge.try_spend(now, &WITH_ROOM, &mut budget).is_ok() {
            sent += 1;
        }
        hedge.record_time("r", took);
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
