//! What is counted in a run.

use hdrhistogram::Histogram;

use mustard_core::catalogue::Class;

use super::arrivals::Request;
use super::scenario::{CustomerSpec, Scenario};

const MAX_US: u64 = 60_000_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Answered whole before its deadline.
    Whole,
    /// Not run.
    Refused,
    /// Ended by the policy as hopeless.
    Cancelled,
    /// Not whole at its deadline.
    Late,
    /// Given up after failures of servers.
    Failed,
}

/// Counts of one customer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) offered: u64,
    pub(crate) whole: u64,
}

/// Counts of one run, after warm-up.
#[derive(Debug)]
pub(crate) struct Tally {
    interactive: Vec<bool>,
    from: u64,
    until: u64,
    /// Requests answered whole between warm-up and end.
    pub(crate) good: u64,
    /// Their work, in mean requests.
    pub(crate) work: f64,
    pub(crate) refused: u64,
    pub(crate) cancelled: u64,
    pub(crate) late: u64,
    pub(crate) failed: u64,
    pub(crate) customers: Vec<Counts>,
    /// Time from arrival to first token of interactive requests, in microseconds.
    pub(crate) first: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub(crate) gaps: Histogram<u64>,
    /// Time from arrival to refusal, in microseconds.
    pub(crate) refusals: Histogram<u64>,
    /// Time from a failed attempt to the next token, in microseconds.
    pub(crate) recovery: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_US, 3).expect("bounds are valid");
        let interactive = |c: &CustomerSpec| c.class == Class::Interactive;
        Tally {
            interactive: scenario.customers.iter().map(interactive).collect(),
            from: (scenario.warmup * 1e6) as u64,
            until: (scenario.seconds * 1e6) as u64,
            good: 0,
            work: 0.0,
            refused: 0,
            cancelled: 0,
            late: 0,
            failed: 0,
            customers: vec![Counts::default(); scenario.customers.len()],
            first: histogram(),
            gaps: histogram(),
            refusals: histogram(),
            recovery: histogram(),
        }
    }

    /// Takes in the first token of a request.
    pub(crate) fn first(&mut self, request: &Request, now: u64) {
        if self.counts(request.at) && self.interactive[request.customer] {
            self.first.saturating_record(now - request.at);
        }
    }

    /// Takes in the time between two tokens.
    pub(crate) fn gap(&mut self, us: u64, now: u64) {
        if self.counts(now) {
            self.gaps.saturating_record(us);
        }
    }

    /// Takes in the time from a failure to the next token.
    pub(crate) fn recovered(&mut self, us: u64) {
        self.recovery.saturating_record(us);
    }

    /// Takes in the end of a request of some work, in mean requests.
    pub(crate) fn end(&mut self, request: &Request, work: f64, now: u64, end: End) {
        if end == End::Whole && self.counts(now) {
            self.good += 1;
            self.work += work;
        }
        if !self.counts(request.at) || request.kills {
            return;
        }
        let customer = &mut self.customers[request.customer];
        customer.offered += 1;
        match end {
            End::Whole => customer.whole += 1,
            End::Refused => {
                self.refused += 1;
                self.refusals.saturating_record(now - request.at);
            }
            End::Cancelled => self.cancelled += 1,
            End::Late => self.late += 1,
            End::Failed => self.failed += 1,
        }
    }

    fn counts(&self, at: u64) -> bool {
        (self.from..self.until).contains(&at)
    }
}
