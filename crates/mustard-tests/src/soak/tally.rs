//! What a long run has seen, and the judgement of its promises.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;

use mustard_core::collections::Map;

use crate::cluster::Cluster;
use crate::errors::Result;

const MAX_EXAMPLES: usize = 20;

/// Everything a caller was told about one key.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyRecord {
    /// The bodies of favourable answers.
    pub(super) done: Vec<String>,
    /// Whether every answer said that the call was not run.
    pub(super) only_not_run: bool,
}

#[derive(Debug, Default)]
struct State {
    outcomes: BTreeMap<(String, String), u64>,
    causes: BTreeMap<String, u64>,
    faults: BTreeMap<String, u64>,
    broken: BTreeMap<String, u64>,
    examples: Vec<String>,
    stalls: Vec<Duration>,
    spreads: Vec<Duration>,
    keys: Map<String, KeyRecord>,
}

/// What a long run has seen.
#[derive(Debug, Default)]
pub struct Tally {
    state: Mutex<State>,
}

impl Tally {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn outcome(&self, kind: &str, outcome: &str) {
        let key = (kind.to_owned(), outcome.to_owned());
        *self.lock().outcomes.entry(key).or_default() += 1;
    }

    /// Counts why a draft was refused or broke off; numbers in the text are left out.
    pub(super) fn cause(&self, detail: &str) {
        let text: String = detail.chars().filter(|c| !c.is_ascii_digit()).collect();
        *self.lock().causes.entry(text).or_default() += 1;
    }

    pub(super) fn fault(&self, kind: &str) {
        *self.lock().faults.entry(kind.to_owned()).or_default() += 1;
    }

    pub(super) fn broken(&self, promise: &str, example: &str) {
        let mut state = self.lock();
        *state.broken.entry(promise.to_owned()).or_default() += 1;
        if state.examples.len() < MAX_EXAMPLES {
            state.examples.push(format!("{promise}: {example}"));
        }
    }

    pub(super) fn stall(&self, time: Duration) {
        self.lock().stalls.push(time);
    }

    pub(super) fn spread(&self, time: Duration) {
        self.lock().spreads.push(time);
    }

    pub(super) fn key(&self, key: &str, record: KeyRecord) {
        self.lock().keys.insert(key.to_owned(), record);
    }

    /// Returns the number of broken promises.
    pub fn broken_count(&self) -> u64 {
        self.lock().broken.values().sum()
    }

    /// Compares what callers were told with the books of the plain services.
    pub(super) fn judge(&self, cluster: &Cluster) -> Result<()> {
        let mut booked: Map<String, u32> = Map::default();
        for booking in cluster.bookings()? {
            let body: Value = serde_json::from_str(&booking.body)?;
            let key = body["key"].as_str().unwrap_or_default().to_owned();
            *booked.entry(key).or_default() += 1;
        }
        let keys = self.lock().keys.clone();
        for (key, record) in &keys {
            let times = booked.get(key).copied().unwrap_or(0);
            self.judge_key(key, record, times);
        }
        Ok(())
    }

    fn judge_key(&self, key: &str, record: &KeyRecord, times: u32) {
        if times > 1 {
            self.broken("at most once", &format!("{key} is booked {times} times"));
        }
        if times == 0 && !record.done.is_empty() {
            self.broken("accepted is not lost", &format!("{key} is not booked"));
        }
        if times > 0 && record.only_not_run {
            self.broken("not run is true", &format!("{key} is booked"));
        }
        if record.done.windows(2).any(|pair| pair[0] != pair[1]) {
            self.broken(
                "whole answer to its own request",
                &format!("{key}: {record:?}"),
            );
        }
    }
}

fn spread_line(name: &str, times: &[Duration]) -> String {
    let mut ms: Vec<u128> = times.iter().map(Duration::as_millis).collect();
    ms.sort_unstable();
    let at = |share: usize| ms.get((ms.len() * share / 100).min(ms.len().saturating_sub(1)));
    let show = |v: Option<&u128>| v.map_or("-".to_owned(), ToString::to_string);
    format!(
        "{name:<34} {:>7}  p50 {:>6}  p90 {:>6}  p99 {:>6}  max {:>6}",
        ms.len(),
        show(at(50)),
        show(at(90)),
        show(at(99)),
        show(ms.last()),
    )
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.lock();
        writeln!(f, "requests by outcome")?;
        for ((kind, outcome), n) in &state.outcomes {
            writeln!(f, "  {:<32} {n:>7}", format!("{kind} {outcome}"))?;
        }
        writeln!(f, "why drafts were refused or broke off")?;
        for (cause, n) in &state.causes {
            writeln!(f, "  {n:>7}  {cause}")?;
        }
        writeln!(f, "faults brought about")?;
        for (kind, n) in &state.faults {
            writeln!(f, "  {kind:<32} {n:>7}")?;
        }
        writeln!(f, "times in ms")?;
        let stalls = spread_line("gaps over 500 ms within a draft", &state.stalls);
        writeln!(f, "  {stalls}")?;
        let spreads = spread_line("change in force at both entries", &state.spreads);
        writeln!(f, "  {spreads}")?;
        let total: u64 = state.broken.values().sum();
        writeln!(f, "promises broken {total:>18}")?;
        for (promise, n) in &state.broken {
            writeln!(f, "  {promise:<32} {n:>7}")?;
        }
        for example in &state.examples {
            writeln!(f, "  e.g. {example}")?;
        }
        Ok(())
    }
}
