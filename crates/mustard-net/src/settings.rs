//! TOML settings files, checked completely before a daemon starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::{Table, Value};

/// The result of loading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// The largest edit distance at which a known key is suggested for an unknown one.
const MAX_HINT_DISTANCE: usize = 4;

/// The values that a key allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// Non-empty text.
    Text,
    /// One of the given words.
    OneOf(&'static [&'static str]),
    /// An IP address with a port.
    Addr,
    /// A list of IP addresses with ports.
    AddrList,
    /// A list of non-empty texts.
    TextList,
    /// A whole number from the first to the second bound, both included.
    Int(i64, i64),
    /// A number from the first to the second bound, both included.
    Float(f64, f64),
    /// `true` or `false`.
    Bool,
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ValueKind::Text => f.write_str("text that is not empty"),
            ValueKind::OneOf(words) => write!(f, "one of {}", words.join(", ")),
            ValueKind::Addr => f.write_str("an IP address with a port"),
            ValueKind::AddrList => f.write_str("a list of IP addresses with ports"),
            ValueKind::TextList => f.write_str("a list of texts that are not empty"),
            ValueKind::Int(low, high) => write!(f, "a whole number from {low} to {high}"),
            ValueKind::Float(low, high) => write!(f, "a number from {low} to {high}"),
            ValueKind::Bool => f.write_str("true or false"),
        }
    }
}

/// One key of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The key; that of a value in a table is dotted, as in `limits.rate`.
    pub key: &'static str,
    /// The values that it allows.
    pub kind: ValueKind,
    /// Whether the file must contain it.
    pub required: bool,
}

impl Field {
    /// Describes a key that the file must contain.
    pub const fn required(key: &'static str, kind: ValueKind) -> Self {
        Field {
            key,
            kind,
            required: true,
        }
    }

    /// Describes a key that may be absent.
    pub const fn optional(key: &'static str, kind: ValueKind) -> Self {
        Field {
            key,
            kind,
            required: false,
        }
    }
}

/// The settings of one program.
pub trait Settings: DeserializeOwned {
    /// All keys that the file may contain.
    const FIELDS: &'static [Field];

    /// Returns the errors of values that are allowed by themselves but not together.
    ///
    /// Runs only if no single key is at fault.
    fn check(&self) -> Vec<KeyError> {
        Vec::new()
    }
}

/// What is wrong with one key of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The program doesn't know the key.
    #[error("key {key:?} is not known{}", nearest_hint(.nearest))]
    Unknown {
        /// The key that was read.
        key: String,
        /// The known key with the most similar name; none if no name is similar.
        nearest: Option<String>,
    },
    /// The file lacks a required key.
    #[error("key {key:?} is missing, allowed: {allowed}")]
    Missing {
        /// The key.
        key: String,
        /// The values that it allows, in words.
        allowed: String,
    },
    /// The key has a value that isn't allowed.
    #[error("key {key:?} holds {read}, allowed: {allowed}")]
    InvalidValue {
        /// The key.
        key: String,
        /// The value that was read, as TOML.
        read: String,
        /// The values that it allows, in words.
        allowed: String,
    },
}

fn nearest_hint(nearest: &Option<String>) -> String {
    nearest
        .as_ref()
        .map(|n| format!(", the nearest known key is {n:?}"))
        .unwrap_or_default()
}

/// A settings file that can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, or its values don't deserialize into the settings type.
    #[error("{file}: {detail}")]
    Syntax {
        /// The file.
        file: String,
        /// The message of the TOML parser, with the place of the error.
        detail: String,
    },
    /// One or more keys are at fault.
    #[error("{}", list_errors(.file, .errors))]
    InvalidKeys {
        /// The file.
        file: String,
        /// Unknown keys and values that aren't allowed, then missing keys; only if there are none
        /// of these, the errors of [`Settings::check`].
        errors: Vec<KeyError>,
    },
}

fn list_errors(file: &str, errors: &[KeyError]) -> String {
    errors
        .iter()
        .map(|f| format!("{file}: {f}"))
        .collect::<Vec<_>>()
        .join("\n")
}

