//! Bodies of an entry process's HTTP interface for operators, in JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use mustard_core::ids::{Incarnation, Seq};

use crate::agent::{AgentState, Load, Role};

/// Whether an entry process starts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// It accepts requests.
    Ready,
    /// It refuses new work: neither the table nor a peer has confirmed its catalogue recently.
    Unconfirmed,
    /// It completes running requests and refuses new ones.
    Draining,
}

/// The answer of `GET /admin/status`: the system as one entry process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the process that answers.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Its incarnation, which changes with every restart.
    pub incarnation: Incarnation,
    /// Whether it starts new work.
    pub state: EntryState,
    /// The last catalogue change in force there.
    pub seq: Seq,
    /// The newest catalogue change that it knows to exist, in force there or not.
    pub newest: Seq,
    /// Milliseconds since its catalogue was known to be the newest; `None` if it never was.
    pub confirmed_ms: Option<u64>,
    /// The number of requests in flight.
    pub running: u64,
    /// The other entry processes that it knows.
    pub entries: Vec<PeerStatus>,
    /// The agents that it knows.
    pub agents: Vec<AgentStatus>,
}

/// Another entry process, as the answering one knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The name of the VM.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// An agent as an entry process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The name of the VM.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Whether it takes new work; `None` until it has answered a heartbeat.
    pub state: Option<AgentState>,
    /// What its backend server does; `None` until it has answered a heartbeat.
    pub role: Option<Role>,
    /// The last reported load of its backend server; all zero until it has answered a heartbeat.
    pub load: Load,
    /// Sequences or calls that the answering process has in flight there.
    pub running: u32,
    /// Milliseconds since its last answer; `None` if it never answered.
    pub heard_ms: Option<u64>,
}

/// The body of `POST /admin/settle`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettleRequest {
    /// The service.
    pub service: String,
    /// The owner of the idempotency key; keys of different owners are distinct.
    pub owner: String,
    /// The idempotency key.
    pub key: String,
}

/// The outcome that a settled call turned out to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettleOutcome {
    /// It had not run and never will.
    NotRun,
    /// It had run.
    Done,
    /// It may have run, and this cannot be determined now.
    Unknown,
}

/// The answer of `POST /admin/settle`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleAnswer {
    /// Whether the call ran.
    pub outcome: SettleOutcome,
    /// The HTTP status of the service's answer, if the call had run.
    pub status: Option<u16>,
}

/// The body of `POST /admin/agents/{vm}/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Whether to drain (`true`) or to take new work again (`false`).
    pub leave: bool,
}
