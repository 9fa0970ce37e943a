//! Settings in TOML, checked whole before a daemon starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::{Table, Value};

/// The result of loading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

const NEAREST_DISTANCE: usize = 4;

/// What a key may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Text that is not empty.
    Text,
    /// One of the given words.
    OneOf(&'static [&'static str]),
    /// An IP address with a port.
    Addr,
    /// A list of IP addresses with ports.
    Addrs,
    /// A list of texts that are not empty.
    Texts,
    /// A whole number in a range.
    Int(i64, i64),
    /// A number in a range.
    Float(f64, f64),
    /// `true` or `false`.
    Bool,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Text => f.write_str("text that is not empty"),
            Kind::OneOf(words) => write!(f, "one of {}", words.join(", ")),
            Kind::Addr => f.write_str("an IP address with a port"),
            Kind::Addrs => f.write_str("a list of IP addresses with ports"),
            Kind::Texts => f.write_str("a list of texts that are not empty"),
            Kind::Int(low, high) => write!(f, "a whole number from {low} to {high}"),
            Kind::Float(low, high) => write!(f, "a number from {low} to {high}"),
            Kind::Bool => f.write_str("true or false"),
        }
    }
}

/// One key of a settings file; keys of tables are written with dots.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The key.
    pub key: &'static str,
    /// What it may hold.
    pub kind: Kind,
    /// Whether the file must have it.
    pub required: bool,
}

impl Field {
    /// Describes a key that must be there.
    pub const fn required(key: &'static str, kind: Kind) -> Self {
        Field {
            key,
            kind,
            required: true,
        }
    }

    /// Describes a key with a default.
    pub const fn optional(key: &'static str, kind: Kind) -> Self {
        Field {
            key,
            kind,
            required: false,
        }
    }
}

/// Settings of one program.
pub trait Settings: DeserializeOwned {
    /// Every key of the file.
    const FIELDS: &'static [Field];

    /// Returns the faults that only show when several keys are read together.
    fn check(&self) -> Vec<Fault> {
        Vec::new()
    }
}

/// A fault of one key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The key is not known.
    #[error("key {key:?} is not known{}", nearest_hint(.nearest))]
    Unknown {
        /// The key as read.
        key: String,
        /// The known key nearest to it.
        nearest: Option<String>,
    },
    /// The key is missing.
    #[error("key {key:?} is missing, allowed: {allowed}")]
    Missing {
        /// The key.
        key: String,
        /// What it may hold.
        allowed: String,
    },
    /// The key holds something else.
    #[error("key {key:?} holds {read}, allowed: {allowed}")]
    Bad {
        /// The key.
        key: String,
        /// What was read.
        read: String,
        /// What it may hold.
        allowed: String,
    },
}

fn nearest_hint(nearest: &Option<String>) -> String {
    nearest
        .as_ref()
        .map(|n| format!(", the nearest known key is {n:?}"))
        .unwrap_or_default()
}

/// A settings file that is not usable.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file is not readable.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: String,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The file is not TOML.
    #[error("{file}: {detail}")]
    Syntax {
        /// The file.
        file: String,
        /// Where and what.
        detail: String,
    },
    /// Keys are at fault; each is listed.
    #[error("{}", list_faults(.file, .faults))]
    Faults {
        /// The file.
        file: String,
        /// All faults, in the order of the file's keys.
        faults: Vec<Fault>,
    },
}

fn list_faults(file: &str, faults: &[Fault]) -> String {
    faults
        .iter()
        .map(|f| format!("{file}: {f}"))
        .collect::<Vec<_>>()
        .join("\n")
}

/// Loads and checks a settings file.
///
/// # Errors
///
/// Returns every fault of the file at once.
pub fn load<T: Settings>(path: &Path) -> Result<T> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text)
}

/// Checks the text of a settings file; `file` names it in errors.
pub fn parse<T: Settings>(file: &str, text: &str) -> Result<T> {
    let syntax = |detail: String| SettingsError::Syntax {
        file: file.to_owned(),
        detail,
    };
    let table: Table = text
        .parse()
        .map_err(|e: toml::de::Error| syntax(e.to_string()))?;
    let faults = check(&table, T::FIELDS);
    if !faults.is_empty() {
        return Err(SettingsError::Faults {
            file: file.to_owned(),
            faults,
        });
    }
    let settings: T = Value::Table(table)
        .try_into()
        .map_err(|e: toml::de::Error| syntax(e.to_string()))?;
    let faults = settings.check();
    if !faults.is_empty() {
        return Err(SettingsError::Faults {
            file: file.to_owned(),
            faults,
        });
    }
    Ok(settings)
}

fn check(table: &Table, fields: &[Field]) -> Vec<Fault> {
    let mut flat = Vec::new();
    flatten("", table, fields, &mut flat);
    let mut faults = Vec::new();
    for (key, value) in &flat {
        match fields.iter().find(|f| f.key == key) {
            None => faults.push(unknown(key, fields)),
            Some(field) if !fits(value, field.kind) => faults.push(bad(field, value)),
            Some(_) => {}
        }
    }
    let has = |f: &Field| flat.iter().any(|(key, _)| key == f.key);
    for field in fields.iter().filter(|f| f.required && !has(f)) {
        let allowed = field.kind.to_string();
        faults.push(Fault::Missing {
            key: field.key.to_owned(),
            allowed,
        });
    }
    faults
}

/// Lists the leaves of a table with dotted keys; a table under an unknown name is one leaf.
fn flatten<'a>(
    prefix: &str,
    table: &'a Table,
    fields: &[Field],
    out: &mut Vec<(String, &'a Value)>,
) {
    for (name, value) in table {
        let key = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        let opens = format!("{key}.");
        match value {
            Value::Table(inner) if fields.iter().any(|f| f.key.starts_with(&opens)) => {
                flatten(&key, inner, fields, out);
            }
            _ => out.push((key, value)),
        }
    }
}

fn unknown(key: &str, fields: &[Field]) -> Fault {
    let nearest = fields
        .iter()
        .map(|f| (strsim::damerau_levenshtein(key, f.key), f.key))
        .min()
        .filter(|(distance, _)| *distance <= NEAREST_DISTANCE)
        .map(|(_, name)| name.to_owned());
    Fault::Unknown {
        key: key.to_owned(),
        nearest,
    }
}

fn bad(field: &Field, value: &Value) -> Fault {
    let allowed = field.kind.to_string();
    Fault::Bad {
        key: field.key.to_owned(),
        read: value.to_string(),
        allowed,
    }
}

fn fits(value: &Value, kind: Kind) -> bool {
    let is_text = |v: &Value| v.as_str().is_some_and(|s| !s.is_empty());
    let is_addr = |v: &Value| v.as_str().is_some_and(|s| s.parse::<SocketAddr>().is_ok());
    match kind {
        Kind::Text => is_text(value),
        Kind::Texts => value
            .as_array()
            .is_some_and(|list| list.iter().all(is_text)),
        Kind::OneOf(words) => value.as_str().is_some_and(|s| words.contains(&s)),
        Kind::Addr => is_addr(value),
        Kind::Addrs => value
            .as_array()
            .is_some_and(|list| list.iter().all(is_addr)),
        Kind::Int(low, high) => value
            .as_integer()
            .is_some_and(|n| (low..=high).contains(&n)),
        Kind::Float(low, high) => number(value).is_some_and(|n| (low..=high).contains(&n)),
        Kind::Bool => value.is_bool(),
    }
}

fn number(value: &Value) -> Option<f64> {
    value
        .as_float()
        .or_else(|| value.as_integer().map(|n| n as f64))
}
