//! Callers that send drafts and bookings and check and count the answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::caller::{Caller, Draft, expected_text};
use crate::http::Answer;
use crate::plan::{MODEL, Plan, SERVICE};

use super::tally::{KeyRecord, Tally};

/// The longest gap between two tokens that is not reported as a stall.
const STALL_LIMIT: Duration = Duration::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How often one booking is sent at most.
const MAX_ATTEMPTS: usize = 6;
/// The probability that a caller sends a successful booking again.
const REPEAT_PROBABILITY: f64 = 0.2;
/// The probability that a caller doesn't retry a booking that was refused as not run.
const GIVE_UP_PROBABILITY: f64 = 0.3;

/// A load thread: one caller that uses both entry processes.
pub(super) struct Worker {
    callers: [Caller; 2],
    rng: ChaCha8Rng,
    number: u64,
    tally: Arc<Tally>,
    stop: Arc<AtomicBool>,
}

impl Worker {
    pub(super) fn new(
        callers: &[Caller; 2],
        seed: u64,
        number: u64,
        tally: &Arc<Tally>,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        Worker {
            callers: callers.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number)),
            number,
            tally: Arc::clone(tally),
            stop: Arc::clone(stop),
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Requests drafts until the run ends.
    pub(super) fn run_drafts(mut self) {
        while !self.is_stopped() {
            let prompt: Vec<u32> = (0..self.rng.random_range(1..40))
                .map(|_| self.rng.random_range(0..32_000))
                .collect();
            let tokens = self.rng.random_range(10..120);
            let entry = self.rng.random_range(0..2);
            let mut last_token = Instant::now();
            let result = self.callers[entry].stream_with(MODEL, &prompt, tokens, |n| {
                let gap = last_token.elapsed();
                if n > 1 && gap > STALL_LIMIT {
                    self.tally.record_stall(gap);
                }
                last_token = Instant::now();
            });
            let Ok(draft) = result else {
                self.tally.count_outcome("draft", "no answer");
                thread::sleep(RETRY_DELAY);
                continue;
            };
            self.check_draft(&draft, &prompt, tokens);
            if !draft.is_whole() {
                thread::sleep(RETRY_DELAY);
            }
        }
    }

    fn check_draft(&self, draft: &Draft, prompt: &[u32], tokens: usize) {
        let expected = expected_text(Plan::new().layers(), prompt, tokens);
        if !expected.starts_with(&draft.text) {
            let example = format!("{prompt:?} gave {:?}", draft.text);
            self.tally
                .record_violation("each layer once, in order", &example);
        }
        if draft.done && (draft.text != expected || !draft.is_whole()) {
            let example = format!("{} of {tokens} tokens looked finished", draft.chunks);
            self.tally
                .record_violation("whole answer to its own request", &example);
        }
        let ran_before_refusal = draft.outcome() == Some("not_run") && draft.chunks > 0;
        if ran_before_refusal {
            self.tally
                .record_violation("not run is true", &format!("{draft:?}"));
        }
        let outcome = match (draft.is_whole(), draft.outcome()) {
            (true, _) => "done",
            (false, Some(outcome)) => outcome,
            (false, None) => "cut without a word",
        };
        self.tally.count_outcome("draft", outcome);
        if let Some(detail) = draft.problem.as_ref().and_then(|p| p["detail"].as_str()) {
            self.tally.count_cause(detail);
        }
    }

    /// Sends bookings until the run ends, each again until its answer is final, at most
    /// [`MAX_ATTEMPTS`] times.
    pub(super) fn run_bookings(mut self) {
        let mut round = 0;
        while !self.is_stopped() {
            let key = format!("{}-{round}", self.number);
            round += 1;
            let record = self.send_booking(&key);
            self.tally.record_key(&key, record);
        }
    }

    fn send_booking(&mut self, key: &str) -> KeyRecord {
        let mut record = KeyRecord {
            done: Vec::new(),
            only_not_run: true,
        };
        let gives_up = self.rng.random_bool(GIVE_UP_PROBABILITY);
        let repeats = self.rng.random_bool(REPEAT_PROBABILITY);
        let mut entry = self.rng.random_range(0..2);
        for _ in 0..MAX_ATTEMPTS {
            let answer = self.send_once(key, entry);
            entry = 1 - entry;
            let outcome = record_answer(&mut record, answer.as_ref());
            self.tally.count_outcome("booking", &outcome);
            match outcome.as_str() {
                "done" if !repeats || record.done.len() > 1 => return record,
                "done" => continue,
                "not_run" if gives_up => return record,
                _ => thread::sleep(RETRY_DELAY),
            }
        }
        record
    }

    fn send_once(&self, key: &str, entry: usize) -> Option<Answer> {
        let body = json!({"key": key});
        let path = format!("{SERVICE}/pages/{}", self.number);
        self.callers[entry].book(&path, key, &body).ok()
    }
}

fn record_answer(record: &mut KeyRecord, answer: Option<&Answer>) -> String {
    let outcome = match answer {
        None => "no answer".to_owned(),
        Some(a) if a.is_done() => {
            record.done.push(a.body.clone());
            "done".to_owned()
        }
        Some(a) => a
            .outcome()
            .unwrap_or_else(|| format!("status {}", a.status)),
    };
    record.only_not_run &= outcome == "not_run";
    outcome
}
