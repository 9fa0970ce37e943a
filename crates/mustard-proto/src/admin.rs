//! What an entry process shows to operators, as JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use mustard_core::ids::{Incarnation, Seq};

use crate::agent::{AgentState, Load, Role};

/// Whether an entry process starts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// It starts new work.
    Ready,
    /// No process has confirmed its catalogue for too long.
    Unconfirmed,
    /// It ends what runs and starts nothing new.
    Draining,
}

/// The answer of `GET /admin/status`: the system as one entry process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the answering process.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it starts new work.
    pub state: EntryState,
    /// The last catalogue change in force there.
    pub seq: Seq,
    /// The newest catalogue change that it has seen anywhere.
    pub newest: Seq,
    /// How long ago, in milliseconds, its catalogue was known to be the newest.
    pub confirmed_ms: Option<u64>,
    /// Requests in flight.
    pub running: u64,
    /// The other entry processes that it knows.
    pub entries: Vec<PeerStatus>,
    /// The agents that it knows.
    pub agents: Vec<AgentStatus>,
}

/// Another entry process.
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
    /// Whether it takes new work; none before it has answered.
    pub state: Option<AgentState>,
    /// What its server does; none before it has answered.
    pub role: Option<Role>,
    /// The load of its server as last reported.
    pub load: Load,
    /// Work of the answering process in flight there.
    pub running: u32,
    /// How long ago, in milliseconds, it was last heard.
    pub heard_ms: Option<u64>,
}

/// The body of `POST /admin/settle`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settle {
    /// The service.
    pub service: String,
    /// The owner of the idempotency key.
    pub owner: String,
    /// The idempotency key.
    pub key: String,
}

/// What became of a call whose outcome was unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettledAs {
    /// It had not run and never will.
    NotRun,
    /// It had run.
    Done,
    /// It may have run; the service knows no more.
    Unknown,
}

/// The answer of `POST /admin/settle`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// What became of the call.
    pub outcome: SettledAs,
    /// The status of the service's answer, if it had run.
    pub status: Option<u16>,
}

/// The body of `POST /admin/agents/{vm}/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainAsk {
    /// Whether to leave (`true`) or to take work again (`false`).
    pub leave: bool,
}
