//! Callers that send drafts and bookings and note what they are told.

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

const STALL: Duration = Duration::from_millis(500);
const AFTER_REFUSAL: Duration = Duration::from_millis(300);
const MAX_SENDS: usize = 6;
const SENT_TWICE: f64 = 0.2;
const NEVER_AGAIN: f64 = 0.3;

/// One caller, who uses both entries.
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

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Sends drafts until the run ends.
    pub(super) fn draft(mut self) {
        while !self.stopped() {
            let prompt: Vec<u32> = (0..self.rng.random_range(1..40))
                .map(|_| self.rng.random_range(0..32_000))
                .collect();
            let tokens = self.rng.random_range(10..120);
            let entry = self.rng.random_range(0..2);
            let mut last = Instant::now();
            let result = self.callers[entry].stream_with(MODEL, &prompt, tokens, |n| {
                let gap = last.elapsed();
                if n > 1 && gap > STALL {
                    self.tally.stall(gap);
                }
                last = Instant::now();
            });
            let Ok(draft) = result else {
                self.tally.outcome("draft", "no answer");
                thread::sleep(AFTER_REFUSAL);
                continue;
            };
            self.judge(&draft, &prompt, tokens);
            if !draft.is_whole() {
                thread::sleep(AFTER_REFUSAL);
            }
        }
    }

    fn judge(&self, draft: &Draft, prompt: &[u32], tokens: usize) {
        let expected = expected_text(Plan::new().layers(), prompt, tokens);
        if !expected.starts_with(&draft.text) {
            let example = format!("{prompt:?} gave {:?}", draft.text);
            self.tally.broken("each layer once, in order", &example);
        }
        if draft.done && (draft.text != expected || !draft.is_whole()) {
            let example = format!("{} of {tokens} tokens looked finished", draft.chunks);
            self.tally
                .broken("whole answer to its own request", &example);
        }
        let refused_late = draft.outcome() == Some("not_run") && draft.chunks > 0;
        if refused_late {
            self.tally.broken("not run is true", &format!("{draft:?}"));
        }
        let outcome = match (draft.is_whole(), draft.outcome()) {
            (true, _) => "done",
            (false, Some(outcome)) => outcome,
            (false, None) => "cut without a word",
        };
        self.tally.outcome("draft", outcome);
        if let Some(kind) = draft.problem.as_ref().and_then(|p| p["detail"].as_str()) {
            self.tally.cause(kind);
        }
    }

    /// Sends bookings until the run ends, each until its answer is final.
    pub(super) fn book(mut self) {
        let mut round = 0;
        while !self.stopped() {
            let key = format!("{}-{round}", self.number);
            round += 1;
            let record = self.book_one(&key);
            self.tally.key(&key, record);
        }
    }

    fn book_one(&mut self, key: &str) -> KeyRecord {
        let mut record = KeyRecord {
            done: Vec::new(),
            only_not_run: true,
        };
        let final_refusal = self.rng.random_bool(NEVER_AGAIN);
        let twice = self.rng.random_bool(SENT_TWICE);
        let mut entry = self.rng.random_range(0..2);
        for _ in 0..MAX_SENDS {
            let answer = self.send(key, entry);
            entry = 1 - entry;
            let outcome = note(&mut record, answer.as_ref());
            self.tally.outcome("booking", &outcome);
            match outcome.as_str() {
                "done" if !twice || record.done.len() > 1 => return record,
                "done" => continue,
                "not_run" if final_refusal => return record,
                _ => thread::sleep(AFTER_REFUSAL),
            }
        }
        record
    }

    fn send(&self, key: &str, entry: usize) -> Option<Answer> {
        let body = json!({"key": key});
        let path = format!("{SERVICE}/pages/{}", self.number);
        self.callers[entry].book(&path, key, &body).ok()
    }
}

fn note(record: &mut KeyRecord, answer: Option<&Answer>) -> String {
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
