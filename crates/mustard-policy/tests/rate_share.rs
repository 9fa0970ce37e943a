//! The shares of a server's limit, alone and of many processes together.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::check;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_policy::rate_share::RateShare;
use mustard_policy::subset::rank_by_hash;

const fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn share(limit: f64, processes: usize, rank: usize) -> RateShare {
    let mut share = RateShare::new(at(0), limit);
    share.divide(at(0), processes, rank);
    share
}

/// Sends whenever it is allowed, at each millisecond up to `to`; returns how many requests.
fn send_all(share: &mut RateShare, from: u64, to: u64) -> u32 {
    let mut sent = 0;
    for ms in from..to {
        if share.wait(at(ms)) == Some(Duration::ZERO) {
            share.take(at(ms));
            sent += 1;
        }
    }
    sent
}

#[test]
fn take_alone() {
    let mut share = share(5.0, 1, 0);
    assert_eq!(send_all(&mut share, 0, 10_000), 49);
    assert_eq!(share.wait(at(10_000)), Some(Duration::ZERO));
}

/// Guards against a burst of what an idle process has saved.
#[test]
fn take_after_idle_time() {
    let mut share = share(8.0, 1, 0);
    assert!(send_all(&mut share, 60_000, 61_000) <= 10);
}

/// Guards against requests of processes that learn of the limit at the same time.
#[test]
fn take_just_named() {
    let share = share(4.0, 4, 1);
    assert_eq!(share.wait(at(0)), Some(Duration::from_secs(1)));
}

#[test]
fn divide_below_one() {
    assert_eq!(share(0.5, 4, 1).wait(at(0)), None);
    assert_eq!(share(0.5, 4, 0).wait(at(0)), Some(Duration::from_secs(2)));
    assert_eq!(share(0.0, 4, 0).wait(at(0)), None);
}

#[test]
fn set_limit_lower() {
    let mut share = share(100.0, 1, 0);
    share.set_limit(at(5_000), 1.0);
    share.divide(at(5_000), 1, 0);
    assert!(send_all(&mut share, 5_000, 9_000) <= 5);
}

/// Many processes that always have something to send or begin after idle times, that join and leave
/// and see that late, keep together to a limit that changes: in 4 s at most one and a half times what
/// it allows, and 5 requests.
#[test]
fn take_many_processes() {
    check!()
        .with_iterations(60)
        .with_type::<u64>()
        .for_each(|seed| {
            let rng = &mut ChaCha8Rng::seed_from_u64(*seed);
            let total = rng.random_range(1..40);
            let names: Vec<String> = (0..total).map(|n| format!("gateway-{n}")).collect();
            let mut limit = rng.random_range(0.2..60.0);
            let mut shares = vec![RateShare::new(at(0), limit); total];
            // Processes that are gone, as the others learn only after a while.
            let mut gone = vec![false; total];
            let mut sent: Vec<u64> = Vec::new();
            let mut highest = vec![(0, limit)];
            for ms in (0..30_000).step_by(5) {
                if ms % 500 == 0 {
                    let known: Vec<usize> = (0..total).filter(|n| !gone[*n]).collect();
                    for &n in &known {
                        let others: Vec<&str> = known
                            .iter()
                            .filter(|o| **o != n)
                            .map(|o| names[*o].as_str())
                            .collect();
                        let rank = rank_by_hash("server", &names[n], &others);
                        shares[n].divide(at(ms), others.len() + 1, rank);
                    }
                }
                if rng.random_bool(0.001) {
                    limit = rng.random_range(0.2..60.0);
                    highest.push((ms, limit));
                    shares.iter_mut().for_each(|s| s.set_limit(at(ms), limit));
                }
                if rng.random_bool(0.001) && total > 3 {
                    let n = rng.random_range(0..total);
                    // At most a quarter of them is away.
                    if gone.iter().filter(|g| **g).count() < total / 4 || gone[n] {
                        gone[n] = !gone[n];
                    }
                }
                let busy = rng.random_bool(0.7);
                for n in 0..total {
                    if busy && !gone[n] && shares[n].wait(at(ms)) == Some(Duration::ZERO) {
                        shares[n].take(at(ms));
                        sent.push(ms);
                    }
                }
                let from = ms.saturating_sub(4_000);
                sent.retain(|s| *s > from);
                let before = highest
                    .iter()
                    .rev()
                    .find(|(t, _)| *t <= from.saturating_sub(500));
                let since = highest
                    .iter()
                    .filter(|(t, _)| *t > from.saturating_sub(500));
                let allowed = since.chain(before).map(|(_, l)| *l).fold(0.0, f64::max);
                let allowed = 1.5 * 4.0 * allowed + 5.0;
                assert!(
                    sent.len() as f64 <= allowed,
                    "seed {seed}: {} of {allowed}",
                    sent.len()
                );
            }
        });
}
