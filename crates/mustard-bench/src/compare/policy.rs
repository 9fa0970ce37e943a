//! The interface between a simulation and the policy of each entry process.
//!
//! Times are in microseconds since the start of the run; servers are given by their index in the
//! scenario, requests by their number.

use mustard_policy::quarantine::Strike;

/// A request as a policy sees it on arrival.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// The request's index in the order of arrival.
    pub(crate) id: usize,
    /// The index of the customer in the scenario.
    pub(crate) customer: usize,
    /// Stands for the content; equal for poison requests, which all send the same one.
    pub(crate) content: u64,
    /// The length of the prompt, in positions.
    pub(crate) prompt: u32,
    /// The length of the answer, in tokens.
    pub(crate) tokens: u32,
    pub(crate) deadline: u64,
}

/// A policy's decision about a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Run it over this chain of servers.
    Run(Vec<usize>),
    /// Refuse it.
    Refuse,
}

/// What the entry process measures of a step that came back.
#[derive(Clone, Debug)]
pub(crate) struct StepReport {
    /// Tokens delivered so far, including this one.
    pub(crate) delivered: u32,
    /// Positions that the step processed; more than one for a prefill.
    pub(crate) positions: u32,
    /// The time from sending the step to its token.
    pub(crate) total_us: f64,
    /// The time at each stage, queueing included.
    pub(crate) stages_us: Vec<f64>,
    /// Requests of all entry processes that run over each stage's server.
    pub(crate) loads: Vec<u32>,
}

/// The policy of one entry process.
pub(crate) trait Policy {
    /// Handles an arriving request; returns `false` to refuse it at once.
    fn on_arrival(&mut self, now: u64, arrival: &Arrival) -> bool;

    /// Returns decisions about waiting requests, by request.
    fn poll(&mut self, now: u64) -> Vec<(usize, Action)>;

    /// Handles a token; returns `false` to cancel the request.
    fn on_token(&mut self, now: u64, id: usize, step: &StepReport) -> bool;

    /// Handles an attempt that failed at a server after `delivered` tokens; returns the chain of
    /// the next attempt, or `None` to give the request up.
    fn on_failure(
        &mut self,
        now: u64,
        id: usize,
        server: usize,
        delivered: u32,
    ) -> Option<Vec<usize>>;

    /// Handles the death of a server that ran steps of these requests of this process; returns
    /// the strikes to send to the other processes.
    fn on_death(&mut self, now: u64, server: usize, running: &[usize]) -> Vec<Strike>;

    /// Handles a strike from another process.
    fn on_strike(&mut self, now: u64, strike: &Strike);

    /// Handles the end of a request; `answered` tells whether the answer is complete.
    fn on_end(&mut self, now: u64, id: usize, answered: bool);

    /// Handles the result of a heartbeat, sent every half second; `load` is the number of requests
    /// that run over the server.
    fn on_heartbeat(&mut self, now: u64, server: usize, up: bool, load: u32);
}
