//! One entry of the catalogue: which model or service an owner may use, and how much of it.

use serde::{Deserialize, Serialize};

use super::errors::{CatalogueError, Result};
use crate::fingerprint::KeyHash;

const MAX_NAME_LEN: usize = 64;
const NAME_RULE: &str = "1 to 64 letters, digits, '-', '_' or '.'";

/// The priority class of requests; under load, a class listed earlier goes first.
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
    /// The answer may wait until there is spare capacity.
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
        /// The number of layers of the model, all of which process every token.
        layers: u32,
    },
    /// A plain service, without stages: one server answers a whole call.
    Service {
        /// The service's name.
        service: String,
        /// Whether a call may run more than once without a further effect.
        #[serde(default)]
        repeatable: bool,
    },
}

/// How much may be used through one catalogue entry; another entry of the same owner has limits of
/// its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Admitted requests per second, over all processes that take requests.
    pub rate: f64,
    /// Requests that may be admitted at once after an idle period.
    pub burst: u32,
    /// Requests in flight, over all processes that take requests.
    pub concurrency: u32,
    /// Tokens that one request may generate.
    pub max_tokens: u32,
    /// The longest deadline that a request may ask for, in milliseconds.
    pub deadline_ms: u64,
    /// The owner's share of the capacity while requests wait, relative to other owners.
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

/// One entry of the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The unique name, which clients may give in a request.
    pub name: String,
    /// The name of the customer that it belongs to.
    pub owner: String,
    /// The priority class of its requests.
    #[serde(default)]
    pub class: Class,
    /// What it gives access to.
    pub target: Target,
    /// How much may be used through it.
    #[serde(default)]
    pub limits: Limits,
    /// The digests of the bearer keys that may use it.
    #[serde(default)]
    pub keys: Vec<KeyHash>,
}

impl Entry {
    /// Validates every field.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field outside its range.
    pub fn validate(&self) -> Result<()> {
        self.field_errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns an error for each field outside its range.
    pub fn field_errors(&self) -> Vec<CatalogueError> {
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
        let up_to_million = "1 to 1000000";
        let deadline = l.deadline_ms as f64;
        [
            self.check_range("limits.rate", l.rate, 0.001, 1e6, "0.001 to 1000000"),
            self.check_count("limits.burst", l.burst, 1e6, up_to_million),
            self.check_count("limits.concurrency", l.concurrency, 1e6, up_to_million),
            self.check_count("limits.max_tokens", l.max_tokens, 1e6, up_to_million),
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
        max: f64,
        allowed: &'static str,
    ) -> Result<()> {
        self.check_range(field, f64::from(count), 1.0, max, allowed)
    }

    fn check_name(&self, field: &'static str, text: &str) -> Result<()> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(is_allowed) {
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
        min: f64,
        max: f64,
        allowed: &'static str,
    ) -> Result<()> {
        if (min..=max).contains(&value) {
            return Ok(());
        }
        Err(CatalogueError::bad_field(&self.name, field, value, allowed))
    }
}
