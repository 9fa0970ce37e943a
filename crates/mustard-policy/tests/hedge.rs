//! Second copies of slow requests: when they are sent, how many, and what they cost and bring under load.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use mustard_policy::budget_share::{Budget, RetryBudgetShare};
use mustard_policy::hedge::{Conditions, Denial, HedgePolicy, Settings, SettingsError};

const TARGET: Duration = Duration::from_millis(400);
/// A retry budget that is never used up.
const WIDE_BUDGET: Budget = Budget {
    ratio: 1.0,
    slack: 100_000.0,
    window: Duration::from_secs(10),
};
/// The budget of a deployment with 11 gateways.
const SITE_BUDGET: Budget = Budget {
    ratio: 0.2,
    slack: 238.0,
    window: Duration::from_secs(10),
};
const WITH_ROOM: Conditions = Conditions {
    waiting: 0,
    load: 0.1,
    is_suspect: false,
    attempts_left: 1,
};

/// Returns a moment after a minute without requests.
fn at(ms: u64) -> Moment {
    Moment::from_millis(60_000 + ms)
}

fn wait(hedge: &HedgePolicy) -> Duration {
    let delay = hedge.delay("r", TARGET, Class::Interactive, true);
    delay.unwrap().wait
}

/// Guards against values that operators can't have meant being taken silently.
#[test]
fn check_out_of_range() {
    let with = |share, rate, streams| Settings {
        share,
        rate,
        streams,
    };
    assert_eq!(Settings::default().check(), Ok(()));
    assert_eq!(with(0.2, 0.5, true).check(), Ok(()));
    assert_eq!(with(0.0, 20.0, false).check(), Ok(()));
    for share in [-0.01, 0.21, f64::INFINITY] {
        let checked = with(share, 20.0, false).check();
        assert_eq!(checked, Err(SettingsError::Share(share)));
    }
    assert!(with(f64::NAN, 20.0, false).check().is_err());
    for rate in [-1.0, 1_001.0, f64::INFINITY] {
        let checked = with(0.05, rate, false).check();
        assert_eq!(checked, Err(SettingsError::Rate(rate)));
    }
    for (share, rate) in [(0.0, 20.0), (0.05, 0.0)] {
        let checked = with(share, rate, true).check();
        assert_eq!(checked, Err(SettingsError::NoStreams));
    }
}

/// Guards against copies that are sent too early: half of the target until 50 times are measured, then the
/// time within which 95 in 100 requests complete, never before a quarter of the target.
#[test]
fn delay_measured() {
    let mut hedge = idle_policy(Settings::default(), 1);
    for ms in 1..50 {
        hedge.record_time("r", Duration::from_millis(ms * 6));
        assert_eq!(wait(&hedge), Duration::from_millis(200));
    }
    for ms in 50..=100 {
        hedge.record_time("r", Duration::from_millis(ms * 6));
    }
    assert_eq!(wait(&hedge), Duration::from_millis(95 * 6));
    for _ in 0..200 {
        hedge.record_time("r", Duration::from_millis(5));
    }
    assert_eq!(wait(&hedge), Duration::from_millis(100));
    let other = hedge.delay("other", TARGET, Class::Interactive, true);
    assert_eq!(other.unwrap().wait, Duration::from_millis(200));
}

/// Guards against copies although operators turned them off.
#[test]
fn delay_turned_off() {
    for (share, rate) in [(0.0, 20.0), (0.05, 0.0)] {
        let settings = Settings {
            share,
            rate,
            streams: false,
        };
        let hedge = idle_policy(settings, 1);
        assert_eq!(hedge.delay("r", TARGET, Class::Interactive, true), None);
    }
}

/// Returns the policy of one of several gateways that has had many requests and sent no copies.
fn idle_policy(settings: Settings, gateways: usize) -> HedgePolicy {
    let mut policy = HedgePolicy::new(settings, gateways, Moment::default());
    (0..1_000).for_each(|_| policy.record_request());
    policy
}

