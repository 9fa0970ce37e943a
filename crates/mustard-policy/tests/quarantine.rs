//! Quarantine of contents that crash servers which also run harmless contents.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::check;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::quarantine::{Quarantine, Settings, Standing, Strike};

/// The content that gets strikes; where servers die of it, it is the poison content.
const SUSPECT: Fingerprint = Fingerprint(7);
const NOW: Moment = Moment::from_millis(1_000);

fn harmless_contents(rng: &mut ChaCha8Rng, count: usize) -> Vec<Fingerprint> {
    (0..count)
        .map(|_| Fingerprint(u128::from(rng.random::<u64>()) + 100))
        .collect()
}

fn is_quarantined(q: &Quarantine, f: Fingerprint) -> bool {
    matches!(q.standing(NOW, f), Standing::Quarantined(_))
}

/// A poison content is quarantined when its second server dies, since it is the only suspect there;
/// contents that ran in the same batches never are.
#[test]
fn strikes_for_death_shared_batches() {
    check!()
        .with_iterations(500)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let mut q = Quarantine::default();
            let mut neighbours = Vec::new();
            for vm in ["vm-0", "vm-1"] {
                assert!(!is_quarantined(&q, SUSPECT));
                let count = rng.random_range(1..20);
                let others = harmless_contents(&mut rng, count);
                let mut running = others.clone();
                running.push(SUSPECT);
                running.shuffle(&mut rng);
                for strike in q.strikes_for_death(NOW, vm, &running) {
                    q.record_strike(NOW, &strike);
                }
                neighbours.extend(others);
            }
            assert!(is_quarantined(&q, SUSPECT));
            assert!(neighbours.iter().all(|f| !is_quarantined(&q, *f)));
            assert_eq!(q.quarantined(NOW).count(), 1);
        });
}

/// A harmless content that twice ran in a batch with the poison one is not quarantined.
#[test]
fn strikes_for_death_same_neighbour_twice() {
    let mut q = Quarantine::default();
    let neighbour = Fingerprint(8);
    for vm in ["vm-0", "vm-1"] {
        for strike in q.strikes_for_death(NOW, vm, &[SUSPECT, neighbour]) {
            q.record_strike(NOW, &strike);
        }
    }
    assert_eq!(q.standing(NOW, neighbour), Standing::Suspect);
    // Once suspects run apart, only the server of the poison content dies again.
    for strike in q.strikes_for_death(NOW, "vm-2", &[SUSPECT]) {
        q.record_strike(NOW, &strike);
    }
    assert!(is_quarantined(&q, SUSPECT));
    assert!(!is_quarantined(&q, neighbour));
    assert!(q.clear(NOW, neighbour));
    assert_eq!(q.standing(NOW, neighbour), Standing::Clear);
}

/// Processes that receive the same strikes in different order, some of them twice, agree.
#[test]
fn record_strike_any_order() {
    check!()
        .with_iterations(300)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let mut strikes: Vec<Strike> = (0..20)
                .map(|_| Strike {
                    fingerprint: Fingerprint(rng.random_range(0..4)),
                    vm: format!("vm-{}", rng.random_range(0..3)),
                    shared: rng.random_range(1..5),
                    at: NOW,
                })
                .collect();
            let standings = |strikes: &[Strike]| {
                let mut q = Quarantine::default();
                for strike in strikes {
                    q.record_strike(NOW, strike);
                }
                (0..4)
                    .map(|f| q.standing(NOW, Fingerprint(f)))
                    .collect::<Vec<_>>()
            };
            let first = standings(&strikes);
            strikes.extend_from_within(0..5);
            strikes.shuffle(&mut rng);
            assert_eq!(first, standings(&strikes));
        });
}

/// The number of remembered contents is bounded, and strikes expire.
#[test]
fn record_strike_capacity_and_expiry() {
    let settings = Settings {
        capacity: 10,
        ..Settings::default()
    };
    let mut q = Quarantine::new(settings);
    for i in 0..100 {
        let fingerprint = Fingerprint(i);
        let vm = "vm".to_owned();
        let shared = 1;
        q.record_strike(
            NOW,
            &Strike {
                fingerprint,
                vm,
                shared,
                at: NOW,
            },
        );
    }
    assert_eq!(q.strikes(NOW).len(), 10);
    let later = NOW + settings.ttl;
    assert!(q.strikes(later).is_empty());
    assert_eq!(q.standing(later, Fingerprint(99)), Standing::Clear);
}

