//! Admission of completion requests: each waits in the queue of its model until a chain of
//! servers has capacity for it.

mod chain;
mod queue;

pub use chain::{ChainPlan, build_chain};
pub use queue::{AdmissionRequest, AdmittedRequest};

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use thiserror::Error;
use tokio::time::sleep;

use mustard_core::collections::Map;
use mustard_net::Process;
use mustard_policy::admission::Settings;

use crate::servers::Servers;
use queue::Queue;

/// How often each queue tries to admit its waiting requests.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(4);

/// The result of asking for admission.
pub type Result<T> = std::result::Result<T, AdmissionError>;

/// Why a request was not admitted; no server ran any part of it.
#[derive(Clone, Debug, Error)]
pub enum AdmissionError {
    /// The request can't be answered before its deadline, or its queue is full.
    #[error("the request can't be answered before its deadline ({reason})")]
    NotAdmitted {
        /// The name of the reason, such as `queue_full`.
        reason: &'static str,
        /// How long the caller should wait before it retries.
        retry: Duration,
    },
    /// The available servers don't together hold every layer of the model.
    #[error("no available server continues the model at layer {layer}")]
    NoServer {
        /// The first layer that no available server holds.
        layer: u32,
        /// How long the caller should wait before it retries.
        retry: Duration,
    },
}

/// The admission queues of all models.
pub struct AdmissionQueues {
    process: Arc<Process>,
    servers: Arc<Servers>,
    settings: Settings,
    queues: Mutex<Map<String, Arc<Queue>>>,
}

impl AdmissionQueues {
    /// Starts without queues; a model's queue is created at its first request.
    pub fn new(process: Arc<Process>, servers: Arc<Servers>, settings: Settings) -> Self {
        AdmissionQueues {
            process,
            servers,
            settings,
            queues: Mutex::default(),
        }
    }

    /// Waits until a request may run and returns the chain chosen for it.
    ///
    /// Dropping the future removes the request from its queue.
    ///
    /// # Errors
    ///
    /// Returns why the request was not admitted and when to retry.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<AdmittedRequest> {
        let queue = self.queue(&request.model);
        let queued = queue.enqueue(self.process.now(), request)?;
        queue.dispatch(self.process.now());
        queued.wait().await
    }

    /// Periodically admits waiting requests for which servers have capacity; never returns.
    pub async fn run(&self) {
        loop {
            sleep(DISPATCH_INTERVAL).await;
            for queue in self.queues() {
                queue.dispatch_if_waiting(self.process.now());
            }
        }
    }

    /// Returns the number of waiting requests of all models.
    pub fn waiting(&self) -> usize {
        self.queues().iter().map(|q| q.waiting()).sum()
    }

    fn queues(&self) -> Vec<Arc<Queue>> {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.values().cloned().collect()
    }

    fn queue(&self, model: &str) -> Arc<Queue> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(model) {
            return Arc::clone(queue);
        }
        let queue = Queue::new(
            Arc::clone(&self.process),
            Arc::clone(&self.servers),
            self.settings.clone(),
        );
        queues.insert(model.to_owned(), Arc::clone(&queue));
        queue
    }
}
