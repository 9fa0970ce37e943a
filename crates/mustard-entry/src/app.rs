//! What the parts of the daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;

use mustard_core::fingerprint::KeyHash;
use mustard_net::shutdown::Gate;
use mustard_net::{Client, Process};

use crate::catalogue::Store;
use crate::routing::Routing;
use crate::settings::Settings;

/// What all threads share.
pub struct Shared {
    /// The identity of the process.
    pub process: Arc<Process>,
    /// Counts the requests in flight.
    pub gate: Arc<Gate>,
    /// The root logger.
    pub log: Logger,
    /// The settings.
    pub settings: Settings,
    /// Operators by name, with the digests of their keys.
    pub operators: Vec<(String, KeyHash)>,
    /// The catalogue in force.
    pub catalogue: Store,
    /// The servers known and the choice among them.
    pub routing: Routing,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    ready: AtomicBool,
}

impl Shared {
    /// Creates the state of a process that is not ready yet.
    pub fn new(
        process: Arc<Process>,
        settings: Settings,
        operators: Vec<(String, KeyHash)>,
        log: Logger,
        metrics: PrometheusHandle,
    ) -> Arc<Self> {
        Arc::new(Shared {
            gate: Gate::new(),
            catalogue: Store::new(Arc::clone(&process)),
            routing: Routing::new(Arc::clone(&process)),
            ready: AtomicBool::new(false),
            process,
            log,
            settings,
            operators,
            metrics,
        })
    }

    /// Sets whether the balancer may send requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Tells whether the balancer may send requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

/// What one worker thread has.
pub struct Worker {
    /// What all threads share.
    pub shared: Arc<Shared>,
    /// The connections of this thread.
    pub client: Client,
}
