//! Settings of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use mustard_net::log::LogOptions;
use mustard_net::settings::{Fault, Field, Kind, Settings};

const SECOND_MS: i64 = 1_000;
const HOUR_MS: i64 = 3_600 * SECOND_MS;
const DAY_MS: i64 = 24 * HOUR_MS;

/// What stands beside the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The settings file of the agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentSettings {
    /// The unique name of the VM.
    pub vm: String,
    /// The failure domain.
    pub domain: String,
    /// Where the agent takes messages.
    pub listen: SocketAddr,
    /// What stands beside the agent.
    pub kind: ServerKind,
    /// Where the backend server listens.
    pub server: SocketAddr,
    /// The name of the plain service.
    #[serde(default)]
    pub service: Option<String>,
    /// Where the platform's table listens.
    pub table: SocketAddr,
    /// Threads that take messages.
    #[serde(default = "defaults::workers")]
    pub workers: usize,
    /// Events kept for the time line.
    #[serde(default = "defaults::events")]
    pub events: usize,
    /// How stops are planned.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Bounds of the sessions of a stage.
    #[serde(default)]
    pub session: SessionSettings,
    /// Bounds of calls with an idempotency key.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// What is logged and how.
    #[serde(default)]
    pub log: LogOptions,
}

mod defaults {
    pub(super) fn workers() -> usize {
        2
    }

    pub(super) fn events() -> usize {
        4096
    }
}

/// How stops are planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DrainSettings {
    /// Time between the refusal of new work and the earliest end, in milliseconds.
    pub notice_ms: u64,
    /// Time after which a stop ends with work running, in milliseconds.
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

/// Bounds of the sessions of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SessionSettings {
    /// The most open sessions.
    pub most: usize,
    /// How long a session may be silent, in milliseconds.
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

/// Bounds of calls with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClaimSettings {
    /// The most rows in one transaction.
    pub batch: usize,
    /// How long a result may wait for a claim to share a transaction with, in milliseconds.
    pub linger_ms: u64,
    /// The most results that wait to be written.
    pub journal: usize,
    /// How long a call waits for the result of another agent's claim, in milliseconds.
    pub join_ms: u64,
    /// The time for one call of the table, in milliseconds.
    pub table_ms: u64,
    /// How long rows are kept, in milliseconds.
    pub retain_ms: u64,
    /// The time between two sweeps of expired rows, in milliseconds.
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
        Field::required("vm", Kind::Text),
        Field::required("domain", Kind::Text),
        Field::required("listen", Kind::Addr),
        Field::required("kind", Kind::OneOf(&["engine", "service"])),
        Field::required("server", Kind::Addr),
        Field::optional("service", Kind::Text),
        Field::required("table", Kind::Addr),
        Field::optional("workers", Kind::Int(1, 64)),
        Field::optional("events", Kind::Int(64, 1 << 20)),
        Field::optional("drain.notice_ms", Kind::Int(0, 60 * SECOND_MS)),
        Field::optional("drain.grace_ms", Kind::Int(100, HOUR_MS)),
        Field::optional("session.most", Kind::Int(1, 1 << 20)),
        Field::optional("session.idle_ms", Kind::Int(100, HOUR_MS)),
        Field::optional("session.memory_ms", Kind::Int(SECOND_MS, HOUR_MS)),
        Field::optional("session.report_ms", Kind::Int(0, HOUR_MS)),
        Field::optional("claims.batch", Kind::Int(2, 1_000)),
        Field::optional("claims.linger_ms", Kind::Int(0, 10 * SECOND_MS)),
        Field::optional("claims.journal", Kind::Int(1, 1 << 20)),
        Field::optional("claims.join_ms", Kind::Int(0, 60 * SECOND_MS)),
        Field::optional("claims.table_ms", Kind::Int(10, 60 * SECOND_MS)),
        Field::optional("claims.retain_ms", Kind::Int(60 * SECOND_MS, 400 * DAY_MS)),
        Field::optional("claims.sweep_ms", Kind::Int(SECOND_MS, 30 * DAY_MS)),
        Field::optional("log.format", Kind::OneOf(&["terminal", "json"])),
        Field::optional(
            "log.level",
            Kind::OneOf(&["error", "warning", "info", "debug"]),
        ),
    ];

    fn check(&self) -> Vec<Fault> {
        let named = self.service.is_some();
        match self.kind {
            ServerKind::Service if !named => vec![Fault::Missing {
                key: "service".to_owned(),
                allowed: "the name of the service, as kind is \"service\"".to_owned(),
            }],
            ServerKind::Engine if named => vec![Fault::Bad {
                key: "service".to_owned(),
                read: format!("{:?}", self.service.as_deref().unwrap_or_default()),
                allowed: "no value, as kind is \"engine\"".to_owned(),
            }],
            _ => Vec::new(),
        }
    }
}

impl AgentSettings {
    /// Returns the time between the refusal of new work and the earliest end.
    pub fn notice(&self) -> Duration {
        Duration::from_millis(self.drain.notice_ms)
    }

    /// Returns the time after which a stop ends with work running.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.drain.grace_ms)
    }
}
