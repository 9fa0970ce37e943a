//! One key and the names by which the table and the service know it.

use mustard_proto::Refusal;

use super::Result;
use super::row::{reference, row_key};

const MAX_KEY_LEN: usize = 256;

/// One key with what identifies it to the table and to the service.
#[derive(Clone, Debug)]
pub(super) struct Key {
    /// The key of the row.
    pub(super) row: String,
    /// The reference at the service.
    pub(super) reference: String,
}

impl Key {
    /// Checks the parts of a key and puts them together.
    pub(super) fn new(service: &str, owner: &str, key: &str) -> Result<Self> {
        let fits = !key.is_empty() && key.len() <= MAX_KEY_LEN && !owner.contains('/');
        if !fits {
            let detail = format!("key needs 1 to {MAX_KEY_LEN} bytes");
            return Err(Refusal::Malformed { detail });
        }
        Ok(Key {
            row: row_key(service, owner, key),
            reference: reference(service, owner, key),
        })
    }
}
