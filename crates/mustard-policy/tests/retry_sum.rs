//! The retries of all processes together, while processes are killed, restarted, frozen, added and cut off:
//! a simulation without network. Each test guards against processes that spend a budget again after a restart.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_policy::budget_share::{Budget, RetryBudgetShare};

const BUDGET: Budget = Budget {
    ratio: 0.2,
    slack: 238.0,
    window: Duration::from_secs(10),
};
const STEP_MS: u64 = 20;
const WINDOW_STEPS: usize = 500;
/// How long others need to learn of a process at a new address.
const NEWS_STEPS: usize = 100;

/// When callers' requests fail, so that processes want to retry.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failures {
    /// All the time.
    Always,
    /// For 1.5 s in every 12 s, so that all that may be saved is spent at once.
    Bursts,
    /// At each process just before it is killed, and while it is young.
    AroundKills,
}

/// What happens to the processes of a run.
#[derive(Clone, Copy, Debug)]
struct Day {
    gateways: usize,
    /// Requests per second of all callers.
    rate: f64,
    failures: Failures,
    /// The interval between kills, and the part of the processes that each ends.
    kills: Option<(usize, f64)>,
    /// The steps that a killed process needs to start again.
    restart_steps: usize,
    /// The part of the processes that is frozen for two seconds in every seven.
    frozen: f64,
    /// The processes that are added after 20 s.
    added: usize,
    /// Whether processes that start can't learn how many there are, for three seconds.
    cut_off: bool,
    /// Whether the traffic swings between a third and three times the rate and moves between processes.
    swings: bool,
}

const CALM: Day = Day {
    gateways: 11,
    rate: 290.0,
    failures: Failures::Always,
    kills: None,
    restart_steps: 30,
    frozen: 0.0,
    added: 0,
    cut_off: false,
    swings: false,
};

struct Process {
    share: RetryBudgetShare,
    /// The first step at which it runs.
    starts: usize,
    /// Requests that arrived while it was frozen.
    queued: u32,
    weight: f64,
}

/// The requests and retries of all processes in each step.
struct Counts {
    requests: Vec<f64>,
    retries: Vec<f64>,
}

fn moment(step: usize) -> Moment {
    Moment::from_millis(100_000 + step as u64 * STEP_MS)
}

/// Starts a process that knows of `known` processes, itself included; `None` if it can't learn of any.
fn start_share(step: usize, known: Option<usize>) -> RetryBudgetShare {
    let mut share = RetryBudgetShare::new(BUDGET, moment(step));
    if let Some(known) = known {
        share.observe_processes(known);
    }
    share
}

fn play(day: Day, seed: u64) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let steps = 60 * 1_000 / STEP_MS as usize;
    let mut counts = Counts {
        requests: vec![0.0; steps],
        retries: vec![0.0; steps],
    };
    let mut processes: Vec<Process> = (0..day.gateways)
        .map(|_| Process {
            share: start_share(0, Some(day.gateways)),
            starts: 0,
            queued: 0,
            weight: rng.random_range(0.3..1.7),
        })
        .collect();
    let kill_offset = rng.random_range(0..WINDOW_STEPS);
    let mut level = 1.0;
    for step in 0..steps {
        let now = moment(step);
        let time_to_kill = day
            .kills
            .map_or(usize::MAX, |(gap, _)| gap - (step + kill_offset) % gap);
        if let Some((_, part)) = day.kills
            && time_to_kill == 1
        {
            let count = (processes.len() as f64 * part).ceil() as usize;
            let all: Vec<usize> = (0..processes.len()).collect();
            let known = (!day.cut_off).then_some(processes.len());
            for i in all.choose_multiple(&mut rng, count) {
                let starts = step + day.restart_steps + rng.random_range(0..10);
                processes[*i].share = start_share(starts, known);
                processes[*i].starts = starts;
            }
        }
        if step == 1_000 {
            let all = processes.len() + day.added;
            processes.extend((0..day.added).map(|_| Process {
                share: start_share(step, Some(all)),
                starts: step,
                queued: 0,
                weight: 1.0,
            }));
        }
        if step == 1_000 + NEWS_STEPS && day.added > 0 {
            let all = processes.len();
            for p in &mut processes {
                p.share.observe_processes(all);
            }
        }
        if day.cut_off {
            let all = processes.len();
            for p in processes.iter_mut().filter(|p| step == p.starts + 150) {
                p.share.observe_processes(all);
            }
        }
        if day.swings && step % 200 == 0 {
            level = *[0.33, 1.0, 1.0, 3.0].choose(&mut rng).unwrap_or(&1.0);
            for p in &mut processes {
                p.weight = rng.random_range(0.0..1.0_f64).powi(3);
            }
        }
        let frozen = (day.frozen * processes.len() as f64).ceil() as usize;
        let is_frozen = |i: usize| step % 350 < 100 && i < frozen;
        let total: f64 = processes
            .iter()
            .filter(|p| step >= p.starts)
            .map(|p| p.weight)
            .sum();
        for (i, p) in processes.iter_mut().enumerate() {
            if step < p.starts {
                continue;
            }
            let mean = day.rate * level * STEP_MS as f64 / 1e3 * p.weight / total.max(1e-9);
            let arrived = mean.floor() as u32 + u32::from(rng.random::<f64>() < mean.fract());
            counts.requests[step] += f64::from(arrived);
            p.queued += arrived;
            if is_frozen(i) {
                continue;
            }
            for _ in 0..std::mem::take(&mut p.queued) {
                p.share.record_request(now);
            }
            let fails = match day.failures {
                Failures::Always => true,
                Failures::Bursts => step % 600 < 75,
                Failures::AroundKills => time_to_kill < 10 || step < p.starts + 150,
            };
            while fails && p.share.try_spend(now) {
                counts.retries[step] += 1.0;
            }
        }
    }
    counts
}

