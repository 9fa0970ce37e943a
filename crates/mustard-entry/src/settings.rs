//! The settings of an entry process.

use std::net::SocketAddr;

use serde::Deserialize;

use mustard_core::fingerprint::KeyHash;
use mustard_net::ClientLimits;
use mustard_net::log::LogOptions;
use mustard_net::server::MAX_MESSAGE_BYTES;
use mustard_net::settings::{self, Field, KeyError, ValueKind};

use crate::errors::{EntryError, Result};

/// The maximum of any duration, one hour.
const MAX_MS: i64 = 3_600_000;
const MAX_BODY_BYTES: i64 = 16 * 1024 * 1024;

/// The settings of an entry process, as read from its file.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The unique name of the process.
    pub name: String,
    /// The address to which callers, operators and other processes of the system connect.
    pub listen: SocketAddr,
    /// The failure domain of the VM.
    pub domain: String,
    /// The number of worker threads.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Operators as `name:hash`, the hash being the SHA-256 digest of their bearer key.
    #[serde(default)]
    pub operators: Vec<String>,
    /// Where the platform's services are.
    pub platform: Platform,
    /// The limits of callers' requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// How the catalogue is kept current.
    #[serde(default)]
    pub catalogue: CatalogueSettings,
    /// Which completion requests wait and which are refused.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// How many requests may be retried.
    #[serde(default)]
    pub retry: RetrySettings,
    /// How completion requests are run over the stages of a model.
    #[serde(default)]
    pub drive: DriveSettings,
    /// How agents are found and watched.
    #[serde(default)]
    pub members: MembershipSettings,
    /// How long a planned stop may take.
    #[serde(default)]
    pub drain: DrainSettings,
    /// What is logged and how.
    #[serde(default)]
    pub log: LogOptions,
}

fn default_workers() -> usize {
    2
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// The timeout of one call, in milliseconds.
    #[serde(default = "default_platform_limit")]
    pub limit_ms: u64,
}

fn default_platform_limit() -> u64 {
    1_000
}

/// The limits of callers' requests and connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The timeout for a request body to arrive, in milliseconds.
    pub body_ms: u64,
    /// The longest prompt, in tokens.
    pub prompt_tokens: usize,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum number of connections per worker thread; at most half of the descriptors of the process.
    pub connections: usize,
    /// The most bytes that all worker threads together hold for clients, in equal parts: bodies and what is
    /// still to be decoded.
    pub client_bytes: usize,
    /// The maximum number of header fields of one request.
    pub headers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 1024 * 1024,
            body_ms: 10_000,
            prompt_tokens: 16_384,
            deadline_ms: 30_000,
            connections: 10_000,
            client_bytes: 64 * 1024 * 1024,
            headers: 64,
        }
    }
}

/// How the catalogue is kept current.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct CatalogueSettings {
    /// The mean time between two reads of the table's head, in milliseconds.
    pub poll_ms: u64,
    /// The longest time between two reads of a table that does not answer, in milliseconds.
    pub backoff_ms: u64,
    /// The number of other entry processes to which this one sends new changes.
    pub fanout: usize,
    /// How long requests are accepted while neither the table nor another entry process confirms
    /// that the catalogue is the newest, in milliseconds.
    pub unconfirmed_ms: u64,
}

impl Default for CatalogueSettings {
    fn default() -> Self {
        CatalogueSettings {
            poll_ms: 1_000,
            backoff_ms: 3_000,
            fanout: 3,
            unconfirmed_ms: 10_000,
        }
    }
}

/// Which completion requests wait and which are refused.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct AdmissionSettings {
    /// The longest predicted wait of an interactive request, in milliseconds.
    pub max_wait_ms: u64,
    /// The maximum number of waiting requests per model.
    pub max_queue: usize,
    /// The target for the 95th percentile of the time between two tokens, in milliseconds.
    pub gap_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            max_wait_ms: 300,
            max_queue: 10_000,
            gap_ms: 38,
        }
    }
}

/// The retry budget of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct RetrySettings {
    /// The number of retries that each first attempt adds to the budget, usually a fraction.
    pub share: f64,
    /// The maximum number of retries saved up.
    pub reserve: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            share: 0.2,
            reserve: 500.0,
        }
    }
}

/// How completion requests are run over the stages of a model.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct DriveSettings {
    /// The minimum time limit of one decode step, in milliseconds.
    pub step_ms: u64,
    /// The minimum time limit of a prefill, in milliseconds.
    pub prefill_ms: u64,
    /// The multiple of its expected time after which a step times out.
    pub slow_factor: f64,
    /// The maximum number of attempts at one request.
    pub attempts: u32,
}

impl Default for DriveSettings {
    fn default() -> Self {
        DriveSettings {
            step_ms: 400,
            prefill_ms: 2_000,
            slow_factor: 8.0,
            attempts: 8,
        }
    }
}

/// How agents are found and watched.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct MembershipSettings {
    /// The pause between reads of the list of VMs, in milliseconds.
    pub list_ms: u64,
    /// How long an agent may be silent before it is sent a heartbeat, in milliseconds.
    pub heartbeat_ms: u64,
    /// The maximum number of heartbeats per second; with many agents each gets them less often.
    pub heartbeats: u64,
    /// The maximum number of agents that are watched and used for requests.
    pub subset: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            list_ms: 1_000,
            heartbeat_ms: 500,
            heartbeats: 40,
            subset: 1_000,
        }
    }
}

