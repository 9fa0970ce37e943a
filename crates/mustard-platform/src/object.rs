//! The object store.

use crate::errors::Result;

/// A client of the object store.
#[allow(async_fn_in_trait)]
pub trait ObjectStore {
    /// Writes a whole object; an existing one is replaced.
    async fn put(&self, key: &str, body: Vec<u8>) -> Result<()>;

    /// Reads a whole object, or none if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>>;
}