/// Returns the share of one of several processes that have been idle for long.
fn full_share(budget: Budget, processes: usize) -> RetryBudgetShare {
    let mut share = RetryBudgetShare::new(budget, Moment::default());
    share.observe_processes(processes);
    share.advance(at(0));
    share
}

/// Guards against a copy that adds load where there is none to spare, that could end another server, or that
/// the request's attempts don't allow.
#[test]
fn try_spend_conditions() {
    let mut hedge = idle_policy(Settings::default(), 1);
    let mut budget = full_share(WIDE_BUDGET, 1);
    let cases = [
        (
            Conditions {
                waiting: 1,
                ..WITH_ROOM
            },
            Denial::Waiting,
        ),
        (
            Conditions {
                load: 1.01,
                ..WITH_ROOM
            },
            Denial::NoRoom,
        ),
        (
            Conditions {
                is_suspect: true,
                ..WITH_ROOM
            },
            Denial::Suspect,
        ),
        (
            Conditions {
                attempts_left: 0,
                ..WITH_ROOM
            },
            Denial::Attempts,
        ),
    ];
    for (conditions, denial) in cases {
        let spent = hedge.try_spend(at(1_000), &conditions, &mut budget);
        assert_eq!(spent, Err(denial));
    }
    hedge.record_refusal(at(1_000));
    let spent = hedge.try_spend(at(10_900), &WITH_ROOM, &mut budget);
    assert_eq!(spent, Err(Denial::NoRoom));
    let spent = hedge.try_spend(at(11_100), &WITH_ROOM, &mut budget);
    assert_eq!(spent, Ok(()));
}

/// Guards against copies that take what retries need: they use at most half of what retries left of the budget,
/// also if all gateways want to send copies and retries all the time.
#[test]
fn try_spend_retry_budget() {
    let settings = Settings {
        share: 0.2,
        rate: 1_000.0,
        streams: false,
    };
    let mut hedges: Vec<_> = (0..11).map(|_| idle_policy(settings, 11)).collect();
    let mut budgets: Vec<_> = (0..11).map(|_| full_share(SITE_BUDGET, 11)).collect();
    let mut unused = budgets.clone();
    let (mut copies, mut retries, mut without_copies) = (0, 0, 0);
    for ms in (0..10_000).step_by(20) {
        unused.iter_mut().for_each(|b| b.record_request(at(ms)));
        for (hedge, budget) in hedges.iter_mut().zip(&mut budgets) {
            budget.record_request(at(ms));
            hedge.record_request();
            copies += u32::from(hedge.try_spend(at(ms), &WITH_ROOM, budget).is_ok());
        }
    }
    let requests = 11.0 * 500.0;
    let limit = 0.2 * requests + 238.0;
    assert!(f64::from(copies) <= limit / 2.0, "{copies} copies");
    assert!(copies > 300, "the budget was used: {copies} copies");
    let spend_all = |budget: &mut RetryBudgetShare| {
        let spent = (0..1_000).take_while(|_| budget.try_spend(at(10_000)));
        spent.count() as u32
    };
    for (budget, unused) in budgets.iter_mut().zip(&mut unused) {
        retries += spend_all(budget);
        without_copies += spend_all(unused);
        assert!(!budget.has_copy());
    }
    assert!(
        f64::from(copies + retries) <= limit,
        "{copies} and {retries}"
    );
    assert!(
        retries + 11 >= without_copies / 2,
        "{retries}, without copies {without_copies}"
    );
}

/// Guards against the gateways together sending more copies than the rate allows, and against one that hears
/// of fewer gateways than before taking a larger part. Each gateway may be one copy ahead.
#[test]
fn try_spend_rate_gateways() {
    for gateways in [11, 32, 68] {
        let settings = Settings {
            share: 0.2,
            rate: 20.0,
            streams: false,
        };
        let mut hedges: Vec<_> = (0..gateways).map(|_| idle_policy(settings, 4)).collect();
        let mut budget = full_share(WIDE_BUDGET, 1);
        let mut sent = 0;
        for ms in (0..30_000).step_by(10) {
            for hedge in &mut hedges {
                // After 10 s, each gateway is cut off from the others.
                hedge.observe_gateways(if ms < 10_000 { gateways } else { 1 });
                (0..5).for_each(|_| hedge.record_request());
                sent += usize::from(hedge.try_spend(at(ms), &WITH_ROOM, &mut budget).is_ok());
            }
        }
        assert!(sent <= 20 * 30 + gateways, "{gateways} gateways: {sent}");
        assert!(sent > 20 * 30 * 9 / 10, "{gateways} gateways: {sent}");
    }
}

