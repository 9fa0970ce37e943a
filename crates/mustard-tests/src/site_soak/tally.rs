//! The results of a soak and the guarantees that were violated.

use std::collections::BTreeMap;
use std::fmt;

use mustard_fakes::site::Ledger;

use super::calls::{CallResult, RequestKind, means_not_run};

/// The maximum number of violations that the report lists.
const MAX_LISTED: usize = 20;

/// Counts of answers and the list of violated guarantees; displays as the report.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counts: BTreeMap<String, u64>,
    /// The results of the requests that must run at most once, by id.
    bookings: BTreeMap<String, CallResult>,
    /// The ids of the streams that were refused as not run.
    refused_streams: Vec<String>,
    /// A description of each violated guarantee.
    pub violations: Vec<String>,
    /// The number of injected faults by name.
    pub faults: BTreeMap<String, u64>,
}

impl Tally {
    /// Counts and checks the result of one request.
    pub(super) fn record(
        &mut self,
        kind: RequestKind,
        id: String,
        result: CallResult,
        events: u64,
    ) {
        let outcome = match &result {
            CallResult::Nothing => "no answer".to_owned(),
            CallResult::Answer { whole: false, .. } => "cut".to_owned(),
            CallResult::Answer { status, .. } => status.to_string(),
        };
        *self
            .counts
            .entry(format!("{kind:?} {outcome}"))
            .or_default() += 1;
        self.violations
            .extend(kind.find_violation(&id, &result, events));
        match (kind, &result) {
            (RequestKind::Booking, _) => drop(self.bookings.insert(id, result)),
            (RequestKind::Draft, CallResult::Answer { status, .. }) if means_not_run(*status) => {
                self.refused_streams.push(id);
            }
            _ => {}
        }
    }

    /// Compares the answers with what the servers ran.
    pub(super) fn check_runs(&mut self, ledger: &Ledger) {
        for (id, result) in &self.bookings {
            let runs = ledger.runs.get(id).copied().unwrap_or(0);
            if runs > 1 {
                self.violations
                    .push(format!("booking {id} ran {runs} times"));
            }
            if let CallResult::Answer { status, .. } = result
                && means_not_run(*status)
                && runs > 0
            {
                let text = format!("booking {id} was refused with {status} and has run");
                self.violations.push(text);
            }
        }
        for id in &self.refused_streams {
            if ledger.runs.contains_key(id) {
                self.violations
                    .push(format!("stream {id} was refused as not run and has run"));
            }
        }
        let leaked = ledger.requests.iter().filter(|r| r.has_key).count();
        if leaked > 0 {
            self.violations
                .push(format!("{leaked} requests carried the caller's key on"));
        }
    }

    /// Returns how many answers of a kind had an outcome.
    pub(super) fn count(&self, kind: RequestKind, outcome: &str) -> u64 {
        let key = format!("{kind:?} {outcome}");
        self.counts.get(&key).copied().unwrap_or(0)
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |map: &BTreeMap<String, u64>| {
            let parts: Vec<String> = map.iter().map(|(k, n)| format!("{k}: {n}")).collect();
            parts.join(", ")
        };
        writeln!(f, "answers: {}", list(&self.counts))?;
        writeln!(f, "faults: {}", list(&self.faults))?;
        writeln!(f, "broken promises: {}", self.violations.len())?;
        for line in self.violations.iter().take(MAX_LISTED) {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}
