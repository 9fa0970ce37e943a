//! An idempotency key and its identifiers at the table and at the service.

use mustard_proto::Refusal;

use super::Result;
use super::row::{reference, row_key};

/// The length of the longest key that a customer may choose, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// An idempotency key under the names by which the table and the service know it.
#[derive(Clone, Debug)]
pub(super) struct Key {
    /// The key of its claim row in the table.
    pub(super) row_key: String,
    /// The reference under which the service records the call.
    pub(super) reference: String,
}

impl Key {
    /// Checks the parts of a key and derives its identifiers.
    pub(super) fn new(service: &str, owner: &str, key: &str) -> Result<Self> {
        let is_valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES && !owner.contains('/');
        if !is_valid {
            let detail = format!("key needs 1 to {MAX_KEY_BYTES} bytes");
            return Err(Refusal::Malformed { detail });
        }
        Ok(Key {
            row_key: row_key(service, owner, key),
            reference: reference(service, owner, key),
        })
    }
}
