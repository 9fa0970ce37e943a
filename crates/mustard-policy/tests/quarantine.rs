//! Quarantine of contents that crash servers which also run harmless contents.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::check;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::quarantine::{Content, Quarantine, Settings, Standing, Strike};

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
                    content: Fingerprint(rng.random_range(0..4)).into(),
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
                content: fingerprint.into(),
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
            content: content.into(),
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
        content: SUSPECT.into(),
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
            content: Fingerprint(1_000 + n as u128).into(),
            vm: "vm-other".to_owned(),
            shared: 1,
            at: later,
        };
        q.record_strike(later, &strike);
    }
    assert!(is_quarantined(&q, SUSPECT));
}

const BAD: u128 = 900;

fn variant(number: u128) -> Content {
    Content {
        fingerprint: SUSPECT,
        variant: Some(Fingerprint(number)),
    }
}

fn new_with_three() -> Quarantine {
    Quarantine::new(Settings {
        min_deaths: 3,
        ..Settings::default()
    })
}

fn variant_strike(number: u128, vm: usize, at: Moment) -> Strike {
    Strike {
        content: variant(number),
        ..strike_at(vm, at)
    }
}

fn later(ms: u64) -> Moment {
    NOW + Duration::from_millis(ms)
}

fn may_run(q: &Quarantine, now: Moment, number: u128) -> bool {
    !matches!(q.standing(now, variant(number)), Standing::Quarantined(_))
}

/// Guards against a request that isn't stopped, as others with the same content but another query run to their end.
#[test]
fn record_success_other_variant() {
    let mut q = new_with_three();
    for vm in 0..3 {
        let at = later(1_000 * vm as u64);
        q.record_success(at, variant(1));
        q.record_strike(at, &variant_strike(BAD, vm, at));
        q.record_success(at, variant(2));
    }
    assert!(!may_run(&q, later(3_000), BAD));
    assert!((1..4).all(|n| may_run(&q, later(3_000), n)));
}

/// Guards against refusing sound requests, none of which was served before, beside one that ends servers. Some of them
/// ran on these servers too.
#[test]
fn record_strike_one_variant() {
    let mut q = new_with_three();
    for vm in 0..3 {
        let at = later(vm as u64);
        q.record_strike(at, &variant_strike(BAD, vm, at));
        q.record_strike(at, &variant_strike(vm as u128, vm, at));
    }
    assert!(!may_run(&q, later(3), BAD));
    assert!((0..9).all(|n| may_run(&q, later(3), n)));
}

/// Guards against a request that escapes by another query at each of its attempts.
#[test]
fn record_strike_each_another_variant() {
    let mut q = new_with_three();
    let newly: Vec<bool> = (0..3)
        .map(|vm| q.record_strike(NOW, &variant_strike(vm as u128, vm, NOW)))
        .collect();
    assert_eq!(newly, [false, false, true]);
    assert!((0..9).all(|n| !may_run(&q, NOW, n)));
    // Any variant that runs to its end shows that not all of them end servers.
    q.record_success(later(10), variant(0));
    assert!((0..9).all(|n| may_run(&q, later(10), n)));
}

/// The same if it came with one of the queries until that was refused; one more end may have another cause.
#[test]
fn record_strike_variants_after_one() {
    let mut q = new_with_three();
    for vm in 0..3 {
        q.record_strike(NOW, &variant_strike(BAD, vm, NOW));
    }
    q.record_strike(NOW, &variant_strike(1, 3, NOW));
    assert!(may_run(&q, NOW, 1) && may_run(&q, NOW, 2));
    q.record_strike(NOW, &variant_strike(2, 4, NOW));
    assert!((0..9).all(|n| !may_run(&q, NOW, n)));
}

