//! Messages to an agent: heartbeats, calls of plain services, orders to load layers, and drain.

use serde::{Deserialize, Serialize};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Fence, Incarnation, Layers, RequestId};

use crate::envelope::Message;

/// What the backend server beside an agent does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Role {
    /// It runs layers of a model as one stage of a pipeline.
    Stage {
        /// The model.
        model: String,
        /// The version of the weights.
        version: String,
        /// The layers that it holds.
        layers: Layers,
        /// The kind of accelerator.
        accelerator: String,
    },
    /// It answers calls of a plain service.
    Service {
        /// The service.
        service: String,
    },
    /// It is an engine that holds no layers; entry processes also answer with this role.
    Idle,
}

/// Whether an agent takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentState {
    /// It takes new work.
    Ready,
    /// It takes no new work because it drains, stops or changes its layers.
    Leaving,
    /// It takes no new work because the backend server beside it does not answer.
    Ailing,
}

/// The load of the backend server beside an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The number of sequences or calls in flight.
    pub running: u32,
    /// The number of sequences or calls that wait in a queue.
    pub queued: u32,
    /// The recent duration of a decode step or call, in microseconds.
    pub step_us: u32,
    /// The recent duration of prefilling one position, in microseconds.
    pub prefill_us: u32,
    /// The share of the memory for sequences that is in use, in thousandths.
    pub memory: u16,
}

/// Asks an agent or an entry process for its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The name of the asking process.
    pub from: String,
}

/// The state of an agent or an entry process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentInfo {
    /// The name of the VM.
    pub vm: String,
    /// The failure domain.
    pub domain: String,
    /// The incarnation of the process, which changes with every restart.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: AgentState,
    /// What its backend server does.
    pub role: Role,
    /// The load of its backend server.
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
    /// The name of the catalogue entry that the call is made under.
    pub entry: String,
    /// The owner of the idempotency key; keys of different owners are distinct.
    pub owner: String,
    /// The service.
    pub service: String,
    /// The idempotency key; `None` for a call that may run more than once.
    pub key: Option<String>,
    /// The digest of method, path and body, which detects reuse of a key for another call.
    pub fingerprint: Fingerprint,
    /// The HTTP method.
    pub method: String,
    /// The path at the service, including the query.
    pub path: String,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The time left to answer the call, in milliseconds.
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
    /// Whether this is the stored answer to an earlier call with the same key.
    pub replayed: bool,
}

impl Message for Call {
    const PATH: &'static str = "/x/v1/call";
    type Answer = CallAnswer;
}

/// Makes an idempotency key final: if its call has not run, the key becomes void and no call with
/// it ever runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoidKey {
    /// The owner of the key.
    pub owner: String,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
}

/// The result of making an idempotency key final.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoidAnswer {
    /// The call had not run and never will.
    Voided,
    /// The call had run; this is its answer.
    Ran(CallAnswer),
    /// The call may have run and its answer is not known; the key is not final.
    InDoubt,
}

impl Message for VoidKey {
    const PATH: &'static str = "/x/v1/void";
    type Answer = VoidAnswer;
}

/// An operator's decision on a call that may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleDecision {
    /// The call ran; this is its answer.
    Done(CallAnswer),
    /// The call did not run and must never run.
    Void,
}

/// Makes an idempotency key final, by an operator's decision if the call may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleKey {
    /// The owner of the key.
    pub owner: String,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The operator's decision; with `None` a call that may have run stays in doubt.
    pub verdict: Option<SettleDecision>,
}

impl Message for SettleKey {
    const PATH: &'static str = "/x/v1/settle";
    type Answer = VoidAnswer;
}

/// Tells an agent to stop taking new work, or to take it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetDraining {
    /// Whether to drain (`true`) or to take new work again (`false`).
    pub leave: bool,
}

impl Message for SetDraining {
    const PATH: &'static str = "/x/v1/drain";
    type Answer = AgentInfo;
}

/// Orders the engine beside an agent to load layers of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadLayers {
    /// The fencing token of the lease under which the order is given.
    pub fence: Fence,
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The layers to hold.
    pub layers: Layers,
}

impl Message for LoadLayers {
    const PATH: &'static str = "/x/v1/order";
    type Answer = AgentInfo;
}
