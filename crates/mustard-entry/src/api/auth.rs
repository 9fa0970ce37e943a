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
/// Returns [`ApiError::NoKey`] if the request has no well-formed bearer key.
pub fn bearer_key(request: &HttpRequest) -> Result<KeyHash> {
    let header = request.headers().get("authorization");
    let text = header
        .and_then(|v| v.to_str().ok())
        .ok_or(ApiError::NoKey)?;
    parse_bearer(text).ok_or(ApiError::NoKey)
}

/// Returns the digest of the bearer key in the text of an `Authorization` header.
pub fn parse_bearer(header: &str) -> Option<KeyHash> {
    let scheme = header.get(..SCHEME.len())?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    let key = header[SCHEME.len()..].trim();
    (!key.is_empty()).then(|| KeyHash::of(key))
}

/// Returns the catalogue entry that a key may use; `name` is that of the catalogue entry or of its
/// target.
///
/// Keys are looked up by their SHA-256 digests, so the time of the look-up tells nothing about
/// a key.
pub fn authorize(catalogue: &Catalogue, key: &KeyHash, name: &str) -> Result<Entry> {
    if !catalogue.accepts_key(key) {
        return Err(ApiError::NoKey);
    }
    if let Some(entry) = catalogue.find(key, name) {
        return Ok(entry.clone());
    }
    let name = name.to_owned();
    let has_name = |e: &Entry| e.name == name || e.target.name() == name;
    if catalogue.entries().any(has_name) {
        return Err(ApiError::KeyNotAllowed { name });
    }
    Err(ApiError::UnknownEntry { name })
}

/// Returns the name of the operator whose key has the digest.
///
/// Every digest is compared in constant time, so the time tells nothing about the keys.
pub fn find_operator<'a>(operators: &'a [(String, KeyHash)], key: &KeyHash) -> Option<&'a str> {
    let mut found = None;
    for (name, hash) in operators {
        if bool::from(hash.0.as_bytes().ct_eq(key.0.as_bytes())) {
            found = Some(name.as_str());
        }
    }
    found
}
