//! Admission of drafts: each waits in its model's queue until a chain has room for it.

mod plan;
mod queue;

pub use plan::{Planned, chain_of};
pub use queue::{Admitted, Wish};

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use thiserror::Error;
use tokio::time::sleep;

use mustard_core::collections::Map;
use mustard_net::Process;
use mustard_policy::admission::Settings;

use crate::servers::Servers;
use queue::Queue;

/// How often queues with waiting requests are looked at.
const PUMP_EVERY: Duration = Duration::from_millis(4);

/// The result of asking for admission.
pub type Result<T> = std::result::Result<T, Refused>;

/// Why a request was not admitted; it was not run.
#[derive(Clone, Debug, Error)]
pub enum Refused {
    /// It can't be answered in time.
    #[error("the request can't be answered before its deadline ({reason})")]
    Late {
        /// The stable name of the reason.
        reason: &'static str,
        /// When to come back.
        retry: Duration,
    },
    /// The available servers do not hold every layer.
    #[error("no available server continues the model at layer {layer}")]
    NoServer {
        /// The first layer that no chain reaches.
        layer: u32,
        /// When to come back.
        retry: Duration,
    },
}

/// Admits the drafts of every model.
pub struct Admissions {
    process: Arc<Process>,
    servers: Arc<Servers>,
    settings: Settings,
    models: Mutex<Map<String, Arc<Queue>>>,
}

impl Admissions {
    /// Creates empty queues.
    pub fn new(process: Arc<Process>, servers: Arc<Servers>, settings: Settings) -> Self {
        Admissions {
            process,
            servers,
            settings,
            models: Mutex::default(),
        }
    }

    /// Waits until a request may run and returns the chain chosen for it.
    ///
    /// Dropping the future takes the request out of its queue.
    ///
    /// # Errors
    ///
    /// Returns when to come back if the request can't be answered in time.
    pub async fn admit(&self, wish: Wish) -> Result<Admitted> {
        let queue = self.queue(&wish.model);
        let place = queue.offer(self.process.now(), wish)?;
        queue.pump(self.process.now());
        place.wait().await
    }

    /// Looks at queues with waiting requests, for ever.
    pub async fn run(&self) {
        loop {
            sleep(PUMP_EVERY).await;
            for queue in self.all() {
                queue.pump_waiting(self.process.now());
            }
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.all().iter().map(|q| q.waiting()).sum()
    }

    fn all(&self) -> Vec<Arc<Queue>> {
        let models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        models.values().cloned().collect()
    }

    fn queue(&self, model: &str) -> Arc<Queue> {
        let mut models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = models.get(model) {
            return Arc::clone(queue);
        }
        let queue = Queue::new(
            Arc::clone(&self.process),
            Arc::clone(&self.servers),
            self.settings.clone(),
        );
        models.insert(model.to_owned(), Arc::clone(&queue));
        queue
    }
}
