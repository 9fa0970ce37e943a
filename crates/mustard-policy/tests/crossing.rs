//! Streams that cross between failure domains after a domain has lost layers, simulated without
//! network: a jam in the bandwidth that all share.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::deployment::{Engine, StepTime};
use mustard_policy::pipeline::{CrossingBudget, are_crossings_scarce, crossing_capacity};

const GATEWAYS: usize = 21;
/// Requests a second of all gateways that have to cross: those of one domain of three while it lacks
/// layers, and those that find a server full at other times. The bandwidth carries 17.
const CROSSING_RATE: f64 = 37.0;
const USUAL_RATE: f64 = 3.0;
/// The time to the first event without a queue, and the target.
const USUAL_MS: f64 = 100.0;
const TARGET_MS: f64 = 600.0;
/// A stream without an event for so long is abandoned and sent again, once.
const PATIENCE_MS: f64 = 900.0;
/// The layers are missing from the first to the second moment.
const GAP_MS: std::ops::Range<u64> = 5_000..10_000;
const DAY_MS: u64 = 20_000;

fn engine() -> Engine {
    Engine {
        layers: 80,
        layer_mb: 1_750.0,
        kv_token_bytes: 459_000.0,
        step_time: StepTime {
            base_ms: 0.85,
            sequence_ms: 0.003,
            prompt_rate: 353_000.0,
        },
        slots: 192,
        activation_bytes: 16_400.0,
        pipe_mbps: 2_080.0,
        load_time: Duration::from_secs(14),
        parallel_loads: 6,
        mean_prompt: 772.0,
        mean_answer: 146.0,
        accelerators: Vec::new(),
    }
}

/// A request that waits for its first event.
#[derive(Clone, Copy)]
struct Waiting {
    gateway: usize,
    sent: u64,
    begins: f64,
    attempts: u32,
}

/// What happened to the requests that have to cross, by windows of 2 s.
#[derive(Clone, Copy, Default)]
struct Window {
    asked: u32,
    in_time: u32,
    refused: u32,
    lost: u32,
}

/// Simulates a deployment of which one in three domains lacks layers for five seconds: its requests
/// cross to another one. `is_limited` applies the budgets. Returns the windows.
fn simulate(seed: u64, is_limited: bool) -> Vec<Window> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let engine = engine();
    // One pair of domains; all crossings use it.
    let capacity = crossing_capacity(&engine, 2);
    let transfer_ms = 1e3 / capacity;
    let mut budgets = vec![CrossingBudget::new(Moment::default()); GATEWAYS];
    let mut free_at = 0.0_f64;
    let mut waiting: VecDeque<Waiting> = VecDeque::new();
    let mut windows = vec![Window::default(); (DAY_MS / 2_000) as usize];
    for now in 0..DAY_MS {
        let at = Moment::from_millis(now);
        let window = (now / 2_000) as usize;
        let mut send =
            |w: Waiting, budgets: &mut Vec<CrossingBudget>, windows: &mut Vec<Window>| {
                let rate = capacity / GATEWAYS as f64;
                if is_limited && !budgets[w.gateway].take(at, rate, 1) {
                    windows[window].refused += 1;
                    return None;
                }
                free_at = free_at.max(now as f64) + transfer_ms;
                Some(Waiting {
                    sent: now,
                    begins: free_at + USUAL_MS,
                    ..w
                })
            };
        let mut next = VecDeque::new();
        for w in std::mem::take(&mut waiting) {
            let waited = (now - w.sent) as f64;
            if w.begins <= now as f64 {
                let in_time = waited <= TARGET_MS;
                budgets[w.gateway].record_start(at, in_time);
                windows[window].in_time += u32::from(in_time && w.attempts == 1);
            } else if waited >= PATIENCE_MS {
                budgets[w.gateway].record_start(at, false);
                if w.attempts == 1 {
                    let again = Waiting { attempts: 2, ..w };
                    next.extend(send(again, &mut budgets, &mut windows));
                } else {
                    windows[window].lost += 1;
                }
            } else {
                next.push_back(w);
            }
        }
        waiting = next;
        // Some requests cross after the gap is filled too, where a server is still full.
        let rate = if GAP_MS.contains(&now) {
            CROSSING_RATE
        } else if now >= GAP_MS.end {
            USUAL_RATE
        } else {
            0.0
        };
        if rng.random_bool(rate / 1e3) {
            windows[window].asked += 1;
            let new = Waiting {
                gateway: rng.random_range(0..GATEWAYS),
                sent: now,
                begins: 0.0,
                attempts: 1,
            };
            waiting.extend(send(new, &mut budgets, &mut windows));
        }
    }
    windows
}

/// Sums the windows from one moment to another, in milliseconds.
fn sum(windows: &[Window], from: u64, to: u64) -> Window {
    let range = (from / 2_000) as usize..(to / 2_000) as usize;
    windows[range]
        .iter()
        .fold(Window::default(), |a, w| Window {
            asked: a.asked + w.asked,
            in_time: a.in_time + w.in_time,
            refused: a.refused + w.refused,
            lost: a.lost + w.lost,
        })
}

