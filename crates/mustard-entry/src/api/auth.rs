//! Bearer keys of callers and operators.

use ntex::web::HttpRequest;
use subtle::ConstantTimeEq;

use mustard_core::catalogue::{Catalogue, Entry};
use mustard_core::fingerprint::KeyHash;

use super::errors::{ApiError, Result};

const SCHEME: &str = "bearer ";

/// Returns the digest of a request's bearer key.
///
/// # Errors
///
/// Returns [`ApiError::NoKey`] if the request carries none.
pub fn key_of(request: &HttpRequest) -> Result<KeyHash> {
    let header = request.headers().get("authorization");
    let text = header
        .and_then(|v| v.to_str().ok())
        .ok_or(ApiError::NoKey)?;
    parse(text).ok_or(ApiError::NoKey)
}

/// Reads a bearer key from the text of an `Authorization` header.
pub fn parse(header: &str) -> Option<KeyHash> {
    let scheme = header.get(..SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    let key = header[SCHEME.len()..].trim();
    (!key.is_empty()).then(|| KeyHash::of(key))
}

/// Returns the entry that a key opens under a name.
///
/// Keys are compared by their SHA-256 digests, so the time of the look-up tells nothing about
/// a key.
pub fn open(catalogue: &Catalogue, key: &KeyHash, name: &str) -> Result<Entry> {
    if !catalogue.accepts_key(key) {
        return Err(ApiError::NoKey);
    }
    if let Some(entry) = catalogue.find(key, name) {
        return Ok(entry.clone());
    }
    let name = name.to_owned();
    let named = |e: &Entry| e.name == name || e.target.name() == name;
    if catalogue.entries().any(named) {
        return Err(ApiError::Foreign { name });
    }
    Err(ApiError::UnknownEntry { name })
}

/// Returns the operator whose key has the digest; every digest is compared in constant time.
pub fn operator<'a>(operators: &'a [(String, KeyHash)], key: &KeyHash) -> Option<&'a str> {
    let mut found = None;
    for (name, hash) in operators {
        if bool::from(hash.0.as_bytes().ct_eq(key.0.as_bytes())) {
            found = Some(name.as_str());
        }
    }
    found
}
