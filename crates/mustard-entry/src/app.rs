//! State shared by the parts of the daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;

use mustard_catalogue::confirmation::ConfirmationState;
use mustard_catalogue::{CatalogueStore, Writer};
use mustard_core::fingerprint::KeyHash;
use mustard_net::ClientBudget;
use mustard_net::shutdown::RequestGate;
use mustard_net::{MessageClient, Process};
use mustard_platform::http::HttpService;
use mustard_policy::admission;
use mustard_policy::retry::RetryBudget;

use crate::admission::AdmissionQueues;
use crate::quotas::Quotas;
use crate::servers::Servers;
use crate::settings::{self, Settings};
use crate::suspects::Suspects;

/// State shared by all threads.
pub struct Shared {
    /// The identity, clock and timeline of the process.
    pub process: Arc<Process>,
    /// Counts the requests in flight. During a planned stop, after the notice period, it is closed
    /// and refuses new ones.
    pub gate: Arc<RequestGate>,
    /// The root logger.
    pub log: Logger,
    /// The settings that the process was started with.
    pub settings: Settings,
    /// The operators' names and the digests of their keys.
    pub operators: Vec<(String, KeyHash)>,
    /// The catalogue in force.
    pub catalogue: Arc<CatalogueStore>,
    /// The known servers and entry processes.
    pub servers: Arc<Servers>,
    /// The admission queues of completion requests, one per model.
    pub admissions: Arc<AdmissionQueues>,
    /// The grants that divide the limits of catalogue entries among the entry processes.
    pub quotas: Quotas,
    /// The strikes against request contents, and the suspect and quarantined ones among them.
    pub suspects: Arc<Suspects>,
    /// The retry budget.
    pub retries: SharedRetryBudget,
    /// Renders the metrics for a scrape.
    pub metrics: PrometheusHandle,
    addr: OnceLock<SocketAddr>,
    vms_listed: AtomicBool,
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
        let target_gap = Duration::from_millis(settings.admission.gap_ms);
        let queue_settings = admission::Settings {
            max_wait: Duration::from_millis(settings.admission.max_wait_ms),
            max_queue: settings.admission.max_queue,
            target_gap,
        };
        let admissions =
            AdmissionQueues::new(Arc::clone(&process), Arc::clone(&servers), queue_settings);
        let retries = SharedRetryBudget::new(settings.retry.share, settings.retry.reserve);
        Arc::new(Shared {
            gate: RequestGate::new(),
            catalogue: CatalogueStore::new(Arc::clone(&process), unconfirmed),
            servers,
            admissions: Arc::new(admissions),
            quotas: Quotas::default(),
            suspects: Arc::default(),
            retries,
            addr: OnceLock::new(),
            vms_listed: AtomicBool::new(false),
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

    /// Returns the address that the process listens on; until it listens, the one in the settings.
    pub fn addr(&self) -> SocketAddr {
        self.addr.get().copied().unwrap_or(self.settings.listen)
    }

    /// Records that the platform's list of VMs was read.
    pub fn set_vms_listed(&self) {
        self.vms_listed.store(true, Ordering::Release);
    }

    /// Records that a planned stop has begun.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether the balancer may send requests: the catalogue is confirmed, the list of VMs
    /// was read, every watched agent has answered or missed a heartbeat, and no planned stop has
    /// begun.
    pub fn is_ready(&self) -> bool {
        let confirmed = self.catalogue.confirmation_state() == ConfirmationState::Confirmed;
        let vms_listed = self.vms_listed.load(Ordering::Acquire);
        confirmed && vms_listed && !self.is_draining() && self.servers.all_probed()
    }
}

/// The retry budget, shared by all threads.
pub struct SharedRetryBudget {
    budget: Mutex<RetryBudget>,
}

impl SharedRetryBudget {
    fn new(share: f64, reserve: f64) -> Self {
        SharedRetryBudget {
            budget: Mutex::new(RetryBudget::new(share, reserve)),
        }
    }

    /// Adds to the budget the fraction of a retry that a first attempt earns.
    pub fn record_attempt(&self) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_attempt();
    }

    /// Takes one retry out of the budget; returns whether the retry is allowed.
    pub fn try_spend(&self) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_spend()
    }
}

/// The state of one worker thread.
pub struct Worker {
    /// The state shared by all threads.
    pub shared: Arc<Shared>,
    /// The client that holds this thread's connections.
    pub client: MessageClient,
    /// What the thread holds for clients.
    pub clients: Rc<ClientBudget>,
    /// Writes catalogue changes to the table.
    pub writer: Writer<HttpService, HttpService>,
}

impl Worker {
    /// Creates the state of the calling thread.
    pub async fn new(shared: Arc<Shared>) -> Rc<Self> {
        let client = MessageClient::new(Arc::clone(&shared.process));
        let platform = PlatformClients::new(&shared.settings.platform, &client);
        let store = Arc::clone(&shared.catalogue);
        Rc::new(Worker {
            writer: Writer::new(platform.table, platform.objects, store),
            clients: ClientBudget::new(shared.settings.client_limits(), shared.log.clone()),
            client,
            shared,
        })
    }
}

/// Clients of the platform's services, over the connections of one thread.
pub struct PlatformClients {
    /// The table service.
    pub table: HttpService,
    /// The object store.
    pub objects: HttpService,
    /// The service that lists the VMs.
    pub vms: HttpService,
}

impl PlatformClients {
    /// Creates the clients; all share the time limit from the settings.
    pub fn new(settings: &settings::Platform, client: &MessageClient) -> Self {
        let http = Rc::new(client.http().clone());
        let limit = Duration::from_millis(settings.limit_ms);
        let service = |addr, name| HttpService::new(Rc::clone(&http), addr, limit, name);
        PlatformClients {
            table: service(settings.table, "table"),
            objects: service(settings.objects, "objects"),
            vms: service(settings.vms, "vms"),
        }
    }
}
