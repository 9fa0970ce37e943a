//! What the parts of the daemon share.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;

use mustard_catalogue::confirm::Standing;
use mustard_catalogue::{Store, Writer};
use mustard_core::fingerprint::KeyHash;
use mustard_net::shutdown::Gate;
use mustard_net::{Client, Process};
use mustard_platform::http::HttpService;
use mustard_policy::admission;
use mustard_policy::retry::RetryBudget;

use crate::admit::Admissions;
use crate::quotas::Quotas;
use crate::servers::Servers;
use crate::settings::{self, Settings};
use crate::suspects::Suspects;

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
    pub catalogue: Arc<Store>,
    /// The servers and entry processes known.
    pub servers: Arc<Servers>,
    /// The queues of drafts.
    pub admissions: Arc<Admissions>,
    /// The limits of catalogue entries.
    pub quotas: Quotas,
    /// The contents that suspects servers.
    pub suspects: Arc<Suspects>,
    /// The budget for retries.
    pub retries: Retries,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    addr: OnceLock<SocketAddr>,
    listed: AtomicBool,
    draining: AtomicBool,
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
        let unconfirmed = Duration::from_millis(settings.catalogue.unconfirmed_ms);
        let servers = Arc::new(Servers::new(
            Arc::clone(&process),
            log.clone(),
            &settings.domain,
            settings.members.subset,
        ));
        let gap = Duration::from_millis(settings.admission.gap_ms);
        let queue = admission::Settings {
            max_wait: Duration::from_millis(settings.admission.max_wait_ms),
            max_queue: settings.admission.max_queue,
            gap,
        };
        let admissions = Admissions::new(Arc::clone(&process), Arc::clone(&servers), queue);
        let retries = Retries::new(settings.retry.share, settings.retry.reserve);
        Arc::new(Shared {
            gate: Gate::new(),
            catalogue: Store::new(Arc::clone(&process), unconfirmed),
            servers,
            admissions: Arc::new(admissions),
            quotas: Quotas::default(),
            suspects: Arc::default(),
            retries,
            addr: OnceLock::new(),
            listed: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            process,
            log,
            settings,
            operators,
            metrics,
        })
    }

    /// Sets the address that the process listens on.
    pub fn set_addr(&self, addr: SocketAddr) {
        let _ = self.addr.set(addr);
    }

    /// Returns the address that the process listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr.get().copied().unwrap_or(self.settings.listen)
    }

    /// Notes that the platform's list of VMs was read.
    pub fn set_listed(&self) {
        self.listed.store(true, Ordering::Release);
    }

    /// Notes that a planned stop began.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether a planned stop began.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Tells whether the balancer may send requests: the catalogue is confirmed, the list of VMs
    /// was read and every agent on it was asked.
    pub fn is_ready(&self) -> bool {
        let confirmed = self.catalogue.standing() == Standing::Confirmed;
        let listed = self.listed.load(Ordering::Acquire);
        confirmed && listed && !self.is_draining() && self.servers.is_surveyed()
    }
}

/// The budget for retries, shared by the threads.
pub struct Retries {
    budget: Mutex<RetryBudget>,
}

impl Retries {
    fn new(share: f64, reserve: f64) -> Self {
        Retries {
            budget: Mutex::new(RetryBudget::new(share, reserve)),
        }
    }

    /// Takes in a first attempt.
    pub fn earn(&self) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.earn();
    }

    /// Takes a retry out of the budget; tells whether it is allowed.
    pub fn spend(&self) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.spend()
    }
}

/// What one worker thread has.
pub struct Worker {
    /// What all threads share.
    pub shared: Arc<Shared>,
    /// The connections of this thread.
    pub client: Client,
    /// Accepts changes of the catalogue.
    pub writer: Writer<HttpService, HttpService>,
}

impl Worker {
    /// Creates the state of the calling thread.
    pub async fn new(shared: Arc<Shared>) -> Rc<Self> {
        let client = Client::new(Arc::clone(&shared.process)).await;
        let platform = Platform::new(&shared.settings.platform, &client);
        let store = Arc::clone(&shared.catalogue);
        Rc::new(Worker {
            writer: Writer::new(platform.table, platform.objects, store),
            client,
            shared,
        })
    }
}

/// The platform's services through the connections of one thread.
pub struct Platform {
    /// The table service.
    pub table: HttpService,
    /// The object store.
    pub objects: HttpService,
    /// The list of VMs.
    pub vms: HttpService,
}

impl Platform {
    /// Creates the clients.
    pub fn new(settings: &settings::Platform, client: &Client) -> Self {
        let http = Rc::new(client.http().clone());
        let limit = Duration::from_millis(settings.limit_ms);
        let service = |addr, name| HttpService::new(Rc::clone(&http), addr, limit, name);
        Platform {
            table: service(settings.table, "table"),
            objects: service(settings.objects, "objects"),
            vms: service(settings.vms, "vms"),
        }
    }
}
