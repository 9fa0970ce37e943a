//! The results of a soak run and the checks of its guarantees.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;

use mustard_core::collections::Map;

use crate::cluster::Cluster;
use crate::errors::Result;

const MAX_EXAMPLES: usize = 20;

/// The answers that a caller received for one idempotency key.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyRecord {
    /// The bodies of the answers that report success.
    pub(super) done: Vec<String>,
    /// Whether every answer said that the call was not run.
    pub(super) only_not_run: bool,
}

#[derive(Debug, Default)]
struct State {
    outcomes: BTreeMap<(String, String), u64>,
    causes: BTreeMap<String, u64>,
    faults: BTreeMap<String, u64>,
    violations: BTreeMap<String, u64>,
    examples: Vec<String>,
    stalls: Vec<Duration>,
    propagation_times: Vec<Duration>,
    keys: Map<String, KeyRecord>,
}

/// The results of a soak run; displays as its report.
#[derive(Debug, Default)]
pub struct Tally {
    state: Mutex<State>,
}

impl Tally {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn count_outcome(&self, kind: &str, outcome: &str) {
        let key = (kind.to_owned(), outcome.to_owned());
        *self.lock().outcomes.entry(key).or_default() += 1;
    }

    /// Counts why a draft was refused or broken off. Digits are removed, so that texts that differ
    /// only in numbers count as one cause.
    pub(super) fn count_cause(&self, detail: &str) {
        let cause: String = detail.chars().filter(|c| !c.is_ascii_digit()).collect();
        *self.lock().causes.entry(cause).or_default() += 1;
    }

    pub(super) fn count_fault(&self, kind: &str) {
        *self.lock().faults.entry(kind.to_owned()).or_default() += 1;
    }

    pub(super) fn record_violation(&self, promise: &str, example: &str) {
        let mut state = self.lock();
        *state.violations.entry(promise.to_owned()).or_default() += 1;
        if state.examples.len() < MAX_EXAMPLES {
            state.examples.push(format!("{promise}: {example}"));
        }
    }

    pub(super) fn record_stall(&self, time: Duration) {
        self.lock().stalls.push(time);
    }

    pub(super) fn record_propagation(&self, time: Duration) {
        self.lock().propagation_times.push(time);
    }

    pub(super) fn record_key(&self, key: &str, record: KeyRecord) {
        self.lock().keys.insert(key.to_owned(), record);
    }

    /// Returns the number of violated guarantees.
    pub fn violation_count(&self) -> u64 {
        self.lock().violations.values().sum()
    }

    /// Compares the answers that callers received with the bookings of the plain services.
    pub(super) fn check_bookings(&self, cluster: &Cluster) -> Result<()> {
        let mut booked: Map<String, u32> = Map::default();
        for booking in cluster.bookings()? {
            let body: Value = serde_json::from_str(&booking.body)?;
            let key = body["key"].as_str().unwrap_or_default().to_owned();
            *booked.entry(key).or_default() += 1;
        }
        let keys = self.lock().keys.clone();
        for (key, record) in &keys {
            let runs = booked.get(key).copied().unwrap_or(0);
            self.check_key(key, record, runs);
        }
        Ok(())
    }

    fn check_key(&self, key: &str, record: &KeyRecord, runs: u32) {
        if runs > 1 {
            self.record_violation("at most once", &format!("{key} is booked {runs} times"));
        }
        if runs == 0 && !record.done.is_empty() {
            self.record_violation("accepted is not lost", &format!("{key} is not booked"));
        }
        if runs > 0 && record.only_not_run {
            self.record_violation("not run is true", &format!("{key} is booked"));
        }
        if record.done.windows(2).any(|pair| pair[0] != pair[1]) {
            self.record_violation(
                "whole answer to its own request",
                &format!("{key}: {record:?}"),
            );
        }
    }
}

fn format_times(name: &str, times: &[Duration]) -> String {
    let mut ms: Vec<u128> = times.iter().map(Duration::as_millis).collect();
    ms.sort_unstable();
    let percentile =
        |percent: usize| ms.get((ms.len() * percent / 100).min(ms.len().saturating_sub(1)));
    let show = |v: Option<&u128>| v.map_or("-".to_owned(), ToString::to_string);
    format!(
        "{name:<34} {:>7}  p50 {:>6}  p90 {:>6}  p99 {:>6}  max {:>6}",
        ms.len(),
        show(percentile(50)),
        show(percentile(90)),
        show(percentile(99)),
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
        let stalls = format_times("gaps over 500 ms within a draft", &state.stalls);
        writeln!(f, "  {stalls}")?;
        let propagation_times =
            format_times("change in force at both entries", &state.propagation_times);
        writeln!(f, "  {propagation_times}")?;
        let total: u64 = state.violations.values().sum();
        writeln!(f, "promises broken {total:>18}")?;
        for (promise, n) in &state.violations {
            writeln!(f, "  {promise:<32} {n:>7}")?;
        }
        for example in &state.examples {
            writeln!(f, "  e.g. {example}")?;
        }
        Ok(())
    }
}
