//! What a soak saw, and which promises broke.

use std::collections::BTreeMap;
use std::fmt;

use mustard_fakes::site::Ledger;

use super::calls::{Kind, Seen, says_not_run};

/// The most broken promises that are listed.
const MOST_LISTED: usize = 20;

/// Counts of answers and the list of broken promises.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counts: BTreeMap<String, u64>,
    /// The answers of requests that run once at most, by id.
    bookings: BTreeMap<String, Seen>,
    /// The streams that were refused as not run.
    refused: Vec<String>,
    /// Each broken promise.
    pub broken: Vec<String>,
    /// Faults brought about, by kind.
    pub faults: BTreeMap<String, u64>,
}

impl Tally {
    /// Takes in what a caller saw.
    pub(super) fn note(&mut self, kind: Kind, id: String, seen: Seen, events: u64) {
        let outcome = match &seen {
            Seen::Nothing => "no answer".to_owned(),
            Seen::Answer { whole: false, .. } => "cut".to_owned(),
            Seen::Answer { status, .. } => status.to_string(),
        };
        *self
            .counts
            .entry(format!("{kind:?} {outcome}"))
            .or_default() += 1;
        self.broken.extend(kind.fault(&id, &seen, events));
        match (kind, &seen) {
            (Kind::Booking, _) => drop(self.bookings.insert(id, seen)),
            (Kind::Draft, Seen::Answer { status, .. }) if says_not_run(*status) => {
                self.refused.push(id);
            }
            _ => {}
        }
    }

    /// Holds the answers against what the servers ran.
    pub(super) fn judge(&mut self, ledger: &Ledger) {
        for (id, seen) in &self.bookings {
            let runs = ledger.runs.get(id).copied().unwrap_or(0);
            if runs > 1 {
                self.broken.push(format!("booking {id} ran {runs} times"));
            }
            if let Seen::Answer { status, .. } = seen
                && says_not_run(*status)
                && runs > 0
            {
                let text = format!("booking {id} was refused with {status} and has run");
                self.broken.push(text);
            }
        }
        for id in &self.refused {
            if ledger.runs.contains_key(id) {
                self.broken
                    .push(format!("stream {id} was refused as not run and has run"));
            }
        }
        let leaked = ledger.requests.iter().filter(|r| r.key).count();
        if leaked > 0 {
            self.broken
                .push(format!("{leaked} requests carried the caller's key on"));
        }
    }

    /// Returns how many answers of a kind had an outcome.
    pub(super) fn count(&self, kind: Kind, outcome: &str) -> u64 {
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
        writeln!(f, "broken promises: {}", self.broken.len())?;
        for line in self.broken.iter().take(MOST_LISTED) {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}
