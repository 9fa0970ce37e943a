//! Metrics of completion requests and of the entry process.

use std::time::Duration;

use tokio::time::Instant;

use crate::app::Shared;

/// Measures the time to the first token of one completion request and the gaps between its tokens.
pub struct TokenTimer {
    last_at: Instant,
    count: u32,
}

impl TokenTimer {
    /// Starts the timer at the arrival of the request.
    pub fn new(arrived: Instant) -> Self {
        TokenTimer {
            last_at: arrived,
            count: 0,
        }
    }

    /// Records that the next token was delivered.
    pub fn record_token(&mut self) {
        let now = Instant::now();
        let took = now.duration_since(self.last_at);
        self.last_at = now;
        self.count += 1;
        metrics::counter!("mustard_entry_tokens_total").increment(1);
        match self.count {
            1 => record_seconds("mustard_entry_first_token_seconds", took),
            _ => record_seconds("mustard_entry_token_gap_seconds", took),
        }
    }
}

/// Records the duration of one exchange with the first agent of a chain, or its failure.
pub fn record_step(took: Duration, ok: bool) {
    if ok {
        record_seconds("mustard_entry_step_seconds", took);
    } else {
        metrics::counter!("mustard_entry_steps_failed_total").increment(1);
    }
}

/// Counts an attempt that failed because of an error of a step.
pub fn count_failed_attempt(reason: &'static str) {
    metrics::counter!("mustard_entry_attempts_failed_total", "reason" => reason).increment(1);
}

/// Sets the gauges; called before each scrape.
pub fn set_gauges(shared: &Shared) {
    let ready = u32::from(shared.is_ready());
    metrics::gauge!("mustard_entry_ready").set(ready);
    metrics::gauge!("mustard_entry_requests_running").set(shared.gate.running() as f64);
    metrics::gauge!("mustard_entry_requests_waiting").set(shared.admissions.waiting() as f64);
    metrics::gauge!("mustard_entry_agents").set(shared.servers.agents().len() as f64);
}

fn record_seconds(name: &'static str, took: Duration) {
    metrics::histogram!(name).record(took.as_secs_f64());
}
