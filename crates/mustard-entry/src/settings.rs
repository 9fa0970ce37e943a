//! The settings of an entry process.

use std::net::SocketAddr;

use serde::Deserialize;

use mustard_core::fingerprint::KeyHash;
use mustard_net::log::LogOptions;
use mustard_net::settings::{self, Field, Kind};

use crate::errors::{EntryError, Result};

const MAX_MS: i64 = 3_600_000;
const MAX_BODY: i64 = 16 * 1024 * 1024;

/// The settings file of an entry process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The unique name of the process.
    pub name: String,
    /// Where callers, operators and other processes connect.
    pub listen: SocketAddr,
    /// The failure domain of the VM.
    pub domain: String,
    /// The number of worker threads.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Operators as `name:hash`, the hash being the SHA-256 digest of their bearer key.
    #[serde(default)]
    pub operators: Vec<String>,
    /// The platform's services.
    pub platform: Platform,
    /// What callers may ask for.
    #[serde(default)]
    pub limits: Limits,
    /// How the catalogue is kept current.
    #[serde(default)]
    pub catalogue: Sync,
    /// Which drafts wait and which are refused.
    #[serde(default)]
    pub admission: Admission,
    /// How many requests may be tried again.
    #[serde(default)]
    pub retry: Retry,
    /// How drafts are driven through their stages.
    #[serde(default)]
    pub drive: Drive,
    /// How the servers are watched.
    #[serde(default)]
    pub members: Members,
    /// How a planned stop goes.
    #[serde(default)]
    pub drain: Drain,
    /// What is logged and how.
    #[serde(default)]
    pub log: LogOptions,
}

fn default_workers() -> usize {
    2
}

/// The platform's services.
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// The time for one call, in milliseconds.
    #[serde(default = "default_platform_limit")]
    pub limit_ms: u64,
}

fn default_platform_limit() -> u64 {
    1_000
}

/// What callers may ask for.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The time in which a request body must arrive, in milliseconds.
    pub body_ms: u64,
    /// The longest prompt, in tokens.
    pub prompt_tokens: usize,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Connections per worker thread.
    pub connections: usize,
    /// Header fields of one request.
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
            headers: 64,
        }
    }
}

/// How the catalogue is kept current.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Sync {
    /// The mean time between two reads of the table's head, in milliseconds.
    pub poll_ms: u64,
    /// The longest time between two reads of a table that does not answer, in milliseconds.
    pub backoff_ms: u64,
    /// How many peers get new changes from this process.
    pub fanout: usize,
    /// How long requests are taken while neither the table nor a peer confirms the catalogue,
    /// in milliseconds.
    pub unconfirmed_ms: u64,
}

impl Default for Sync {
    fn default() -> Self {
        Sync {
            poll_ms: 1_000,
            backoff_ms: 3_000,
            fanout: 3,
            unconfirmed_ms: 10_000,
        }
    }
}

/// Which drafts wait and which are refused.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Admission {
    /// The longest predicted wait of an interactive request, in milliseconds.
    pub max_wait_ms: u64,
    /// The most requests of one model that wait.
    pub max_queue: usize,
    /// The time between tokens that 95 in 100 should keep, in milliseconds.
    pub gap_ms: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            max_wait_ms: 300,
            max_queue: 10_000,
            gap_ms: 38,
        }
    }
}

/// How many requests may be tried again.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Retry {
    /// Retries earned by each first attempt.
    pub share: f64,
    /// The most retries saved up.
    pub reserve: f64,
}

impl Default for Retry {
    fn default() -> Self {
        Retry {
            share: 0.2,
            reserve: 500.0,
        }
    }
}

/// How drafts are driven through their stages.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Drive {
    /// The shortest time limit of one decode step, in milliseconds.
    pub step_ms: u64,
    /// The shortest time limit of a prefill, in milliseconds.
    pub prefill_ms: u64,
    /// How many times the usual time a step may take.
    pub slow_factor: f64,
    /// Attempts at one request.
    pub attempts: u32,
}

impl Default for Drive {
    fn default() -> Self {
        Drive {
            step_ms: 400,
            prefill_ms: 2_000,
            slow_factor: 8.0,
            attempts: 8,
        }
    }
}

