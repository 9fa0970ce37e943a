//! Metrics of drafts and of the process.

use std::time::Duration;

use tokio::time::Instant;

use crate::app::Shared;

/// Measures the pace of one draft.
pub struct Pace {
    last: Instant,
    count: u32,
}

impl Pace {
    /// Starts with the arrival of the request.
    pub fn new(arrived: Instant) -> Self {
        Pace {
            last: arrived,
            count: 0,
        }
    }

    /// Takes in the next token.
    pub fn token(&mut self) {
        let now = Instant::now();
        let took = now.duration_since(self.last);
        self.last = now;
        self.count += 1;
        metrics::counter!("mustard_entry_tokens_total").increment(1);
        match self.count {
            1 => record("mustard_entry_first_token_seconds", took),
            _ => record("mustard_entry_token_gap_seconds", took),
        }
    }
}

/// Takes in the time of one exchange with the first agent of a chain.
pub fn step(took: Duration, ok: bool) {
    if ok {
        record("mustard_entry_step_seconds", took);
    } else {
        metrics::counter!("mustard_entry_steps_failed_total").increment(1);
    }
}

/// Takes in that an attempt was given up.
pub fn attempt_failed(reason: &'static str) {
    metrics::counter!("mustard_entry_attempts_failed_total", "reason" => reason).increment(1);
}

/// Sets the gauges, as a scrape begins.
pub fn set_gauges(shared: &Shared) {
    let ready = u32::from(shared.is_ready());
    metrics::gauge!("mustard_entry_ready").set(ready);
    metrics::gauge!("mustard_entry_requests_running").set(shared.gate.running() as f64);
    metrics::gauge!("mustard_entry_requests_waiting").set(shared.admissions.waiting() as f64);
    metrics::gauge!("mustard_entry_agents").set(shared.servers.agents().len() as f64);
}

fn record(name: &'static str, took: Duration) {
    metrics::histogram!(name).record(took.as_secs_f64());
}
