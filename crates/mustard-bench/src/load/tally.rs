//! Counts and latencies of a run.

use std::time::Duration;

use hdrhistogram::{AdditionError, Histogram};

use super::arrivals::Kind;

/// The longest latency that the histograms tell apart, in microseconds; longer ones count as it.
const MAX_US: u64 = 600_000_000;
/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Answered completely and before its deadline.
    Good,
    /// Answered completely, but after its deadline.
    Late,
    /// Refused and not run.
    NotRun,
    /// Its outcome is unknown.
    Unknown,
    /// Its answer broke off and reports that.
    Partial,
    /// Its answer was missing or incomplete and named no known outcome.
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

/// The result of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    /// What the request asked for.
    pub(crate) kind: Kind,
    /// How the request ended.
    pub(crate) ending: Ending,
    /// From the moment the request was due to the end of its answer.
    pub(crate) latency: Duration,
    /// From the moment the request was due to the first token; absent if none came.
    pub(crate) first_token: Option<Duration>,
    /// Times between tokens.
    pub(crate) token_gaps: Vec<Duration>,
    /// Number of tokens delivered.
    pub(crate) tokens: u64,
}

impl RequestResult {
    /// Creates the result of a request that delivered no tokens.
    pub(crate) fn new(kind: Kind, ending: Ending, latency: Duration) -> Self {
        RequestResult {
            kind,
            ending,
            latency,
            first_token: None,
            token_gaps: Vec::new(),
            tokens: 0,
        }
    }
}

/// Counts and latencies of a run.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// Requests by kind and ending.
    counts: [[u64; ENDINGS.len()]; 3],
    /// Tokens of answers that were complete and in time.
    pub(crate) good_tokens: u64,
    /// From due to first token, in microseconds, of answers that were complete and in time.
    pub(crate) first_token: Histogram<u64>,
    /// Between tokens, in microseconds, of all answers.
    pub(crate) token_gap: Histogram<u64>,
    /// From due to the end of the answer, in microseconds, of answers that were complete and in
    /// time.
    pub(crate) latency: Histogram<u64>,
    /// From due to refusal, in microseconds.
    pub(crate) refusal: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally.
    pub(crate) fn new() -> Self {
        Tally {
            counts: Default::default(),
            good_tokens: 0,
            first_token: histogram(),
            token_gap: histogram(),
            latency: histogram(),
            refusal: histogram(),
        }
    }

    /// Counts one request.
    pub(crate) fn add_request(&mut self, request: &RequestResult) {
        self.counts[request.kind as usize][request.ending as usize] += 1;
        match request.ending {
            Ending::Good => {
                self.good_tokens += request.tokens;
                record(&mut self.latency, request.latency);
                if let Some(first) = request.first_token {
                    record(&mut self.first_token, first);
                }
            }
            Ending::NotRun => record(&mut self.refusal, request.latency),
            _ => {}
        }
        for gap in &request.token_gaps {
            record(&mut self.token_gap, *gap);
        }
    }

    /// Counts a request that did not end before the run did; its kind is not known here, so that it
    /// counts as a broken draft.
    pub(crate) fn add_lost(&mut self) {
        self.counts[Kind::Draft as usize][Ending::Broken as usize] += 1;
    }

    /// Adds the tally of another thread.
    pub(crate) fn merge(&mut self, other: &Tally) -> Result<(), AdditionError> {
        for (mine, theirs) in self.counts.iter_mut().zip(&other.counts) {
            for (count, more) in mine.iter_mut().zip(theirs) {
                *count += more;
            }
        }
        self.good_tokens += other.good_tokens;
        self.first_token.add(&other.first_token)?;
        self.token_gap.add(&other.token_gap)?;
        self.latency.add(&other.latency)?;
        self.refusal.add(&other.refusal)
    }

    /// Returns how many requests of a kind had an ending.
    pub(crate) fn count(&self, kind: Kind, ending: Ending) -> u64 {
        self.counts[kind as usize][ending as usize]
    }

    /// Returns how many requests of all kinds had an ending.
    pub(crate) fn total(&self, ending: Ending) -> u64 {
        self.counts.iter().map(|c| c[ending as usize]).sum()
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(latency.as_micros() as u64);
}