/// With a threshold of three deaths, two dead servers don't quarantine a content.
#[test]
fn record_strike_third_server() {
    let mut quarantine = Quarantine::new(Settings {
        min_deaths: 3,
        ..Settings::default()
    });
    let content = Fingerprint(9);
    let now = Moment::from_millis(1);
    let mut strike = |vm: &str| {
        let strike = Strike {
            fingerprint: content,
            vm: vm.to_owned(),
            shared: 1,
            at: now,
        };
        quarantine.record_strike(now, &strike)
    };
    assert!(!strike("a"));
    assert!(!strike("b"));
    assert!(!strike("a"), "the same server counts once");
    assert!(strike("c"));
}

fn strike_at(vm: usize, at: Moment) -> Strike {
    Strike {
        fingerprint: SUSPECT,
        vm: format!("vm-{vm}"),
        shared: 1,
        at,
    }
}

/// A popular content gets strikes from servers that die of other causes, and runs to its end in
/// between. Older strikes that other processes send after that must not quarantine it again.
#[test]
fn clear_strikes_received_again() {
    let mut local = Quarantine::default();
    let mut remote = Quarantine::default();
    for vm in 0..2 {
        remote.record_strike(NOW, &strike_at(vm, NOW));
    }
    let received = remote.strikes(NOW);
    for s in &received {
        local.record_strike(NOW, s);
    }
    assert!(is_quarantined(&local, SUSPECT));
    let later = NOW + Duration::from_secs(1);
    assert!(local.clear(later, SUSPECT));
    for s in &received {
        local.record_strike(later, s);
    }
    assert_eq!(local.standing(later, SUSPECT), Standing::Clear);
    // The other process receives the clearance; a later strike counts again.
    local
        .clearances(later)
        .for_each(|c| remote.apply_clearance(later, c));
    assert_eq!(remote.standing(later, SUSPECT), Standing::Clear);
    let death = later + Duration::from_secs(1);
    remote.record_strike(death, &strike_at(3, death));
    assert_eq!(remote.standing(death, SUSPECT), Standing::Suspect);
}

/// A strike expires by the age of the death, however often it is received again.
#[test]
fn record_strike_received_again_expires() {
    let ttl = Settings::default().ttl;
    let mut q = Quarantine::default();
    let late = NOW + ttl - Duration::from_secs(1);
    assert!(!q.record_strike(late, &strike_at(0, NOW)));
    q.record_strike(late, &strike_at(1, NOW));
    assert!(is_quarantined(&q, SUSPECT));
    let after = NOW + ttl + Duration::from_secs(1);
    q.record_strike(after, &strike_at(0, NOW));
    assert_eq!(q.standing(after, SUSPECT), Standing::Clear);
    assert_eq!(q.strikes(after).len(), 0);
}

/// Guards against the quarantine of a harmless content that many requests have: it runs on each server
/// that a poison content ends, in one process that has seen it succeed and in one that hasn't.
#[test]
fn record_strike_proven_content() {
    let mut proven = Quarantine::default();
    let mut unaware = Quarantine::default();
    proven.record_success(NOW, SUSPECT);
    let later = |ms| NOW + Duration::from_millis(ms);
    for vm in 0..5 {
        let strike = strike_at(vm, later(100 * vm as u64));
        assert!(!proven.record_strike(later(500), &strike));
        unaware.record_strike(later(500), &strike);
    }
    assert!(is_quarantined(&unaware, SUSPECT));
    for clearance in proven.clearances(later(600)) {
        unaware.apply_clearance(later(600), clearance);
    }
    assert!(!is_quarantined(&unaware, SUSPECT));
    assert!(!is_quarantined(&proven, SUSPECT));
}

/// Guards against releasing a quarantined content as thousands of others come later: servers that go down
/// and up cut off requests all the time.
#[test]
fn record_strike_flood_of_others() {
    let mut q = Quarantine::default();
    for vm in 0..3 {
        q.record_strike(NOW, &strike_at(vm, NOW));
    }
    assert!(is_quarantined(&q, SUSPECT));
    let later = NOW + Duration::from_secs(1);
    for n in 0..2 * Settings::default().capacity {
        let strike = Strike {
            fingerprint: Fingerprint(1_000 + n as u128),
            vm: "vm-other".to_owned(),
            shared: 1,
            at: later,
        };
        q.record_strike(later, &strike);
    }
    assert!(is_quarantined(&q, SUSPECT));
}