/// Guards against a jam that outlasts its cause: more streams cross than the bandwidth carries, are
/// abandoned, and are sent across again.
#[test]
fn take_jam_ends() {
    let share = |w: Window| f64::from(w.in_time) / f64::from(w.asked);
    let mut after = [Window::default(); 2];
    for seed in 0..20 {
        let limited = simulate(seed, true);
        let unlimited = simulate(seed, false);
        let during = [&limited, &unlimited].map(|w| share(sum(w, 6_000, 10_000)));
        let carried = crossing_capacity(&engine(), 2) / CROSSING_RATE;
        assert!(
            during[0] >= carried / 2.0,
            "seed {seed}: {during:?} in time during the gap, {carried} carried"
        );
        assert!(
            during[1] < 0.1,
            "seed {seed}: {during:?}: no jam to compare with"
        );
        for (total, windows) in after.iter_mut().zip([&limited, &unlimited]) {
            let window = sum(windows, 12_000, DAY_MS);
            total.asked += window.asked;
            total.refused += window.refused;
            total.in_time += window.in_time;
        }
        let lost = sum(&limited, 12_000, 20_000).lost;
        assert_eq!(lost, 0, "seed {seed}: requests lost after the gap");
    }
    let [limited, unlimited] = after;
    let sent = limited.asked - limited.refused;
    let in_time = f64::from(limited.in_time) / f64::from(sent);
    assert!(
        in_time >= 0.95,
        "{in_time} of those sent in time from 2 s after the gap"
    );
    let refused = f64::from(limited.refused) / f64::from(limited.asked);
    assert!(refused <= 0.3, "{refused} refused from 2 s after the gap");
    assert!(share(unlimited) < 0.1, "the jam ends by itself");
}

/// Guards against processes that are killed again and again and begin each time with saved crossings, so that all
/// together use more than the bandwidth carries.
#[test]
fn take_restarted_processes() {
    let (capacity, processes) = (20.0, 11);
    for life_ms in [300, 1_000, 2_500] {
        let mut budgets = Vec::new();
        let mut taken = 0;
        for ms in (60_000..80_000).step_by(10) {
            let now = Moment::from_millis(ms);
            if (ms - 60_000) % life_ms == 0 {
                budgets = vec![CrossingBudget::new(now); processes];
            }
            for budget in &mut budgets {
                let rate = capacity / processes as f64;
                taken += u32::from(budget.take(now, rate, 1));
            }
        }
        assert!(
            f64::from(taken) <= capacity * 20.0,
            "{taken} crossings, {life_ms} ms"
        );
    }
}

/// A calm deployment with wide connections between domains is never limited.
#[test]
fn take_wide_connections() {
    let wide = Engine {
        pipe_mbps: 9_300.0,
        ..engine()
    };
    let rate = crossing_capacity(&wide, 3) / 5.0;
    let mut budget = CrossingBudget::new(Moment::default());
    budget.take(Moment::from_millis(0), rate, 1);
    for ms in (1_000..11_000).step_by(66) {
        assert!(
            budget.take(Moment::from_millis(ms), rate, 2),
            "after {ms} ms"
        );
    }
}

/// Late starts lower the rate once for all that were late together; time raises it again, also without
/// a request that begins in time.
#[test]
fn record_start_recovers() {
    let mut budget = CrossingBudget::new(Moment::default());
    let at = |ms| Moment::from_millis(ms);
    let taken = |budget: &mut CrossingBudget, from: u64, to: u64| {
        (from..to)
            .filter(|&ms| budget.take(at(ms), 20.0, 1))
            .count()
    };
    let usual = taken(&mut budget, 1_000, 2_000);
    assert!(usual >= 20, "{usual} in a second at 20 a second");
    for _ in 0..10 {
        budget.record_start(at(2_000), false);
    }
    let reduced = taken(&mut budget, 2_000, 2_400);
    assert!(
        (4..=6).contains(&reduced),
        "{reduced} in 0.4 s at half of 20 a second"
    );
    let usual = taken(&mut budget, 4_000, 5_000);
    assert!(usual >= 20, "{usual} in a second after 2 s");
}

/// Requests that cross are refused at once by a server that is out of memory. Guards against a budget
/// that shrinks as if the bandwidth were used up.
#[test]
fn record_no_start_refused() {
    let at = Moment::from_millis;
    let target = Duration::from_millis(600);
    let taken = |waited: u64| {
        let mut budget = CrossingBudget::new(Moment::default());
        budget.take(at(1_000), 20.0, 1);
        (1_000..6_000)
            .filter(|&ms| {
                if ms % 500 == 0 {
                    budget.record_no_start(at(ms), Duration::from_millis(waited), target);
                }
                budget.take(at(ms), 20.0, 1)
            })
            .count()
    };
    let (refused, late) = (taken(8), taken(900));
    assert!(refused >= 99, "{refused} in 5 s after refusals");
    assert!(late <= 50, "{late} in 5 s after late ones");
}

/// Guards against measures that take effect in a deployment with wide connections, or not at all where
/// crossings can't carry a lost part.
#[test]
fn are_crossings_scarce_by_bandwidth() {
    // Deployment A of `docs/design/load-control.md`: 59 servers in three domains, about 52 crossings a
    // second.
    let narrow = Engine {
        pipe_mbps: 2_000.0,
        mean_prompt: 700.0,
        mean_answer: 142.0,
        ..engine()
    };
    assert!(are_crossings_scarce(&narrow, 59, 3));
    // Deployment B: 56 servers, about 140 crossings a second.
    let middle = Engine {
        pipe_mbps: 5_500.0,
        mean_answer: 200.0,
        ..narrow.clone()
    };
    assert!(are_crossings_scarce(&middle, 56, 3));
    // 18 of the same servers have more than 3 crossings a second each.
    assert!(!are_crossings_scarce(&narrow, 18, 3));
    assert!(!are_crossings_scarce(&narrow, 0, 3), "no servers");
    assert!(!are_crossings_scarce(&narrow, 59, 1), "no second domain");
}