/// Guards against gateways that are killed again and again and begin each time with saved copies, beyond the rate
/// and the share of all gateways.
#[test]
fn try_spend_restarted_gateways() {
    for gateways in [4, 11, 32] {
        for settings in [
            Settings {
                share: 0.2,
                rate: 20.0,
                streams: false,
            },
            Settings {
                share: 0.05,
                rate: 1_000.0,
                streams: false,
            },
        ] {
            let mut hedges = Vec::new();
            let mut budget = full_share(WIDE_BUDGET, 1);
            let (mut sent, mut requests) = (0.0, 0.0);
            for ms in (0..30_000).step_by(10) {
                if ms % 3_000 == 0 {
                    hedges.clear();
                    hedges.resize_with(gateways, || HedgePolicy::new(settings, gateways, at(ms)));
                }
                for hedge in &mut hedges {
                    if ms % 50 == 0 {
                        hedge.record_request();
                        requests += 1.0;
                    }
                    let spent = hedge.try_spend(at(ms), &WITH_ROOM, &mut budget);
                    sent += f64::from(u8::from(spent.is_ok()));
                }
            }
            let ahead = gateways as f64;
            assert!(
                sent <= settings.rate * 30.0 + ahead,
                "{gateways}: {sent} copies, {settings:?}"
            );
            assert!(
                sent <= settings.share * requests + ahead.max(20.0),
                "{gateways}: {sent} copies for {requests} requests, {settings:?}"
            );
            assert!(sent > 0.0, "{gateways}: {settings:?}");
        }
    }
}

/// The result of a simulated load.
#[derive(Clone, Copy, Debug)]
struct LoadResult {
    /// The copies that a server ran, as a share of the requests.
    added: f64,
    /// The time within which 99 in 100 of the requests that were answered were.
    slowest: Duration,
    refused: f64,
}

const GATEWAYS: usize = 11;
const SERVERS: usize = 6;
const SLOTS: usize = 6;
/// The mean time of a request on a server that isn't slow, in milliseconds.
const MEAN_MS: f64 = 60.0;
/// The share of requests that a server takes ten times as long for, such as after a pause of its process.
const SLOW_SHARE: f64 = 0.03;
const SLOW_FACTOR: f64 = 10.0;
/// How long each simulated load lasts; what happens before the second half isn't counted.
const LOAD_MS: u64 = 120_000;

/// A request in flight in the simulation.
struct InFlight {
    gateway: usize,
    begun: u64,
    server: usize,
    /// When a copy answers first, in milliseconds.
    ends: u64,
    /// When the second copy is due, unless that was decided.
    copy_at: Option<u64>,
}

