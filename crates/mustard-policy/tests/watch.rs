//! Stalled streams, servers out of use and the shared retry budget.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_policy::backoff::{Fault, ServerBackoff};
use mustard_policy::budget_share::{Budget, RetryBudgetShare};
use mustard_policy::stall::{PauseEstimate, Progress, TimerLateness};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

const BUDGET: Budget = Budget {
    ratio: 0.2,
    slack: 198.0,
    window: Duration::from_secs(10),
};

/// Returns the share of one of several processes that start at once.
fn new_share(processes: usize) -> RetryBudgetShare {
    let mut share = RetryBudgetShare::new(BUDGET, at(0));
    share.observe_processes(processes);
    share
}

#[test]
fn limit_usual_pauses() {
    let mut pauses = PauseEstimate::default();
    for _ in 0..1_000 {
        pauses.observe(Duration::from_millis(30));
    }
    let limit = pauses.limit();
    assert!(
        limit >= Duration::from_millis(60) && limit <= Duration::from_millis(120),
        "{limit:?}"
    );
    for _ in 0..1_000 {
        pauses.observe(Duration::from_secs(2));
    }
    assert!(pauses.limit() <= Duration::from_millis(400));
}

#[test]
fn should_ask_begun() {
    let limit = Duration::from_millis(60);
    let mut progress = Progress::start(at(900));
    progress.advance(at(1_000));
    assert!(!progress.should_ask(at(1_050), limit));
    assert!(progress.should_ask(at(1_061), limit));
    progress.record_ask(at(1_061));
    assert!(
        !progress.should_ask(at(1_100), limit),
        "the servers were asked just now"
    );
    assert!(progress.should_ask(at(1_300), limit));
    let waiting = Progress::start(at(1_000));
    assert!(
        !waiting.should_ask(at(1_100), limit),
        "prefill takes longer than a step"
    );
}

/// The servers of a stream that is stalled for two seconds are asked a few times only, not at each
/// check.
#[test]
fn should_ask_slow_servers() {
    let limit = Duration::from_millis(60);
    let mut progress = Progress::start(at(0));
    progress.advance(at(0));
    let mut asks = 0;
    for ms in (0..2_000).step_by(15) {
        if progress.should_ask(at(ms), limit) {
            progress.record_ask(at(ms));
            asks += 1;
        }
    }
    assert!((2..=5).contains(&asks), "{asks}");
}

#[test]
fn record_fault_silent_again() {
    let mut backoff = ServerBackoff::default();
    backoff.record_fault(at(0), Fault::Silent);
    let first = backoff.until();
    backoff.record_fault(first, Fault::Silent);
    assert!(backoff.until().since(first) > first.since(at(0)));
    backoff.clear();
    assert!(!backoff.is_backing_off(first));
}

/// A full server has free memory again as soon as a request ends, so repeated refusals must not
/// prolong its backoff.
#[test]
fn record_fault_full_often() {
    let mut backoff = ServerBackoff::default();
    for i in 0..20 {
        backoff.record_fault(at(i * 10), Fault::Full);
    }
    assert!(!backoff.is_backing_off(at(190 + 151)));
}

/// Eight gateways want to retry all the time. Together they must stay within the shared budget.
#[test]
fn try_spend_eight_processes() {
    let mut all: Vec<RetryBudgetShare> = (0..8).map(|_| new_share(8)).collect();
    let mut spent = 0;
    for ms in 0..10_000 {
        for share in &mut all {
            if ms % 50 == 0 {
                share.record_request(at(ms));
            }
            spent += u32::from(share.try_spend(at(ms)));
        }
    }
    let requests = 8.0 * 200.0;
    assert!(
        f64::from(spent) <= 0.2 * requests + 198.0,
        "{spent} retries"
    );
}

/// A gateway that doesn't see the others any more must not take a larger share of the budget.
#[test]
fn observe_processes_fewer() {
    let spent = |counted: &[usize]| {
        let mut share = new_share(4);
        counted.iter().for_each(|n| share.observe_processes(*n));
        (0..20_000).filter(|ms| share.try_spend(at(*ms))).count()
    };
    assert!(spent(&[]) > 0);
    assert_eq!(spent(&[1]), spent(&[]));
    assert!(spent(&[8]) < spent(&[]));
    assert_eq!(spent(&[8, 4]), spent(&[8]));
}

/// What was spent comes back only as time passes, and no more of it than was saved before.
#[test]
fn try_spend_window_over() {
    let mut share = new_share(4);
    let mut spend_all = |ms| {
        share.advance(at(ms));
        (0..1_000).filter(|_| share.try_spend(at(ms))).count()
    };
    assert_eq!(spend_all(0), 0, "a process that has just started");
    let saved = spend_all(60_000);
    assert!(saved > 10, "{saved}");
    assert_eq!(spend_all(60_000), 0);
    let earned = spend_all(70_000);
    assert!((1..saved).contains(&earned), "{earned} of {saved}");
    assert!(saved + earned <= 198 / 4, "{saved} and {earned}");
    assert!(spend_all(600_000) <= saved);
}

/// Guards against a part of the fixed number for a process that doesn't know among how many it is divided.
#[test]
fn try_spend_processes_unknown() {
    let mut share = RetryBudgetShare::new(BUDGET, at(0));
    assert!(!(0..60_000).any(|ms| share.try_spend(at(ms))));
    (0..100).for_each(|_| share.record_request(at(60_000)));
    assert!(share.try_spend(at(60_000)), "requests earn all the same");
}

/// The log shows how late a process was, so that its timeouts can be explained.
#[test]
fn since_late_timers() {
    let mut lateness = TimerLateness::default();
    lateness.record(at(990), Duration::from_millis(40));
    lateness.record(at(1_016), Duration::from_millis(1));
    lateness.record(at(1_033), Duration::from_millis(18));
    assert_eq!(lateness.since(at(1_000)), Duration::from_millis(19));
}

#[test]
fn written_suspended_process() {
    let mut progress = Progress::start(at(0));
    progress.advance(at(1_000));
    assert_eq!(
        progress.written,
        Duration::ZERO,
        "the prompt was processed first"
    );
    progress.advance(at(1_050));
    progress.advance(at(5_000));
    assert_eq!(progress.written, Duration::from_millis(150));
    progress.record_move(at(5_010));
    progress.advance(at(5_030));
    assert_eq!(progress.written, Duration::from_millis(30));
}
