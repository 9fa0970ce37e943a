//! The object store in memory.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mustard_core::collections::Map;
use mustard_platform::errors::Result;
use mustard_platform::object::ObjectStore;

use super::fault::FaultInjector;

const SERVICE_NAME: &str = "objects";

/// The object store in memory; clones share the objects.
#[derive(Clone, Debug, Default)]
pub struct MemObjects {
    objects: Arc<Mutex<Map<String, Vec<u8>>>>,
    faults: Arc<FaultInjector>,
}

impl MemObjects {
    /// Creates an empty store.
    pub fn new() -> Self {
        MemObjects::default()
    }

    /// Returns the faults to set and the call counts.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, Vec<u8>>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ObjectStore for MemObjects {
    async fn put(&self, key: &str, body: Vec<u8>) -> Result<()> {
        let store = || {
            self.lock().insert(key.to_owned(), body);
        };
        self.faults.run_write(SERVICE_NAME, store).await
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>> {
        self.faults.begin_read(SERVICE_NAME).await?;
        Ok(self.lock().get(key).cloned())
    }
}
