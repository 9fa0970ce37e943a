//! The settings of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use mustard_net::ClientLimits;
use mustard_net::log::LogOptions;
use mustard_net::server::MAX_MESSAGE_BYTES;
use mustard_net::settings::{Field, KeyError, Settings, ValueKind};

const SECOND_MS: i64 = 1_000;
const HOUR_MS: i64 = 3_600 * SECOND_MS;
const DAY_MS: i64 = 24 * HOUR_MS;

/// The kind of backend server beside the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A model engine, which runs a stage of a model.
    Engine,
    /// A plain service, which takes calls.
    Service,
}

/// The settings file of the agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentSettings {
    /// The name of the VM, unique among all VMs.
    pub vm: String,
    /// The failure domain of the VM.
    pub domain: String,
    /// The address on which the agent receives messages.
    pub listen: SocketAddr,
    /// The kind of the backend server.
    pub kind: ServerKind,
    /// The address of the backend server.
    pub server: SocketAddr,
    /// The name of the plain service; required beside a service, not allowed beside an engine.
    #[serde(default)]
    pub service: Option<String>,
    /// The address of the platform's table.
    pub table: SocketAddr,
    /// The number of threads that handle messages.
    #[serde(default = "defaults::workers")]
    pub workers: usize,
    /// The number of recorded events that are kept in memory for timeline queries.
    #[serde(default = "defaults::events")]
    pub events: usize,
    /// The timing of planned stops.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Limits of the sessions of a stage.
    #[serde(default)]
    pub session: SessionSettings,
    /// Limits of calls with an idempotency key.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// What is held for clients.
    #[serde(default)]
    pub clients: ClientSettings,
    /// The level and format of the log.
    #[serde(default)]
    pub log: LogOptions,
}

/// What all threads together hold for clients, in equal parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientSettings {
    /// The most bytes: messages and what is still to be decoded.
    pub bytes: usize,
    /// The most connections; at most half of the descriptors of the process.
    pub connections: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        ClientSettings {
            bytes: 48 * 1024 * 1024,
            connections: 8_192,
        }
    }
}

mod defaults {
    pub(super) fn workers() -> usize {
        2
    }

    pub(super) fn events() -> usize {
        4096
    }
}

/// The timing of planned stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainSettings {
    /// The least time between the first refusal of new work and the end of the process, in
    /// milliseconds.
    pub notice_ms: u64,
    /// The time after which the process ends although work is still running, in milliseconds.
    pub grace_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        DrainSettings {
            notice_ms: 500,
            grace_ms: 120_000,
        }
    }
}

/// Limits of the sessions of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SessionSettings {
    /// The most open sessions.
    pub most: usize,
    /// How long a session may be idle before it is ended, in milliseconds.
    pub idle_ms: u64,
    /// How long an ended attempt is remembered, in milliseconds.
    pub memory_ms: u64,
    /// The least time between two load reports within one session, in milliseconds.
    pub report_ms: u64,
}

impl Default for SessionSettings {
    fn default() -> Self {
        SessionSettings {
            most: 512,
            idle_ms: 30_000,
            memory_ms: 120_000,
            report_ms: 2_000,
        }
    }
}

/// Limits of calls with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClaimSettings {
    /// The most rows in one transaction.
    pub batch: usize,
    /// How long the write of a result may wait for others to share its transaction, in
    /// milliseconds.
    pub linger_ms: u64,
    /// The number of unfinished background writes at which new calls are refused.
    pub journal: usize,
    /// How long a call waits for the result of another agent's claim, in milliseconds. If that
    /// agent is seen to be alive, the call waits until shortly before its own deadline instead.
    pub join_ms: u64,
    /// The timeout of one request to the table, in milliseconds.
    pub table_ms: u64,
    /// How long the rows of closed and released keys are kept, in milliseconds.
    pub retain_ms: u64,
    /// The period of the sweep that deletes expired rows, in milliseconds.
    pub sweep_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            batch: 64,
            linger_ms: 50,
            journal: 1_024,
            join_ms: 2_000,
            table_ms: 1_000,
            retain_ms: 7 * DAY_MS as u64,
            sweep_ms: HOUR_MS as u64,
        }
    }
}

