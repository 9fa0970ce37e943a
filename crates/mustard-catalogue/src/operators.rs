//! Operators and the digests of their bearer keys.

use subtle::ConstantTimeEq;
use thiserror::Error;

use mustard_core::fingerprint::KeyHash;

/// The result of reading operators from settings.
pub type Result<T> = std::result::Result<T, OperatorError>;

const BEARER: &str = "Bearer ";

/// A line of the settings that does not name an operator.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("operator {line:?} is not of the form NAME:SHA256, 64 lower-case hexadecimal digits")]
pub struct OperatorError {
    /// The line as read, with the digest cut off.
    pub line: String,
}

/// The operators that may steer the system.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    known: Vec<(KeyHash, String)>,
}

impl Operators {
    /// Reads operators from lines of the form `NAME:SHA256`.
    pub fn parse(lines: &[String]) -> Result<Self> {
        let known = lines.iter().map(|l| parse_line(l)).collect::<Result<_>>()?;
        Ok(Operators { known })
    }

    /// Returns the name of the operator whose key an `Authorization` header carries.
    pub fn authenticate(&self, header: Option<&str>) -> Option<&str> {
        let key = header?.strip_prefix(BEARER)?;
        let hash = KeyHash::of(key);
        let mut found = None;
        // Every operator is compared, so that the time tells nothing.
        for (known, name) in &self.known {
            if bool::from(known.0.as_bytes().ct_eq(hash.0.as_bytes())) {
                found = Some(name.as_str());
            }
        }
        found
    }
}

fn parse_line(line: &str) -> Result<(KeyHash, String)> {
    let (name, hash) = line.split_once(':').unwrap_or((line, ""));
    let hash = KeyHash(hash.to_owned());
    if name.is_empty() || !hash.is_valid() {
        let line = name.to_owned();
        return Err(OperatorError { line });
    }
    Ok((hash, name.to_owned()))
}
