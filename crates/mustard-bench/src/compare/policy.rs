//! What a policy decides, and what it is told.

use mustard_policy::quarantine::Strike;

/// A request as a policy sees it on arrival.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// The number of the request.
    pub(crate) id: usize,
    /// The index of the customer.
    pub(crate) customer: usize,
    /// The content; equal for a request that is sent again.
    pub(crate) content: u64,
    pub(crate) prompt: u32,
    pub(crate) tokens: u32,
    /// In microseconds.
    pub(crate) deadline: u64,
}

/// What becomes of a request that waits.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// It runs over these servers.
    Run(Vec<usize>),
    /// It is refused.
    Refuse,
}

/// What was seen of a step that came back, in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Tokens delivered so far, with this one.
    pub(crate) delivered: u32,
    /// Positions of the step.
    pub(crate) positions: u32,
    /// The whole time of the step.
    pub(crate) total_us: f64,
    /// The time at each stage, waiting included.
    pub(crate) stages_us: Vec<f64>,
    /// Steps in flight at each stage, of all entry processes.
    pub(crate) loads: Vec<u32>,
}

/// Decides for one entry process.
pub(crate) trait Policy {
    /// Takes in a request; returns `false` if it is refused at once.
    fn arrive(&mut self, now: u64, arrival: &Arrival) -> bool;

    /// Decides about requests that wait.
    fn poll(&mut self, now: u64) -> Vec<(usize, Action)>;

    /// Takes in a token; returns `false` if the request is to be cancelled.
    fn token(&mut self, now: u64, id: usize, seen: &Seen) -> bool;

    /// Takes in that an attempt failed at a server, after `delivered` tokens; returns the chain
    /// of the next attempt.
    fn failed(&mut self, now: u64, id: usize, server: usize, delivered: u32) -> Option<Vec<usize>>;

    /// Takes in that a server died while it ran steps of these requests of this process;
    /// returns strikes for the other processes.
    fn died(&mut self, now: u64, server: usize, running: &[usize]) -> Vec<Strike>;

    /// Takes in a strike from another process.
    fn hear(&mut self, now: u64, strike: &Strike);

    /// Takes in the end of a request, whole or not.
    fn ended(&mut self, now: u64, id: usize, whole: bool);

    /// Takes in the answer to a heartbeat, which comes every half second.
    fn heartbeat(&mut self, now: u64, server: usize, up: bool, load: u32);
}
