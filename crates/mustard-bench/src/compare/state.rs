//! Events, steps, servers and requests in flight of a run.

use std::collections::VecDeque;

use super::scenario::{GROUPS, ServerSpec};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive(usize),
    Enter { server: usize, step: StepRef },
    BatchDone { server: usize, life: u32 },
    Token { step: StepRef },
    Failed { server: usize, step: StepRef },
    Deadline(usize),
    Poll,
    Beat,
    Fault(usize),
    Restart(usize),
}

/// A step of an attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepRef {
    pub(super) id: usize,
    pub(super) attempt: u32,
    pub(super) stage: usize,
    pub(super) positions: u32,
    pub(super) entered: u64,
}

#[derive(Debug)]
pub(super) struct Server {
    pub(super) spec: ServerSpec,
    pub(super) queue: VecDeque<StepRef>,
    pub(super) batch: Vec<StepRef>,
    /// Requests whose chain includes the server.
    pub(super) load: u32,
    pub(super) life: u32,
    pub(super) up: bool,
    pub(super) slow: f64,
}

#[derive(Debug, Default)]
pub(super) struct Flight {
    pub(super) entry: usize,
    pub(super) chain: Vec<usize>,
    pub(super) attempt: u32,
    pub(super) delivered: u32,
    pub(super) sent: u64,
    pub(super) stages_us: [f64; GROUPS],
    pub(super) last_token: u64,
    pub(super) failed_at: Option<u64>,
    pub(super) ended: bool,
}
