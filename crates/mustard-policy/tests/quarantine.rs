//! Quarantine of killing contents that share servers with innocent ones.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::check;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::quarantine::{Quarantine, Settings, Standing, Strike};

const KILLER: Fingerprint = Fingerprint(7);
const NOW: Moment = Moment::from_millis(1_000);

fn innocents(rng: &mut ChaCha8Rng, count: usize) -> Vec<Fingerprint> {
    (0..count)
        .map(|_| Fingerprint(u128::from(rng.random::<u64>()) + 100))
        .collect()
}

fn is_quarantined(q: &Quarantine, f: Fingerprint) -> bool {
    matches!(q.standing(NOW, f), Standing::Quarantined(_))
}

/// The killing content is quarantined at its second distinct server, where it runs apart from
/// other suspects; contents that shared its batches never are.
#[test]
fn blame_shared_batches() {
    check!()
        .with_iterations(500)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let mut q = Quarantine::default();
            let mut shared = Vec::new();
            for vm in ["vm-0", "vm-1"] {
                assert!(!is_quarantined(&q, KILLER));
                let count = rng.random_range(1..20);
                let others = innocents(&mut rng, count);
                let mut running = others.clone();
                running.push(KILLER);
                running.shuffle(&mut rng);
                for strike in q.blame(NOW, vm, &running) {
                    q.strike(NOW, &strike);
                }
                shared.extend(others);
            }
            assert!(is_quarantined(&q, KILLER));
            assert!(shared.iter().all(|f| !is_quarantined(&q, *f)));
            assert_eq!(q.list(NOW).count(), 1);
        });
}

/// An innocent content that shares two batches with the killing one is not quarantined by it.
#[test]
fn blame_same_neighbour_twice() {
    let mut q = Quarantine::default();
    let neighbour = Fingerprint(8);
    for vm in ["vm-0", "vm-1"] {
        for strike in q.blame(NOW, vm, &[KILLER, neighbour]) {
            q.strike(NOW, &strike);
        }
    }
    assert_eq!(q.standing(NOW, neighbour), Standing::Suspect);
    // Run apart, only the killing one dies again.
    for strike in q.blame(NOW, "vm-2", &[KILLER]) {
        q.strike(NOW, &strike);
    }
    assert!(is_quarantined(&q, KILLER));
    assert!(!is_quarantined(&q, neighbour));
    assert!(q.clear(NOW, neighbour));
    assert_eq!(q.standing(NOW, neighbour), Standing::Clear);
}

/// Processes that hear the same strikes in any order and number agree.
#[test]
fn strike_any_order() {
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
                    q.strike(NOW, strike);
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

/// The memory is bounded and strikes run out.
#[test]
fn strike_capacity_and_expiry() {
    let settings = Settings {
        capacity: 10,
        ..Settings::default()
    };
    let mut q = Quarantine::new(settings);
    for i in 0..100 {
        let fingerprint = Fingerprint(i);
        let vm = "vm".to_owned();
        let shared = 1;
        q.strike(
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
    let later = NOW + settings.life;
    assert!(q.strikes(later).is_empty());
    assert_eq!(q.standing(later, Fingerprint(99)), Standing::Clear);
}

/// With three deaths asked for, two servers that died under a content don't condemn it.
#[test]
fn strike_third_server() {
    let mut quarantine = Quarantine::new(Settings {
        deaths: 3,
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
        quarantine.strike(now, &strike)
    };
    assert!(!strike("a"));
    assert!(!strike("b"));
    assert!(!strike("a"), "the same server counts once");
    assert!(strike("c"));
}

fn strike_at(vm: usize, at: Moment) -> Strike {
    Strike {
        fingerprint: KILLER,
        vm: format!("vm-{vm}"),
        shared: 1,
        at,
    }
}

/// Pattern: a popular content meets servers that die of other causes, and runs to its end between.
/// What is cleared here stays cleared, whatever other processes still tell.
#[test]
fn clear_strikes_told_again() {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    for vm in 0..2 {
        there.strike(NOW, &strike_at(vm, NOW));
    }
    let told = there.strikes(NOW);
    for s in &told {
        here.strike(NOW, s);
    }
    assert!(is_quarantined(&here, KILLER));
    let later = NOW + Duration::from_secs(1);
    assert!(here.clear(later, KILLER));
    for s in &told {
        here.strike(later, s);
    }
    assert_eq!(here.standing(later, KILLER), Standing::Clear);
    // The other process hears of it, and a strike after it counts again.
    here.clearances(later).for_each(|c| there.take(later, c));
    assert_eq!(there.standing(later, KILLER), Standing::Clear);
    let death = later + Duration::from_secs(1);
    there.strike(death, &strike_at(3, death));
    assert_eq!(there.standing(death, KILLER), Standing::Suspect);
}

/// A strike lives as long as its age allows, however often it is told.
#[test]
fn strike_told_again_expires() {
    let life = Settings::default().life;
    let mut q = Quarantine::default();
    let late = NOW + life - Duration::from_secs(1);
    assert!(!q.strike(late, &strike_at(0, NOW)));
    q.strike(late, &strike_at(1, NOW));
    assert!(is_quarantined(&q, KILLER));
    let after = NOW + life + Duration::from_secs(1);
    q.strike(after, &strike_at(0, NOW));
    assert_eq!(q.standing(after, KILLER), Standing::Clear);
    assert_eq!(q.strikes(after).len(), 0);
}