impl Settings for AgentSettings {
    const FIELDS: &'static [Field] = &[
        Field::required("vm", ValueKind::Text),
        Field::required("domain", ValueKind::Text),
        Field::required("listen", ValueKind::Addr),
        Field::required("kind", ValueKind::OneOf(&["engine", "service"])),
        Field::required("server", ValueKind::Addr),
        Field::optional("service", ValueKind::Text),
        Field::required("table", ValueKind::Addr),
        Field::optional("workers", ValueKind::Int(1, 64)),
        Field::optional("events", ValueKind::Int(64, 1 << 20)),
        Field::optional("drain.notice_ms", ValueKind::Int(0, 60 * SECOND_MS)),
        Field::optional("drain.grace_ms", ValueKind::Int(100, HOUR_MS)),
        Field::optional("session.most", ValueKind::Int(1, 1 << 20)),
        Field::optional("session.idle_ms", ValueKind::Int(100, HOUR_MS)),
        Field::optional("session.memory_ms", ValueKind::Int(SECOND_MS, HOUR_MS)),
        Field::optional("session.report_ms", ValueKind::Int(0, HOUR_MS)),
        Field::optional("claims.batch", ValueKind::Int(2, 1_000)),
        Field::optional("claims.linger_ms", ValueKind::Int(0, 10 * SECOND_MS)),
        Field::optional("claims.journal", ValueKind::Int(1, 1 << 20)),
        Field::optional("claims.join_ms", ValueKind::Int(0, 60 * SECOND_MS)),
        Field::optional("claims.table_ms", ValueKind::Int(10, 60 * SECOND_MS)),
        Field::optional(
            "claims.retain_ms",
            ValueKind::Int(60 * SECOND_MS, 400 * DAY_MS),
        ),
        Field::optional("claims.sweep_ms", ValueKind::Int(SECOND_MS, 30 * DAY_MS)),
        Field::optional("clients.bytes", ValueKind::Int(1 << 20, 1 << 36)),
        Field::optional("clients.connections", ValueKind::Int(8, 1 << 20)),
        Field::optional("log.format", ValueKind::OneOf(&["terminal", "json"])),
        Field::optional(
            "log.level",
            ValueKind::OneOf(&["error", "warning", "info", "debug"]),
        ),
    ];

    fn check(&self) -> Vec<KeyError> {
        if self.client_limits().largest_body() < MAX_MESSAGE_BYTES {
            return vec![KeyError::InvalidValue {
                key: "clients.bytes".to_owned(),
                read: self.clients.bytes.to_string(),
                allowed: format!(
                    "room for a message of {MAX_MESSAGE_BYTES} bytes in three quarters of each thread's part"
                ),
            }];
        }
        let has_service = self.service.is_some();
        match self.kind {
            ServerKind::Service if !has_service => vec![KeyError::Missing {
                key: "service".to_owned(),
                allowed: "the name of the service, because kind is \"service\"".to_owned(),
            }],
            ServerKind::Engine if has_service => vec![KeyError::InvalidValue {
                key: "service".to_owned(),
                read: format!("{:?}", self.service.as_deref().unwrap_or_default()),
                allowed: "no value, because kind is \"engine\"".to_owned(),
            }],
            _ => Vec::new(),
        }
    }
}

impl AgentSettings {
    /// Returns the least time between the first refusal of new work and the end of the process.
    pub fn notice(&self) -> Duration {
        Duration::from_millis(self.drain.notice_ms)
    }

    /// Returns what each thread may hold for clients.
    pub fn client_limits(&self) -> ClientLimits {
        let clients = &self.clients;
        let connections = clients.connections / self.workers;
        ClientLimits::per_worker(clients.bytes, connections, self.workers)
    }

    /// Returns the time after which the process ends although work is still running.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.drain.grace_ms)
    }
}