/// Loads and checks a settings file.
///
/// # Errors
///
/// Returns all errors of single keys at once, or if there are none, those of
/// [`Settings::check`].
pub fn load<T: Settings>(path: &Path) -> Result<T> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text)
}

/// Parses and checks the text of a settings file; `file` is its name in errors.
pub fn parse<T: Settings>(file: &str, text: &str) -> Result<T> {
    let syntax_error = |detail: String| SettingsError::Syntax {
        file: file.to_owned(),
        detail,
    };
    let table: Table = text
        .parse()
        .map_err(|e: toml::de::Error| syntax_error(e.to_string()))?;
    let errors = check_keys(&table, T::FIELDS);
    if !errors.is_empty() {
        return Err(SettingsError::InvalidKeys {
            file: file.to_owned(),
            errors,
        });
    }
    let settings: T = Value::Table(table)
        .try_into()
        .map_err(|e: toml::de::Error| syntax_error(e.to_string()))?;
    let errors = settings.check();
    if !errors.is_empty() {
        return Err(SettingsError::InvalidKeys {
            file: file.to_owned(),
            errors,
        });
    }
    Ok(settings)
}

fn check_keys(table: &Table, fields: &[Field]) -> Vec<KeyError> {
    let mut leaves = Vec::new();
    flatten("", table, fields, &mut leaves);
    let mut errors = Vec::new();
    for (key, value) in &leaves {
        match fields.iter().find(|f| f.key == key) {
            None => errors.push(unknown_key(key, fields)),
            Some(field) if !is_allowed(value, field.kind) => errors.push(bad_value(field, value)),
            Some(_) => {}
        }
    }
    let is_present = |f: &Field| leaves.iter().any(|(key, _)| key == f.key);
    for field in fields.iter().filter(|f| f.required && !is_present(f)) {
        let allowed = field.kind.to_string();
        errors.push(KeyError::Missing {
            key: field.key.to_owned(),
            allowed,
        });
    }
    errors
}

/// Collects the values of a table under their dotted keys.
///
/// A nested table that no known key lies in is collected as one value.
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
        let table_prefix = format!("{key}.");
        match value {
            Value::Table(inner) if fields.iter().any(|f| f.key.starts_with(&table_prefix)) => {
                flatten(&key, inner, fields, out);
            }
            _ => out.push((key, value)),
        }
    }
}

fn unknown_key(key: &str, fields: &[Field]) -> KeyError {
    let nearest = fields
        .iter()
        .map(|f| (strsim::damerau_levenshtein(key, f.key), f.key))
        .min()
        .filter(|(distance, _)| *distance <= MAX_HINT_DISTANCE)
        .map(|(_, name)| name.to_owned());
    KeyError::Unknown {
        key: key.to_owned(),
        nearest,
    }
}

fn bad_value(field: &Field, value: &Value) -> KeyError {
    let allowed = field.kind.to_string();
    KeyError::InvalidValue {
        key: field.key.to_owned(),
        read: value.to_string(),
        allowed,
    }
}

fn is_allowed(value: &Value, kind: ValueKind) -> bool {
    let is_text = |v: &Value| v.as_str().is_some_and(|s| !s.is_empty());
    let is_addr = |v: &Value| v.as_str().is_some_and(|s| s.parse::<SocketAddr>().is_ok());
    match kind {
        ValueKind::Text => is_text(value),
        ValueKind::TextList => value
            .as_array()
            .is_some_and(|list| list.iter().all(is_text)),
        ValueKind::OneOf(words) => value.as_str().is_some_and(|s| words.contains(&s)),
        ValueKind::Addr => is_addr(value),
        ValueKind::AddrList => value
            .as_array()
            .is_some_and(|list| list.iter().all(is_addr)),
        ValueKind::Int(low, high) => value
            .as_integer()
            .is_some_and(|n| (low..=high).contains(&n)),
        ValueKind::Float(low, high) => as_number(value).is_some_and(|n| (low..=high).contains(&n)),
        ValueKind::Bool => value.is_bool(),
    }
}

fn as_number(value: &Value) -> Option<f64> {
    value
        .as_float()
        .or_else(|| value.as_integer().map(|n| n as f64))
}