/// Returns the largest excess of retries over the budget in any window, and the largest part of it that is used.
fn worst_window(counts: &Counts) -> (f64, f64) {
    let sums = |values: &[f64]| -> Vec<f64> {
        let mut sum = 0.0;
        let prefix = values.iter().map(|v| {
            sum += v;
            sum
        });
        std::iter::once(0.0).chain(prefix).collect()
    };
    let (requests, retries) = (sums(&counts.requests), sums(&counts.retries));
    let end = counts.requests.len();
    let between = |sums: &[f64], from: usize, to: usize| sums[to.min(end)] - sums[from.min(end)];
    let mut worst = (f64::NEG_INFINITY, 0.0_f64);
    for start in 0..end {
        let early = start.saturating_sub(WINDOW_STEPS);
        let half = start.saturating_sub(WINDOW_STEPS / 2);
        let counted = between(&requests, start, start + WINDOW_STEPS)
            .max(between(&requests, early, early + WINDOW_STEPS.min(start)))
            .max(between(&requests, half, half + WINDOW_STEPS));
        let allowed = BUDGET.ratio * counted + BUDGET.slack;
        let used = between(&retries, start, start + WINDOW_STEPS);
        worst.0 = worst.0.max(used - allowed);
        worst.1 = worst.1.max(used / allowed);
    }
    worst
}

/// Plays a day with several seeds and asserts that no window exceeds the budget.
fn assert_sum_holds(day: Day) {
    for seed in 0..5 {
        let (excess, used) = worst_window(&play(day, seed));
        assert!(
            excess <= 0.0,
            "{excess:.0} retries beyond the budget, {used:.2} of it used, seed {seed}: {day:?}"
        );
    }
}

/// Sizes of deployments, each with the rate of requests at which the 11 gateways of one of them work.
fn sizes() -> impl Iterator<Item = Day> {
    [1, 4, 11, 32, 68].into_iter().map(|gateways| Day {
        gateways,
        rate: 26.0 * gateways as f64,
        ..CALM
    })
}

const ALL_FAILURES: [Failures; 3] = [Failures::Always, Failures::Bursts, Failures::AroundKills];

/// Guards against more repeats than allowed while nothing is disrupted.
#[test]
fn spend_sum_calm() {
    for day in sizes() {
        assert_sum_holds(day);
        assert_sum_holds(Day {
            failures: Failures::Bursts,
            ..day
        });
    }
}

/// Guards against more repeats than allowed because killed processes start with an empty record.
#[test]
fn spend_sum_some_killed() {
    for failures in ALL_FAILURES {
        for day in sizes() {
            assert_sum_holds(Day {
                failures,
                kills: Some((190, 0.55)),
                ..day
            });
        }
    }
}

/// Guards against the same if all processes are killed again and again.
#[test]
fn spend_sum_all_killed() {
    for failures in ALL_FAILURES {
        for day in sizes() {
            for gap in [60, 150, 300] {
                assert_sum_holds(Day {
                    failures,
                    kills: Some((gap, 1.0)),
                    ..day
                });
            }
        }
    }
}

/// Guards against the same in planned restarts, one process after the other.
#[test]
fn spend_sum_planned_restarts() {
    for failures in ALL_FAILURES {
        for day in sizes() {
            assert_sum_holds(Day {
                failures,
                kills: Some((40, 1.0 / day.gateways as f64)),
                restart_steps: 15,
                ..day
            });
        }
    }
}

/// Guards against processes that take a share before the others know of them.
#[test]
fn spend_sum_scale_out() {
    for failures in ALL_FAILURES {
        for day in sizes() {
            assert_sum_holds(Day {
                failures,
                added: day.gateways,
                ..day
            });
            assert_sum_holds(Day {
                failures,
                added: day.gateways,
                kills: Some((190, 0.55)),
                ..day
            });
        }
    }
}

/// Guards against processes that divide by too few while they can't learn how many there are.
#[test]
fn spend_sum_cut_off() {
    for failures in ALL_FAILURES {
        for day in sizes() {
            assert_sum_holds(Day {
                failures,
                kills: Some((190, 1.0)),
                cut_off: true,
                ..day
            });
        }
    }
}

/// Guards against requests that are counted late, and traffic that moves between processes as they are killed.
#[test]
fn spend_sum_swings_and_freezes() {
    for failures in ALL_FAILURES {
        for day in sizes() {
            assert_sum_holds(Day {
                failures,
                kills: Some((190, 0.55)),
                frozen: 0.35,
                swings: true,
                ..day
            });
            assert_sum_holds(Day {
                failures,
                swings: true,
                ..day
            });
        }
    }
}
