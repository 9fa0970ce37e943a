//! One entry of the catalogue: what may run, for whom and how much.

use serde::{Deserialize, Serialize};

use super::errors::{CatalogueError, Result};
use crate::fingerprint::KeyHash;

const MAX_NAME_LEN: usize = 64;
const NAME_RULE: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// The urgency of requests; earlier classes go first under load.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// The answer is needed by a deadline.
    Deadline,
    /// The answer may wait until there is room.
    Batch,
}

/// What an entry gives access to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// A model whose layers are spread over stages.
    Model {
        /// The model's name.
        model: String,
        /// The number of layers that every token must cross.
        layers: u32,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: String,
        /// Whether a call may be repeated without an effect of its own.
        #[serde(default)]
        repeatable: bool,
    },
}

/// How much the owner of an entry may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Admitted requests per second, over all entry processes.
    pub rate: f64,
    /// Requests that may be admitted at once after a pause.
    pub burst: u32,
    /// Requests in flight, over all entry processes.
    pub concurrency: u32,
    /// Tokens that one request may generate.
    pub max_tokens: u32,
    /// The longest deadline that a request may ask for, in milliseconds.
    pub deadline_ms: u64,
    /// The owner's share of the servers under load, relative to other owners.
    pub share: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            rate: 10.0,
            burst: 20,
            concurrency: 32,
            max_tokens: 512,
            deadline_ms: 60_000,
            share: 1,
        }
    }
}

/// An entry of the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The unique name, by which callers ask for it.
    pub name: String,
    /// The customer that it belongs to.
    pub owner: String,
    /// The urgency of its requests.
    #[serde(default)]
    pub class: Class,
    /// What it gives access to.
    pub target: Target,
    /// How much may be used.
    #[serde(default)]
    pub limits: Limits,
    /// Digests of the bearer keys that may use it.
    #[serde(default)]
    pub keys: Vec<KeyHash>,
}

impl Entry {
    /// Checks every field against its range.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn check(&self) -> Result<()> {
        self.faults().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns every field that lies outside its range.
    pub fn faults(&self) -> Vec<CatalogueError> {
        let mut checks = vec![
            self.check_name("name", &self.name),
            self.check_name("owner", &self.owner),
        ];
        match &self.target {
            Target::Model { model, layers } => {
                checks.push(self.check_name("target.model", model));
                checks.push(self.check_count("target.layers", *layers, 10_000.0, "1 to 10000"));
            }
            Target::Service { service, .. } => {
                checks.push(self.check_name("target.service", service));
            }
        }
        checks.extend(self.check_limits());
        checks.extend(self.keys.iter().map(|k| self.check_key(k)));
        checks.into_iter().filter_map(Result::err).collect()
    }

    fn check_limits(&self) -> [Result<()>; 6] {
        let l = &self.limits;
        let million = "1 to 1000000";
        let deadline = l.deadline_ms as f64;
        [
            self.check_range("limits.rate", l.rate, 0.001, 1e6, "0.001 to 1000000"),
            self.check_count("limits.burst", l.burst, 1e6, million),
            self.check_count("limits.concurrency", l.concurrency, 1e6, million),
            self.check_count("limits.max_tokens", l.max_tokens, 1e6, million),
            self.check_range("limits.deadline_ms", deadline, 1.0, 8.64e7, "1 to 86400000"),
            self.check_count("limits.share", l.share, 1e4, "1 to 10000"),
        ]
    }

    fn check_key(&self, key: &KeyHash) -> Result<()> {
        if key.is_valid() {
            return Ok(());
        }
        let allowed = "64 hexadecimal digits";
        Err(CatalogueError::bad_field(
            &self.name, "keys", &key.0, allowed,
        ))
    }

    fn check_count(
        &self,
        field: &'static str,
        count: u32,
        most: f64,
        allowed: &'static str,
    ) -> Result<()> {
        self.check_range(field, f64::from(count), 1.0, most, allowed)
    }

    fn check_name(&self, field: &'static str, text: &str) -> Result<()> {
        let legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(legal) {
            return Ok(());
        }
        Err(CatalogueError::bad_field(
            &self.name,
            field,
            format!("{text:?}"),
            NAME_RULE,
        ))
    }

    fn check_range(
        &self,
        field: &'static str,
        value: f64,
        low: f64,
        high: f64,
        allowed: &'static str,
    ) -> Result<()> {
        if (low..=high).contains(&value) {
            return Ok(());
        }
        Err(CatalogueError::bad_field(&self.name, field, value, allowed))
    }
}
