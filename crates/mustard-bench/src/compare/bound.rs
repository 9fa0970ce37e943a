//! What the hardware of a scenario could answer at most.

use super::scenario::{Accelerator, Fault, GROUPS, PROMPT, Scenario, TOKENS};

const STEP_S: f64 = 0.01;

/// The time that a mean request takes of a server that runs full batches, in seconds.
fn request_s(a: &Accelerator) -> f64 {
    let mean = |r: &std::ops::RangeInclusive<u32>| f64::from(r.start() + r.end()) / 2.0;
    let step = a.base_us / a.batch as f64 + a.item_us;
    (mean(&PROMPT) * a.position_us + mean(&TOKENS) * step) / 1e6
}

/// Returns the requests per second that the servers take at a time: the least of all groups.
pub(crate) fn capacity(scenario: &Scenario, at: f64) -> f64 {
    let mut groups = [0.0; GROUPS];
    for (i, server) in scenario.servers.iter().enumerate() {
        let mut rate = 1.0 / request_s(&server.accelerator);
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

/// Returns the requests that could be answered between warm-up and end.
///
/// Requests are taken for a fluid that arrives as offered and is served at capacity; what can't
/// be served before the longest deadline is lost. Links and batching cost nothing.
pub(crate) fn answers(scenario: &Scenario, arrivals: &[f64]) -> f64 {
    let patience = scenario.customers.iter().map(|c| c.deadline_ms).max();
    let patience = patience.unwrap_or(0) as f64 / 1e3;
    let (mut waiting, mut answered, mut next) = (0.0, 0.0, 0);
    let steps = (scenario.seconds / STEP_S).round() as usize;
    for step in 0..steps {
        let at = step as f64 * STEP_S;
        while next < arrivals.len() && arrivals[next] < at + STEP_S {
            waiting += 1.0;
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
