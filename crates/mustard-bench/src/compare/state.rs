//! Events, steps, servers and requests of a simulation.
//!
//! Times are in microseconds since the start of the run; servers and requests are given by index.

use std::collections::VecDeque;

use super::scenario::{GROUPS, ServerSpec};

/// An event of the simulation; [`Ord`] is only needed to keep events in a heap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A request arrives at its entry process.
    RequestArrived(usize),
    /// A step arrives at a server.
    StepArrived { server: usize, step: Step },
    /// A server finishes a batch, unless it died since the batch started.
    BatchDone { server: usize, incarnation: u32 },
    /// The token of a step gets back to the entry process.
    TokenArrived { step: Step },
    /// The entry process learns that an attempt failed at a server.
    AttemptFailed { server: usize, step: Step },
    /// A request reaches its deadline.
    Deadline(usize),
    /// All policies are polled.
    Poll,
    /// All entry processes get heartbeats of all servers.
    Heartbeat,
    /// The fault of this index in the scenario begins.
    Fault(usize),
    /// A server is up again.
    Restart(usize),
}

/// A step of an attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Step {
    /// The request.
    pub(super) id: usize,
    /// The number of the attempt; steps of earlier attempts are dropped.
    pub(super) attempt: u32,
    /// The position in the chain of the server that runs the step next.
    pub(super) stage: usize,
    /// Positions to process; more than one for a prefill.
    pub(super) positions: u32,
    /// When the step arrives at the stage.
    pub(super) arrived_at: u64,
}

/// A simulated server: a queue, and a batch that runs.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) spec: ServerSpec,
    pub(super) queue: VecDeque<Step>,
    pub(super) batch: Vec<Step>,
    /// Requests whose chain includes the server.
    pub(super) load: u32,
    /// Grows at each death, so that batches of the dead server are ignored.
    pub(super) incarnation: u32,
    pub(super) up: bool,
    /// How many times as long a batch takes.
    pub(super) slowdown: f64,
}

/// The state of a request and of its current attempt.
#[derive(Debug, Default)]
pub(super) struct RequestState {
    /// The entry process that serves the request.
    pub(super) entry: usize,
    /// The servers of the attempt; empty while none runs.
    pub(super) chain: Vec<usize>,
    /// The number of attempts so far.
    pub(super) attempt: u32,
    /// Tokens delivered by all attempts.
    pub(super) delivered: u32,
    /// When the newest step was sent.
    pub(super) sent_at: u64,
    /// The time of the newest step at each stage.
    pub(super) stages_us: [f64; GROUPS],
    /// When the newest token was delivered.
    pub(super) token_at: u64,
    /// When the entry process learned of a failure, until the next token.
    pub(super) failed_at: Option<u64>,
    pub(super) ended: bool,
}
