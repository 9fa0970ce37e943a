//! Counts and latencies of a run.

use std::time::Duration;

use hdrhistogram::{AdditionError, Histogram};

use super::arrivals::Kind;

/// The longest latency that is told apart, in microseconds.
const MAX_US: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Answered whole and before its deadline.
    Good,
    /// Answered whole, but late.
    Late,
    /// Refused and not run.
    NotRun,
    /// Its outcome is unknown.
    Unknown,
    /// Its answer broke off, and says so.
    Partial,
    /// It got no answer that makes sense.
    Broken,
}

/// All endings, in the order of reports.
pub(crate) const ENDINGS: [Ending; 6] = [
    Ending::Good,
    Ending::Late,
    Ending::NotRun,
    Ending::Unknown,
    Ending::Partial,
    Ending::Broken,
];

impl Ending {
    /// Returns the stable name used in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Ending::Good => "good",
            Ending::Late => "late",
            Ending::NotRun => "not_run",
            Ending::Unknown => "unknown",
            Ending::Partial => "partial",
            Ending::Broken => "broken",
        }
    }
}

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct Finished {
    /// What it asked for.
    pub(crate) kind: Kind,
    /// How it ended.
    pub(crate) ending: Ending,
    /// From the moment it was due to the end of its answer.
    pub(crate) whole: Duration,
    /// From the moment it was due to the first token.
    pub(crate) first: Option<Duration>,
    /// Between tokens.
    pub(crate) gaps: Vec<Duration>,
    /// Tokens delivered.
    pub(crate) tokens: u64,
}

impl Finished {
    /// Describes a request whose answer ended after `whole`.
    pub(crate) fn new(kind: Kind, ending: Ending, whole: Duration) -> Self {
        Finished {
            kind,
            ending,
            whole,
            first: None,
            gaps: Vec::new(),
            tokens: 0,
        }
    }
}

/// Counts and latencies of a run.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    counts: [[u64; ENDINGS.len()]; 3],
    /// Tokens of answers that were whole and in time.
    pub(crate) good_tokens: u64,
    /// From due to first token, in microseconds, of answers that were whole and in time.
    pub(crate) first: Histogram<u64>,
    /// Between tokens, in microseconds.
    pub(crate) gap: Histogram<u64>,
    /// From due to whole answer, in microseconds, of answers that were whole and in time.
    pub(crate) whole: Histogram<u64>,
    /// From due to refusal, in microseconds.
    pub(crate) refused: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally.
    pub(crate) fn new() -> Self {
        Tally {
            counts: Default::default(),
            good_tokens: 0,
            first: histogram(),
            gap: histogram(),
            whole: histogram(),
            refused: histogram(),
        }
    }

    /// Takes in one request.
    pub(crate) fn take(&mut self, one: &Finished) {
        self.counts[one.kind as usize][one.ending as usize] += 1;
        match one.ending {
            Ending::Good => {
                self.good_tokens += one.tokens;
                record(&mut self.whole, one.whole);
                if let Some(first) = one.first {
                    record(&mut self.first, first);
                }
            }
            Ending::NotRun => record(&mut self.refused, one.whole),
            _ => {}
        }
        for gap in &one.gaps {
            record(&mut self.gap, *gap);
        }
    }

    /// Takes in a request that never ended.
    pub(crate) fn lost(&mut self) {
        self.counts[Kind::Draft as usize][Ending::Broken as usize] += 1;
    }

    /// Adds the tally of another thread.
    pub(crate) fn add(&mut self, other: &Tally) -> Result<(), AdditionError> {
        for (mine, theirs) in self.counts.iter_mut().zip(&other.counts) {
            for (count, more) in mine.iter_mut().zip(theirs) {
                *count += more;
            }
        }
        self.good_tokens += other.good_tokens;
        self.first.add(&other.first)?;
        self.gap.add(&other.gap)?;
        self.whole.add(&other.whole)?;
        self.refused.add(&other.refused)
    }

    /// Returns how many requests of a kind ended in a way.
    pub(crate) fn count(&self, kind: Kind, ending: Ending) -> u64 {
        self.counts[kind as usize][ending as usize]
    }

    /// Returns how many requests of all kinds ended in a way.
    pub(crate) fn total(&self, ending: Ending) -> u64 {
        self.counts.iter().map(|c| c[ending as usize]).sum()
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(latency.as_micros() as u64);
}