/// Simulates gateways and servers of a plain service that refuse requests beyond their slots. A copy that
/// isn't waited for keeps its slot until its end, which is the most that it can cost. `load` is a multiple of
/// the capacity.
fn simulate_load(load: f64, settings: Settings, seed: u64) -> LoadResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mean_ms = MEAN_MS * (1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0));
    let rate_ms = load * (SERVERS * SLOTS) as f64 / mean_ms;
    let mut hedges: Vec<_> = (0..GATEWAYS)
        .map(|_| idle_policy(settings, GATEWAYS))
        .collect();
    let mut budgets = vec![full_share(SITE_BUDGET, GATEWAYS); GATEWAYS];
    let mut slots: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
    let mut running: Vec<InFlight> = Vec::new();
    let (mut times, mut requests, mut copies, mut refused) = (Vec::new(), 0, 0, 0);
    for ms in 0..LOAD_MS {
        let is_counted = ms >= LOAD_MS / 2;
        slots.iter_mut().for_each(|s| s.retain(|end| *end > ms));
        running.retain(|r| {
            if r.ends > ms {
                return true;
            }
            let took = Duration::from_millis(r.ends - r.begun);
            hedges[r.gateway].record_time("r", took);
            if is_counted {
                times.push(took);
            }
            false
        });
        let service_ms = |rng: &mut ChaCha8Rng| {
            let factor = if rng.random::<f64>() < SLOW_SHARE {
                SLOW_FACTOR
            } else {
                1.0
            };
            (MEAN_MS * factor * rng.random_range(0.5..1.5)) as u64
        };
        for i in 0..running.len() {
            if running[i].copy_at.is_none_or(|due| due > ms) {
                continue;
            }
            running[i].copy_at = None;
            let (gateway, first) = (running[i].gateway, running[i].server);
            let own = running.iter().filter(|r| r.gateway == gateway).count();
            let conditions = Conditions {
                load: ((own - 1) * GATEWAYS + 2) as f64 / (SERVERS * SLOTS) as f64,
                ..WITH_ROOM
            };
            let hedge = &mut hedges[gateway];
            if hedge
                .try_spend(at(ms), &conditions, &mut budgets[gateway])
                .is_err()
            {
                continue;
            }
            let second = (first + rng.random_range(1..SERVERS)) % SERVERS;
            if slots[second].len() >= SLOTS {
                hedge.record_refusal(at(ms));
                continue;
            }
            let end = ms + service_ms(&mut rng);
            slots[second].push(end);
            running[i].ends = running[i].ends.min(end);
            copies += u32::from(is_counted);
        }
        let mut arrivals = rate_ms;
        while arrivals > 0.0 {
            if rng.random::<f64>() >= arrivals.min(1.0) {
                arrivals -= 1.0;
                continue;
            }
            arrivals -= 1.0;
            let gateway = rng.random_range(0..GATEWAYS);
            hedges[gateway].record_request();
            budgets[gateway].record_request(at(ms));
            requests += u32::from(is_counted);
            // Of two random servers, the one with fewer requests; the other one if it refuses.
            let mut pair = sample(&mut rng, SERVERS, 2).into_vec();
            pair.sort_by_key(|s| slots[*s].len());
            let free = pair.iter().copied().find(|s| slots[*s].len() < SLOTS);
            let Some(server) = free else {
                hedges[gateway].record_refusal(at(ms));
                refused += u32::from(is_counted);
                continue;
            };
            let end = ms + service_ms(&mut rng);
            slots[server].push(end);
            let delay = hedges[gateway].delay("r", TARGET, Class::Interactive, true);
            running.push(InFlight {
                gateway,
                begun: ms,
                server,
                ends: end,
                copy_at: delay.map(|d| ms + d.wait.as_millis() as u64),
            });
        }
    }
    times.sort_unstable();
    LoadResult {
        added: f64::from(copies) / f64::from(requests),
        slowest: times[times.len() * 99 / 100],
        refused: f64::from(refused) / f64::from(requests),
    }
}

/// Compares the added load with the reduction of the slowest answers at 0.5, 1 and 2 times the capacity.
/// Guards against copies that exceed the operators' share or add load to servers that refuse requests.
#[test]
fn try_spend_under_load() {
    let with = Settings {
        rate: 1_000.0,
        ..Settings::default()
    };
    let without = Settings { share: 0.0, ..with };
    for seed in 0..3 {
        for load in [0.5, 1.0, 2.0] {
            let (base, hedged) = (
                simulate_load(load, without, seed),
                simulate_load(load, with, seed),
            );
            println!("load {load}, seed {seed}: without {base:?}, with {hedged:?}");
            // The share of requests that the operators set, in a window without the reserve.
            assert!(hedged.added <= 0.05, "{hedged:?}");
            if load < 1.0 {
                assert!(hedged.slowest < base.slowest, "{hedged:?} {base:?}");
            }
            if load > 1.0 {
                assert_eq!(hedged.added, 0.0, "load is added under overload");
                assert_eq!(hedged.refused, base.refused);
            }
        }
    }
}