/// Guards against a process that goes on refusing all variants while another one serves some of them, and against one
/// that releases the bad one by that: each of them knows a half.
#[test]
fn apply_clearance_other_variant() {
    let (mut struck, mut serving) = (new_with_three(), new_with_three());
    serving.record_success(NOW, variant(1));
    for vm in 0..3 {
        struck.record_strike(later(10), &variant_strike(BAD, vm, later(10)));
        struck.record_strike(
            later(10),
            &variant_strike(vm as u128 + 5, vm + 3, later(10)),
        );
    }
    assert!(!may_run(&struck, later(10), 1));
    for strike in struck.strikes_to_share(later(20), 64) {
        serving.record_strike(later(20), &strike);
    }
    for clearance in serving.clearances_to_share(later(30), 64) {
        struck.apply_clearance(later(30), clearance);
    }
    for q in [&struck, &serving] {
        assert!(!may_run(q, later(30), BAD));
        assert!((0..9).all(|n| may_run(q, later(30), n)));
    }
}

/// Strikes of versions that don't tell variants apart count against all of them.
#[test]
fn record_strike_unknown_variant() {
    let mut q = new_with_three();
    q.record_strike(NOW, &strike_at(0, NOW));
    q.record_strike(NOW, &strike_at(1, NOW));
    assert!(may_run(&q, NOW, BAD));
    q.record_strike(NOW, &variant_strike(BAD, 2, NOW));
    assert!(!may_run(&q, NOW, BAD));
    assert!(may_run(&q, NOW, 1));
    q.record_strike(NOW, &strike_at(2, NOW));
    assert!(!may_run(&q, NOW, 1));
}

/// Many requests run on a server that ends: the one that runs at all ends must not be lost among them, neither here
/// nor at a process that is told.
#[test]
fn record_strike_many_variants() {
    let (mut q, mut told) = (new_with_three(), new_with_three());
    for vm in 0..3 {
        let others = (0..90).map(|n| 100 * (vm as u128 + 1) + n);
        for number in others.chain([BAD]) {
            q.record_strike(NOW, &variant_strike(number, vm, NOW));
        }
    }
    for strike in q.strikes_to_share(NOW, 64) {
        told.record_strike(NOW, &strike);
    }
    for q in [&q, &told] {
        assert!(!may_run(q, NOW, BAD));
        assert!(may_run(q, NOW, 1));
    }
}

/// Processes that receive the strikes and clearances of variants in different order agree.
#[test]
fn record_strike_variants_any_order() {
    check!()
        .with_iterations(300)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let mut strikes: Vec<Strike> = (0..12)
                .map(|_| {
                    let number = rng.random_range(0..4);
                    variant_strike(number, rng.random_range(0..5), NOW)
                })
                .collect();
            let standings = |strikes: &[Strike]| {
                let mut q = new_with_three();
                for strike in strikes {
                    q.record_strike(NOW, strike);
                }
                let all = (0..6).map(|n| q.standing(NOW, variant(n)));
                all.collect::<Vec<_>>()
            };
            let first = standings(&strikes);
            strikes.extend_from_within(0..5);
            strikes.shuffle(&mut rng);
            assert_eq!(first, standings(&strikes));
        });
}

/// Guards against a request that isn't stopped as it ran well before: the software of its servers was replaced. It is
/// tried again after a while, as a harmless one would run well then.
#[test]
fn record_strike_proven_variant() {
    let mut q = new_with_three();
    q.record_success(NOW, variant(BAD));
    for vm in 1..4 {
        let at = later(1_000 * vm as u64);
        assert!(!q.record_strike(at, &variant_strike(BAD, vm, at)));
        assert!(may_run(&q, at, BAD));
    }
    let mut at = later(4_000);
    for (vm, seconds) in [(4, 6), (5, 60), (6, 300)] {
        assert!(q.record_strike(at, &variant_strike(BAD, vm, at)));
        let end = at + Duration::from_secs(seconds);
        assert!(!may_run(&q, end - Duration::from_millis(1), BAD));
        assert!(may_run(&q, end, BAD));
        at = end;
    }
    q.record_success(at, variant(BAD));
    assert_eq!(q.standing(at, variant(BAD)), Standing::Clear);
}

