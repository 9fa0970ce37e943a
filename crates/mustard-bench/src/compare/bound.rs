//! Upper bound on the work that the hardware of a scenario can do.

use std::ops::RangeInclusive;

use super::arrivals::Request;
use super::scenario::{ANSWER_TOKENS, Accelerator, Fault, GROUPS, PROMPT_POSITIONS, Scenario};

/// The time step of the fluid model.
const STEP_S: f64 = 0.01;

/// Returns a request's share of the time of a server that runs full batches, in microseconds.
fn request_us(a: &Accelerator, prompt: f64, tokens: f64) -> f64 {
    let token_us = a.base_us / a.max_batch as f64 + a.step_us;
    prompt * a.position_us + tokens * token_us
}

fn range_mean(range: &RangeInclusive<u32>) -> f64 {
    f64::from(range.start() + range.end()) / 2.0
}

fn mean_request_us(a: &Accelerator) -> f64 {
    request_us(a, range_mean(&PROMPT_POSITIONS), range_mean(&ANSWER_TOKENS))
}

/// Returns the work of a request, as a multiple of a mean request's.
pub(crate) fn work(scenario: &Scenario, prompt: u32, tokens: u32) -> f64 {
    let servers = &scenario.servers;
    let sum_over = |f: &dyn Fn(&Accelerator) -> f64| -> f64 {
        servers.iter().map(|s| f(&s.accelerator)).sum()
    };
    sum_over(&|a| request_us(a, prompt.into(), tokens.into())) / sum_over(&mean_request_us)
}

/// Returns how many requests of mean size the servers can take per second, `at_s` seconds into the
/// run.
///
/// This is the capacity of the weakest group, since every request crosses all groups.
pub(crate) fn capacity(scenario: &Scenario, at_s: f64) -> f64 {
    let mut groups = [0.0; GROUPS];
    for (i, server) in scenario.servers.iter().enumerate() {
        let mut rate = 1e6 / mean_request_us(&server.accelerator);
        for (start_s, fault) in &scenario.faults {
            match fault {
                _ if *start_s > at_s => {}
                Fault::Slow(s, factor) if *s == i => rate /= factor,
                Fault::Dead(s) if *s == i => rate = 0.0,
                Fault::Slow(..) | Fault::Dead(_) => {}
            }
        }
        groups[server.group] += rate;
    }
    groups.into_iter().fold(f64::INFINITY, f64::min)
}

/// Returns the most work that can be done between warm-up and end, in mean requests.
///
/// Uses a fluid model: work arrives as offered and is served at capacity, and work that can't be
/// served before the longest deadline is lost. Links and batching cost nothing.
pub(crate) fn max_work(scenario: &Scenario, requests: &[Request]) -> f64 {
    let max_wait_s = scenario.customers.iter().map(|c| c.deadline_ms).max();
    let max_wait_s = max_wait_s.unwrap_or(0) as f64 / 1e3;
    let (mut waiting, mut done, mut next) = (0.0, 0.0, 0);
    let steps = (scenario.seconds / STEP_S).round() as usize;
    for step in 0..steps {
        let at_s = step as f64 * STEP_S;
        let due = |r: &Request| (r.arrived_at as f64) < (at_s + STEP_S) * 1e6;
        while let Some(request) = requests.get(next).filter(|r| due(r)) {
            waiting += work(scenario, request.prompt, request.tokens);
            next += 1;
        }
        let capacity = capacity(scenario, at_s);
        let served = f64::min(waiting, capacity * STEP_S);
        waiting = f64::min(waiting - served, capacity * max_wait_s);
        if at_s >= scenario.warmup_s {
            done += served;
        }
    }
    done
}
