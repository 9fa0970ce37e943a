//! Counts and time distributions of a run.

use hdrhistogram::Histogram;

use mustard_core::catalogue::Class;

use super::arrivals::Request;
use super::scenario::{CustomerSpec, Scenario};

/// The longest time that the histograms tell apart; a run takes less.
const MAX_RECORDED_US: u64 = 60_000_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Answered completely before its deadline.
    Answered,
    /// Refused before it ran.
    Refused,
    /// Cancelled by the policy because it would miss its deadline.
    Cancelled,
    /// Not complete at its deadline.
    Late,
    /// Given up after server failures.
    Failed,
}

/// Requests of one customer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) offered: u64,
    pub(crate) answered: u64,
}

/// Counts and time distributions of one run.
///
/// All but recoveries are counted only if they fall between warm-up and end.
#[derive(Debug)]
pub(crate) struct Tally {
    /// Whether a customer is of the interactive class, by index.
    interactive: Vec<bool>,
    /// The end of the warm-up, in microseconds since the start of the run.
    from_us: u64,
    /// The end of the load, in microseconds since the start of the run.
    until_us: u64,
    /// Requests answered completely.
    pub(crate) answered: u64,
    /// Their work, in mean requests.
    pub(crate) work: f64,
    pub(crate) refused: u64,
    pub(crate) cancelled: u64,
    pub(crate) late: u64,
    pub(crate) failed: u64,
    /// Counts by customer index, without poison requests.
    pub(crate) customers: Vec<Counts>,
    /// Time from arrival to first token of interactive requests, in microseconds.
    pub(crate) first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub(crate) token_gaps: Histogram<u64>,
    /// Time from arrival to refusal, in microseconds.
    pub(crate) refusals: Histogram<u64>,
    /// Time from a failed attempt to the next token, in microseconds.
    pub(crate) recovery: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("bounds are valid");
        let interactive = |c: &CustomerSpec| c.class == Class::Interactive;
        Tally {
            interactive: scenario.customers.iter().map(interactive).collect(),
            from_us: (scenario.warmup_s * 1e6) as u64,
            until_us: (scenario.seconds * 1e6) as u64,
            answered: 0,
            work: 0.0,
            refused: 0,
            cancelled: 0,
            late: 0,
            failed: 0,
            customers: vec![Counts::default(); scenario.customers.len()],
            first_token: histogram(),
            token_gaps: histogram(),
            refusals: histogram(),
            recovery: histogram(),
        }
    }

    /// Records the first token of a request.
    pub(crate) fn record_first_token(&mut self, request: &Request, now: u64) {
        if self.is_counted(request.arrived_at) && self.interactive[request.customer] {
            self.first_token.saturating_record(now - request.arrived_at);
        }
    }

    /// Records the time between two tokens.
    pub(crate) fn record_gap(&mut self, us: u64, now: u64) {
        if self.is_counted(now) {
            self.token_gaps.saturating_record(us);
        }
    }

    /// Records the time from a failure to the next token.
    pub(crate) fn record_recovery(&mut self, us: u64) {
        self.recovery.saturating_record(us);
    }

    /// Records how a request ended; `work` is in mean requests.
    pub(crate) fn record_outcome(
        &mut self,
        request: &Request,
        work: f64,
        now: u64,
        outcome: Outcome,
    ) {
        if outcome == Outcome::Answered && self.is_counted(now) {
            self.answered += 1;
            self.work += work;
        }
        if !self.is_counted(request.arrived_at) || request.is_poison {
            return;
        }
        let customer = &mut self.customers[request.customer];
        customer.offered += 1;
        match outcome {
            Outcome::Answered => customer.answered += 1,
            Outcome::Refused => {
                self.refused += 1;
                self.refusals.saturating_record(now - request.arrived_at);
            }
            Outcome::Cancelled => self.cancelled += 1,
            Outcome::Late => self.late += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    fn is_counted(&self, at: u64) -> bool {
        (self.from_us..self.until_us).contains(&at)
    }
}