/// Guards against the quarantine of a request that ran on many servers which died at once, and of one that runs well
/// between deaths.
#[test]
fn record_strike_proven_variant_harmless() {
    let mut q = new_with_three();
    q.record_success(NOW, variant(1));
    for vm in 0..10 {
        let at = later(1_000 + 100 * vm as u64);
        q.record_strike(at, &variant_strike(1, vm, at));
        assert!(may_run(&q, at, 1));
    }
    for vm in 10..30 {
        let at = later(2_000 * vm as u64);
        q.record_success(at, variant(1));
        let death = at + Duration::from_millis(1);
        q.record_strike(death, &variant_strike(1, vm, death));
        assert!(may_run(&q, death, 1));
    }
}

/// Guards against a request that isn't stopped as it comes with another query each time, beside others with the same
/// content that run to their end; these aren't refused for it.
#[test]
fn record_strike_newcomers() {
    let mut q = new_with_three();
    let known = || (0..3).map(variant);
    known().for_each(|v| q.record_success(NOW, v));
    let mut at = NOW;
    let mut vm = 0;
    for pause in [6, 60, 300] {
        while vm < 12 && may_run(&q, at, BAD + vm as u128) {
            at = at + Duration::from_millis(500);
            q.record_strike(at, &variant_strike(BAD + vm as u128, vm, at));
            vm += 1;
            let runs: Vec<bool> = known().map(|v| !q.is_quarantined(at, v)).collect();
            assert_eq!(runs, [true; 3], "{vm}");
            known().for_each(|v| q.record_success(at, v));
        }
        for _ in 0..pause {
            assert!(!may_run(&q, at, BAD + vm as u128));
            at = at + Duration::from_secs(1);
            known().for_each(|v| q.record_success(at, v));
        }
    }
    assert_eq!(vm, 6);
}

/// Guards against the refusal of new queries for deaths of another cause: one that runs well between them speaks for
/// the others, and deaths under known ones don't count.
#[test]
fn record_strike_newcomers_harmless() {
    let mut q = new_with_three();
    q.record_success(NOW, variant(0));
    for vm in 0..20 {
        let at = later(1_000 + 2_000 * vm as u64);
        q.record_success(at, variant(0));
        q.record_strike(at, &variant_strike(vm as u128, vm, at));
        q.record_success(at + Duration::from_millis(1), variant(100 + vm as u128));
        assert!(may_run(&q, at, BAD));
    }
    let mut q = new_with_three();
    (0..4).for_each(|n| q.record_success(NOW, variant(n)));
    for vm in 0..20 {
        let at = later(1_000 + 500 * vm as u64);
        q.record_strike(at, &variant_strike(vm as u128 % 4, vm, at));
        q.record_success(at + Duration::from_millis(1), variant(vm as u128 % 4));
        assert!(may_run(&q, at, BAD));
    }
}

/// Processes that saw the success and those that saw the deaths agree once they have told each other.
#[test]
fn record_strike_proven_variant_told() {
    let (mut serving, mut struck) = (new_with_three(), new_with_three());
    serving.record_success(NOW, variant(BAD));
    let tell = |from: &Quarantine, to: &mut Quarantine, now| {
        for clearance in from.clearances_to_share(now, 64) {
            to.apply_clearance(now, clearance);
        }
        for strike in from.strikes_to_share(now, 64) {
            to.record_strike(now, &strike);
        }
    };
    for vm in 1..5 {
        let at = later(1_000 * vm as u64);
        struck.record_strike(at, &variant_strike(BAD, vm, at));
        tell(&struck, &mut serving, at);
        tell(&serving, &mut struck, at);
        for q in [&serving, &struck] {
            assert_eq!(may_run(q, at, BAD), vm < 4, "{vm}");
        }
    }
    let end = later(4_000) + Duration::from_secs(6);
    assert!(may_run(&serving, end, BAD) && may_run(&struck, end, BAD));
}