/// How long a planned stop may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct DrainSettings {
    /// How long the process reports not ready before it refuses requests, in milliseconds.
    pub notice_ms: u64,
    /// How long running requests may take to finish, in milliseconds.
    pub grace_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        DrainSettings {
            notice_ms: 2_000,
            grace_ms: 60_000,
        }
    }
}

impl settings::Settings for Settings {
    const FIELDS: &'static [Field] = &[
        Field::required("name", ValueKind::Text),
        Field::required("listen", ValueKind::Addr),
        Field::required("domain", ValueKind::Text),
        Field::optional("workers", ValueKind::Int(1, 64)),
        Field::optional("operators", ValueKind::TextList),
        Field::required("platform.table", ValueKind::Addr),
        Field::required("platform.objects", ValueKind::Addr),
        Field::required("platform.vms", ValueKind::Addr),
        Field::optional("platform.limit_ms", ValueKind::Int(10, MAX_MS)),
        Field::optional("limits.body_bytes", ValueKind::Int(1_024, MAX_BODY_BYTES)),
        Field::optional("limits.body_ms", ValueKind::Int(100, MAX_MS)),
        Field::optional("limits.prompt_tokens", ValueKind::Int(1, 1_000_000)),
        Field::optional("limits.deadline_ms", ValueKind::Int(10, MAX_MS)),
        Field::optional("limits.connections", ValueKind::Int(1, 100_000)),
        Field::optional("limits.client_bytes", ValueKind::Int(1 << 20, 1 << 36)),
        Field::optional("limits.headers", ValueKind::Int(8, 96)),
        Field::optional("drive.step_ms", ValueKind::Int(10, MAX_MS)),
        Field::optional("drive.prefill_ms", ValueKind::Int(10, MAX_MS)),
        Field::optional("drive.slow_factor", ValueKind::Float(1.5, 100.0)),
        Field::optional("drive.attempts", ValueKind::Int(1, 100)),
        Field::optional("members.list_ms", ValueKind::Int(50, MAX_MS)),
        Field::optional("members.heartbeat_ms", ValueKind::Int(50, MAX_MS)),
        Field::optional("members.heartbeats", ValueKind::Int(1, 100_000)),
        Field::optional("members.subset", ValueKind::Int(1, 10_000)),
        Field::optional("catalogue.poll_ms", ValueKind::Int(50, MAX_MS)),
        Field::optional("catalogue.backoff_ms", ValueKind::Int(50, MAX_MS)),
        Field::optional("catalogue.fanout", ValueKind::Int(1, 16)),
        Field::optional("catalogue.unconfirmed_ms", ValueKind::Int(100, MAX_MS)),
        Field::optional("admission.max_wait_ms", ValueKind::Int(0, MAX_MS)),
        Field::optional("admission.max_queue", ValueKind::Int(1, 1_000_000)),
        Field::optional("admission.gap_ms", ValueKind::Int(1, MAX_MS)),
        Field::optional("retry.share", ValueKind::Float(0.0, 10.0)),
        Field::optional("retry.reserve", ValueKind::Float(1.0, 100_000.0)),
        Field::optional("drain.notice_ms", ValueKind::Int(0, MAX_MS)),
        Field::optional("drain.grace_ms", ValueKind::Int(0, MAX_MS)),
        Field::optional("log.format", ValueKind::OneOf(&["terminal", "json"])),
        Field::optional(
            "log.level",
            ValueKind::OneOf(&["error", "warning", "info", "debug"]),
        ),
    ];

    fn check(&self) -> Vec<KeyError> {
        let largest = self.limits.body_bytes.max(MAX_MESSAGE_BYTES);
        if self.client_limits().largest_body() >= largest {
            return Vec::new();
        }
        vec![KeyError::InvalidValue {
            key: "limits.client_bytes".to_owned(),
            read: self.limits.client_bytes.to_string(),
            allowed: format!(
                "room for a body of {largest} bytes in three quarters of each thread's part"
            ),
        }]
    }
}

impl Settings {
    /// Returns what each worker thread may hold for clients.
    pub fn client_limits(&self) -> ClientLimits {
        let limits = &self.limits;
        ClientLimits::per_worker(limits.client_bytes, limits.connections, self.workers)
    }

    /// Returns the operators' names with the digests of their keys.
    ///
    /// # Errors
    ///
    /// Returns [`EntryError::BadOperator`] for an element that is not of the form `name:hash`.
    pub fn operator_keys(&self) -> Result<Vec<(String, KeyHash)>> {
        self.operators.iter().map(|text| parse_key(text)).collect()
    }
}

fn parse_key(text: &str) -> Result<(String, KeyHash)> {
    let bad = || EntryError::BadOperator {
        name: text.split(':').next().unwrap_or_default().to_owned(),
    };
    let (name, hash) = text.split_once(':').ok_or_else(bad)?;
    let hash = KeyHash(hash.to_owned());
    if name.is_empty() || !hash.is_valid() {
        return Err(bad());
    }
    Ok((name.to_owned(), hash))
}