/// How the servers are watched.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Members {
    /// The pause between reads of the list of VMs, in milliseconds.
    pub list_ms: u64,
    /// The longest silence of an agent before it is asked for its state, in milliseconds.
    pub heartbeat_ms: u64,
    /// Agents asked for their state per second at most; with many agents each is asked less
    /// often.
    pub heartbeats: u64,
    /// Agents watched in detail and used for requests.
    pub subset: usize,
}

impl Default for Members {
    fn default() -> Self {
        Members {
            list_ms: 1_000,
            heartbeat_ms: 500,
            heartbeats: 40,
            subset: 1_000,
        }
    }
}

/// How a planned stop goes.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Drain {
    /// How long the process is unready before it refuses requests, in milliseconds.
    pub notice_ms: u64,
    /// How long running requests may take to end, in milliseconds.
    pub grace_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Drain {
            notice_ms: 2_000,
            grace_ms: 60_000,
        }
    }
}

impl settings::Settings for Settings {
    const FIELDS: &'static [Field] = &[
        Field::required("name", Kind::Text),
        Field::required("listen", Kind::Addr),
        Field::required("domain", Kind::Text),
        Field::optional("workers", Kind::Int(1, 64)),
        Field::optional("operators", Kind::Texts),
        Field::required("platform.table", Kind::Addr),
        Field::required("platform.objects", Kind::Addr),
        Field::required("platform.vms", Kind::Addr),
        Field::optional("platform.limit_ms", Kind::Int(10, MAX_MS)),
        Field::optional("limits.body_bytes", Kind::Int(1_024, MAX_BODY)),
        Field::optional("limits.body_ms", Kind::Int(100, MAX_MS)),
        Field::optional("limits.prompt_tokens", Kind::Int(1, 1_000_000)),
        Field::optional("limits.deadline_ms", Kind::Int(10, MAX_MS)),
        Field::optional("limits.connections", Kind::Int(1, 100_000)),
        Field::optional("limits.headers", Kind::Int(8, 96)),
        Field::optional("drive.step_ms", Kind::Int(10, MAX_MS)),
        Field::optional("drive.prefill_ms", Kind::Int(10, MAX_MS)),
        Field::optional("drive.slow_factor", Kind::Float(1.5, 100.0)),
        Field::optional("drive.attempts", Kind::Int(1, 100)),
        Field::optional("members.list_ms", Kind::Int(50, MAX_MS)),
        Field::optional("members.heartbeat_ms", Kind::Int(50, MAX_MS)),
        Field::optional("members.heartbeats", Kind::Int(1, 100_000)),
        Field::optional("members.subset", Kind::Int(1, 10_000)),
        Field::optional("catalogue.poll_ms", Kind::Int(50, MAX_MS)),
        Field::optional("catalogue.backoff_ms", Kind::Int(50, MAX_MS)),
        Field::optional("catalogue.fanout", Kind::Int(1, 16)),
        Field::optional("catalogue.unconfirmed_ms", Kind::Int(100, MAX_MS)),
        Field::optional("admission.max_wait_ms", Kind::Int(0, MAX_MS)),
        Field::optional("admission.max_queue", Kind::Int(1, 1_000_000)),
        Field::optional("admission.gap_ms", Kind::Int(1, MAX_MS)),
        Field::optional("retry.share", Kind::Float(0.0, 10.0)),
        Field::optional("retry.reserve", Kind::Float(1.0, 100_000.0)),
        Field::optional("drain.notice_ms", Kind::Int(0, MAX_MS)),
        Field::optional("drain.grace_ms", Kind::Int(0, MAX_MS)),
        Field::optional("log.format", Kind::OneOf(&["terminal", "json"])),
        Field::optional(
            "log.level",
            Kind::OneOf(&["error", "warning", "info", "debug"]),
        ),
    ];
}

impl Settings {
    /// Returns the operators' names with the digests of their keys.
    ///
    /// # Errors
    ///
    /// Returns [`EntryError::BadOperator`] for an element of another form than `name:hash`.
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
