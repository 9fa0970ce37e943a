//! Typed timeline events and the ring buffer that keeps the newest of them.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::{Deserialize, Serialize};

use crate::hlc::Hlc;
use crate::ids::{Epoch, Fence, Incarnation, RequestId, Seq};
use crate::outcome::Outcome;

/// What happened.
///
/// Agents, leases and catalogue entries are identified by name. A chain lists the agents that run
/// the layers of a model, in layer order.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// A process started.
    Started { incarnation: Incarnation },
    /// A process stopped taking new work.
    Draining,
    /// A draining process finished its last request.
    Drained,
    /// A request was admitted under a catalogue entry.
    Admitted { entry: String },
    /// A request got its final answer.
    Answered { outcome: Outcome, reason: String },
    /// An attempt was started over a chain of agents.
    AttemptStarted { epoch: Epoch, chain: Vec<String> },
    /// An attempt failed at an agent.
    AttemptFailed {
        epoch: Epoch,
        agent: String,
        reason: String,
    },
    /// An attempt ended at an agent.
    AttemptClosed { epoch: Epoch, reason: String },
    /// The first token of a request was delivered.
    FirstToken { epoch: Epoch },
    /// A stage processed token positions of an attempt.
    StageRan { epoch: Epoch, from: u32, count: u32 },
    /// A claim, which reserves an idempotency key for one call, was written.
    Claimed { key: String },
    /// A call of a plain service was sent.
    CallSent { key: String },
    /// A call of a plain service was answered.
    CallDone { key: String, status: u16 },
    /// An idempotency key was voided: it is final without an answer, and no call will run under it.
    Voided { key: String },
    /// A catalogue change is in force at this process.
    CatalogueApplied { seq: Seq, entry: String },
    /// A catalogue change was committed to the table.
    CatalogueAccepted { seq: Seq, entry: String },
    /// An agent was added to the agents known to this process.
    AgentJoined { agent: String },
    /// An agent stopped taking new work.
    AgentLeaving { agent: String },
    /// An agent was declared dead.
    AgentLost { agent: String },
    /// A circuit breaker opened for an agent.
    BreakerOpened { agent: String },
    /// The content of a request was quarantined.
    Quarantined { fingerprint: String },
    /// A lease was acquired.
    LeaseTaken { lease: String, fence: Fence },
    /// An order was refused because its fencing token was too low.
    OrderFenced { fence: Fence, highest: Fence },
    /// An order was carried out.
    OrderDone { fence: Fence, order: String },
    /// A service of the platform became reachable or unreachable from this process.
    PlatformState { service: String, up: bool },
}

/// An event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub at: Hlc,
    /// The name of the process.
    pub process: String,
    /// The request that it belongs to, if any.
    pub request: Option<RequestId>,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// A ring buffer of the newest events of a process.
#[derive(Debug)]
pub struct EventRing {
    capacity: usize,
    events: Mutex<VecDeque<Event>>,
}

impl EventRing {
    /// Creates a ring buffer that keeps at most `capacity` events.
    pub fn new(capacity: usize) -> Self {
        EventRing {
            capacity,
            events: Mutex::new(VecDeque::with_capacity(capacity.min(1024))),
        }
    }

    /// Adds an event and drops the oldest one when the ring is full.
    pub fn push(&self, event: Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() == self.capacity {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the events after a timestamp, only those of `request` if it is given.
    pub fn after(&self, at: Hlc, request: Option<RequestId>) -> Vec<Event> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events
            .iter()
            .filter(|e| e.at > at && (request.is_none() || e.request == request))
            .cloned()
            .collect()
    }
}
