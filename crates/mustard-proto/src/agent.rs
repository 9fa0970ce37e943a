//! Messages to an agent: heartbeats, calls of plain services, orders and drain.

use serde::{Deserialize, Serialize};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Fence, Incarnation, Layers, RequestId};

use crate::envelope::Message;

/// What the server beside an agent does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Role {
    /// It runs layers of a model.
    Stage {
        /// The model.
        model: String,
        /// The version of the weights.
        version: String,
        /// The layers held.
        layers: Layers,
        /// The kind of accelerator.
        accelerator: String,
    },
    /// It is a plain service.
    Service {
        /// The service.
        service: String,
    },
    /// It holds nothing yet.
    Idle,
}

/// Whether an agent takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentState {
    /// It takes new work.
    Ready,
    /// It ends what runs and takes nothing new.
    Leaving,
    /// The server beside it does not answer.
    Ailing,
}

/// The load of the server beside an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Sequences or calls in flight.
    pub running: u32,
    /// Sequences or calls that wait.
    pub queued: u32,
    /// Recent time of one decode step or call, in microseconds.
    pub step_us: u32,
    /// Recent time of one prefilled position, in microseconds.
    pub prefill_us: u32,
    /// Share of the memory for sequences in use, in thousandths.
    pub memory: u16,
}

/// Asks an agent for its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The name of the asking process.
    pub from: String,
}

/// The state of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentInfo {
    /// The name of the VM.
    pub vm: String,
    /// The failure domain.
    pub domain: String,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: AgentState,
    /// What its server does.
    pub role: Role,
    /// The load of its server.
    pub load: Load,
}

impl Message for Heartbeat {
    const PATH: &'static str = "/x/v1/heartbeat";
    type Answer = AgentInfo;
}

/// Calls the plain service beside an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The request.
    pub request: RequestId,
    /// The catalogue entry.
    pub entry: String,
    /// The owner, who has a key space of its own.
    pub owner: String,
    /// The service.
    pub service: String,
    /// The idempotency key; none for a call that may be repeated.
    pub key: Option<String>,
    /// The digest of method, path and body.
    pub fingerprint: Fingerprint,
    /// The HTTP method.
    pub method: String,
    /// The path at the service, with its query.
    pub path: String,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The time left, in milliseconds.
    pub deadline_ms: u64,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Whether this is the kept answer to an earlier call with the same key.
    pub replayed: bool,
}

impl Message for Call {
    const PATH: &'static str = "/x/v1/call";
    type Answer = CallAnswer;
}

/// Makes an idempotency key final, so that it never runs from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Void {
    /// The owner of the key.
    pub owner: String,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
}

/// What became of a key that was to be made final.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoidAnswer {
    /// It had not run and never will.
    Voided,
    /// It had run; this is its answer.
    Ran(CallAnswer),
    /// It may have run.
    InDoubt,
}

impl Message for Void {
    const PATH: &'static str = "/x/v1/void";
    type Answer = VoidAnswer;
}

/// How an operator ends the doubt about a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The call ran; this is its answer.
    Done(CallAnswer),
    /// The call did not run and never will.
    Void,
}

/// Makes a key in doubt final, on the word of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The owner of the key.
    pub owner: String,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// What the operator found; none asks only what can be told without one.
    pub verdict: Option<Verdict>,
}

impl Message for Settle {
    const PATH: &'static str = "/x/v1/settle";
    type Answer = VoidAnswer;
}

/// Tells an agent to take no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Whether to leave (`true`) or to take work again (`false`).
    pub leave: bool,
}

impl Message for Drain {
    const PATH: &'static str = "/x/v1/drain";
    type Answer = AgentInfo;
}

/// Orders the engine beside an agent to hold layers of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the lease under which the order is given.
    pub fence: Fence,
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The layers to hold.
    pub layers: Layers,
}

impl Message for Order {
    const PATH: &'static str = "/x/v1/order";
    type Answer = AgentInfo;
}
