//! What the hardware of a scenario could answer at most.

use std::ops::RangeInclusive;

use super::arrivals::Request;
use super::scenario::{Accelerator, Fault, GROUPS, PROMPT, Scenario, TOKENS};

const STEP_S: f64 = 0.01;

/// The time that a request takes of a server that runs full batches, in microseconds.
fn request_us(a: &Accelerator, prompt: f64, tokens: f64) -> f64 {
    let step = a.base_us / a.batch as f64 + a.item_us;
    prompt * a.position_us + tokens * step
}

fn mean(range: &RangeInclusive<u32>) -> f64 {
    f64::from(range.start() + range.end()) / 2.0
}

fn mean_us(a: &Accelerator) -> f64 {
    request_us(a, mean(&PROMPT), mean(&TOKENS))
}

/// Returns the work of a request, where a mean one counts one.
pub(crate) fn work(scenario: &Scenario, prompt: u32, tokens: u32) -> f64 {
    let servers = &scenario.servers;
    let of = |f: &dyn Fn(&Accelerator) -> f64| -> f64 {
        servers.iter().map(|s| f(&s.accelerator)).sum()
    };
    of(&|a| request_us(a, prompt.into(), tokens.into())) / of(&mean_us)
}

/// Returns the requests per second that the servers take at a time: the least of all groups.
pub(crate) fn capacity(scenario: &Scenario, at: f64) -> f64 {
    let mut groups = [0.0; GROUPS];
    for (i, server) in scenario.servers.iter().enumerate() {
        let mut rate = 1e6 / mean_us(&server.accelerator);
        for (from, fault) in &scenario.faults {
            match fault {
                _ if *from > at => {}
                Fault::Slow(s, factor) if *s == i => rate /= factor,
                Fault::Dead(s) if *s == i => rate = 0.0,
                Fault::Slow(..) | Fault::Dead(_) => {}
            }
        }
        groups[server.group] += rate;
    }
    groups.into_iter().fold(f64::INFINITY, f64::min)
}

/// Returns the work that could be done between warm-up and end, in mean requests.
///
/// Requests are taken for a fluid that arrives as offered and is served at capacity; what can't
/// be served before the longest deadline is lost. Links and batching cost nothing.
pub(crate) fn answers(scenario: &Scenario, requests: &[Request]) -> f64 {
    let patience = scenario.customers.iter().map(|c| c.deadline_ms).max();
    let patience = patience.unwrap_or(0) as f64 / 1e3;
    let (mut waiting, mut answered, mut next) = (0.0, 0.0, 0);
    let steps = (scenario.seconds / STEP_S).round() as usize;
    for step in 0..steps {
        let at = step as f64 * STEP_S;
        let due = |r: &Request| (r.at as f64) < (at + STEP_S) * 1e6;
        while let Some(request) = requests.get(next).filter(|r| due(r)) {
            waiting += work(scenario, request.prompt, request.tokens);
            next += 1;
        }
        let capacity = capacity(scenario, at);
        let served = f64::min(waiting, capacity * STEP_S);
        waiting = f64::min(waiting - served, capacity * patience);
        if at >= scenario.warmup {
            answered += served;
        }
    }
    answered
}
