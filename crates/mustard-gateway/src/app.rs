//! State shared by all tasks of a gateway process.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{self, AtomicBool};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use mustard_adapter::store::OwnTable;
use mustard_adapter::{NodeSettings, Store};
use mustard_core::clock::{Clock, Moment, SystemClock};
use mustard_core::deployment::{Config, Engine, ServerKey};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Era, Incarnation};
use mustard_net::http::{HttpClient, MAX_ANSWER_BYTES, new_client, new_limited_client};
use mustard_net::shutdown::RequestGate;
use mustard_net::{ClientBudget, ClientLimits};
use mustard_policy::hedge;
use mustard_policy::pipeline::{PrefillLoad, SearchBudget};
use mustard_policy::quarantine::{Quarantine, Settings};
use mustard_policy::quiet::QuietWatch;
use mustard_policy::segments::SegmentFilter;
use mustard_policy::silence::AnswerLog;
use mustard_policy::stall::{PauseEstimate, TimerLateness};

use crate::active_streams::ActiveStreams;
use crate::crossing_share::{self, Crossings};
use crate::evidence::Evidence;
use crate::fleet::Fleet;
use crate::forward::{Hedging, WaitingQueues};
use crate::log_limit::LimitedLog;
use crate::metric;
use crate::peers::Peers;
use crate::retry_budget::RetryBudgets;
use crate::strike_news::News;

/// Time limit for opening a connection: a hundred times the one-way delay between failure domains
/// of the region.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The largest report of a server, or answer to an order.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// The number of distinct server processes that must have died while they ran a request content before
/// requests with this content are refused.
const QUARANTINE_DEATHS: usize = 3;

/// How much sooner than the platform expects a process to be up to date after a disturbance a silent
/// connection is noticed. It is enough to connect again and read what is new.
const RECONNECT_TIME: Duration = Duration::from_millis(900);
/// The least time that one call for changes may take.
const MIN_FEED_TIMEOUT: Duration = Duration::from_secs(1);

/// Set by the main thread on a stop signal, read by the serving thread.
#[derive(Debug, Default)]
pub struct StopFlag {
    stopping: AtomicBool,
}

impl StopFlag {
    /// Records that a stop signal arrived.
    pub fn set(&self) {
        self.stopping.store(true, atomic::Ordering::Release);
    }

    /// Returns whether a stop signal has arrived.
    pub fn is_set(&self) -> bool {
        self.stopping.load(atomic::Ordering::Acquire)
    }
}

/// By what configurations are compared; see [`ConfigStamp::replaces`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStamp {
    /// The version that the operators gave it.
    #[serde(rename = "v")]
    pub version: u64,
    /// The store's era in which it was read.
    #[serde(rename = "e")]
    pub era: Era,
    /// Whether it is known to have been written in that era; otherwise it may have come with the copy
    /// that the store was restored from.
    #[serde(rename = "w")]
    pub is_written: bool,
}

impl ConfigStamp {
    /// Returns whether a configuration takes the place of the current one.
    ///
    /// Versions rise, but in a new era the operators may go on below one that the store lost. What is only
    /// in the copy gives way to a higher version of an earlier era, which is about to be written again.
    pub fn replaces(self, current: ConfigStamp) -> bool {
        match self.era.cmp(&current.era) {
            Ordering::Greater => self.is_written || self.version >= current.version,
            Ordering::Equal if self.version == current.version => {
                self.is_written && !current.is_written
            }
            Ordering::Equal => self.version > current.version,
            Ordering::Less => !current.is_written && self.version > current.version,
        }
    }
}

/// The state of a gateway; owned by the serving thread.
pub struct App {
    /// The settings that the platform gives this VM.
    pub node: NodeSettings,
    /// Distinguishes this run of the process from earlier ones; the holder of its leases.
    pub incarnation: Incarnation,
    /// When the process started.
    pub started_at: Moment,
    /// The clock; times the leases and log limits too.
    pub clock: SystemClock,
    /// The HTTP client for reports of backend servers and orders to them.
    pub client: HttpClient,
    /// The HTTP client for peers.
    pub peer_client: HttpClient,
    /// The client of the platform's store.
    pub store: Store,
    /// The log, limited in lines a second for each topic.
    pub log: LimitedLog,
    /// The configuration in force; `None` until the store or a peer has sent one.
    pub config: RefCell<Option<Rc<Config>>>,
    /// The configuration as the operators wrote it, to be sent to peers.
    pub config_text: RefCell<Rc<Vec<u8>>>,
    /// The stamp of the configuration in force.
    pub config_stamp: Cell<ConfigStamp>,
    /// When the store last had no newer configuration than the one in force, as it or a peer said.
    pub config_confirmed: Cell<Option<Moment>>,
    /// The digest of the configuration that was last read in the store.
    pub last_config: Cell<Fingerprint>,
    /// The backend servers as this gateway sees them.
    pub fleet: RefCell<Fleet>,
    /// When the store last confirmed the list of servers.
    pub list_confirmed: Cell<Moment>,
    /// Whether the list of servers has been read in full once.
    pub list_read: Cell<bool>,
    /// The streams in flight.
    pub streams: RefCell<ActiveStreams>,
    /// How late the timers of this process fire.
    pub lateness: RefCell<TimerLateness>,
    /// Which calls for reports were answered, which tells silent servers from a busy link.
    pub answers: RefCell<AnswerLog>,
    /// What this process may still send across failure domains.
    pub crossings: RefCell<Crossings>,
    /// The running mean of the pauses between events of streams.
    pub pauses: RefCell<PauseEstimate>,
    /// Decides which servers are asked for reports as all of their streams pause.
    pub quiet: RefCell<QuietWatch<ServerKey>>,
    /// This gateway's shares of the retry budgets of services.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// Decides on second copies of slow requests.
    pub hedging: RefCell<Hedging>,
    /// The request contents that servers died running, and those that are refused for it.
    pub quarantine: RefCell<Quarantine>,
    /// The segments of prompts that servers ended on, and those that are blocked for it.
    pub segments: RefCell<SegmentFilter>,
    /// What other gateways are to be told at once of the ends of servers.
    pub news: RefCell<News>,
    /// Wakes the task that tells them.
    pub has_news: Notify,
    /// The evidence against contents and segments that is to be written to the store.
    pub evidence: RefCell<Evidence>,
    /// Wakes the task that writes it.
    pub has_evidence: Notify,
    /// The client of the table that holds it.
    pub evidence_store: Store,
    /// Wakes the exchange with peers when an urgent strike was recorded here.
    pub strike_news: Notify,
    /// Wakes the task that keeps the own rows of the store when a content was quarantined or a segment
    /// blocked here.
    pub quarantined: Notify,
    /// The peers, which are the other gateways.
    pub peers: RefCell<Peers>,
    /// What is held for clients, and how much that may be.
    pub clients: Rc<ClientBudget>,
    /// Counts the requests in flight and refuses new ones at a stop.
    pub gate: Arc<RequestGate>,
    /// Whether a stop signal has arrived.
    pub stop: Arc<StopFlag>,
    /// Wakes the task that asks about rows which are held back.
    pub row_held: Notify,
    /// Wakes requests that wait for a configuration or a path, whenever either may have changed.
    pub changed: Notify,
    /// Whether a request has arrived since the start of the process.
    pub had_request: Cell<bool>,
    /// Whether the last attempt to follow the store failed.
    pub store_failed: Cell<bool>,
    /// Wakes the tasks that own rows of the store, which may be lost once it was restored from an
    /// older copy.
    pub store_restored: Notify,
    /// When the store last answered again after failed calls, or was restored.
    pub store_recovered: Cell<Option<Moment>>,
    /// The streams that wait for a path, where requests are admitted by priority.
    pub waiting: WaitingQueues,
    /// The prefill work that was ordered for streams that continue elsewhere.
    pub prefill: RefCell<PrefillLoad>,
    /// The time that searches for moves may take.
    pub search_budget: RefCell<SearchBudget>,
    /// The random number generator.
    pub rng: RefCell<ChaCha8Rng>,
}

impl App {
    /// Creates the state, without a configuration or servers.
    pub async fn new(
        node: NodeSettings,
        log: slog::Logger,
        gate: Arc<RequestGate>,
        stop: Arc<StopFlag>,
        hedge: hedge::Settings,
        limits: ClientLimits,
    ) -> Rc<Self> {
        let clock = SystemClock::default();
        let started_at = clock.now();
        let store = Store::new(new_client(), node.store);
        let evidence_store = store.with_table(OwnTable::Evidence);
        let peers = Peers::new(&node);
        Rc::new(App {
            incarnation: Incarnation::random(),
            client: new_limited_client(CONNECT_TIMEOUT, MAX_REPORT_BYTES),
            peer_client: new_limited_client(CONNECT_TIMEOUT, MAX_ANSWER_BYTES),
            store,
            clients: ClientBudget::new(limits, log.clone()),
            log: LimitedLog::new(log, clock.clone()),
            started_at,
            clock,
            config: RefCell::new(None),
            config_text: RefCell::default(),
            config_stamp: Cell::default(),
            config_confirmed: Cell::default(),
            last_config: Cell::new(Fingerprint(0)),
            fleet: RefCell::default(),
            list_read: Cell::new(false),
            streams: RefCell::default(),
            list_confirmed: Cell::default(),
            lateness: RefCell::default(),
            answers: RefCell::default(),
            crossings: RefCell::new(Crossings::new(peers.own_addr(), started_at)),
            pauses: RefCell::default(),
            quiet: RefCell::default(),
            retry_budgets: RefCell::default(),
            hedging: RefCell::new(Hedging::new(hedge)),
            quarantine: RefCell::new(Quarantine::new(Settings {
                min_deaths: QUARANTINE_DEATHS,
                ..Settings::default()
            })),
            segments: RefCell::default(),
            news: RefCell::default(),
            has_news: Notify::new(),
            evidence: RefCell::default(),
            has_evidence: Notify::new(),
            evidence_store,
            strike_news: Notify::new(),
            quarantined: Notify::new(),
            peers: RefCell::new(peers),
            gate,
            stop,
            row_held: Notify::new(),
            changed: Notify::new(),
            had_request: Cell::new(false),
            store_failed: Cell::new(false),
            store_restored: Notify::new(),
            store_recovered: Cell::new(None),
            waiting: WaitingQueues::default(),
            prefill: RefCell::default(),
            search_budget: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::from_os_rng()),
            node,
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns how long ago the store confirmed the list of servers, in milliseconds.
    pub fn list_age_ms(&self) -> u64 {
        self.now().ms_since(self.list_confirmed.get())
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Records that the store had no newer configuration at a moment.
    pub fn confirm_config(&self, at: Moment) {
        let known = self.config_confirmed.get();
        self.config_confirmed
            .set(known.map_or(Some(at), |k| Some(k.max(at))));
    }

    /// Returns whether the configuration in force is known to have been the newest lately, so that what it
    /// doesn't allow may be refused for good.
    pub fn is_config_confirmed(&self) -> bool {
        let limit = self.feed_timeout();
        let confirmed = self.config_confirmed.get();
        confirmed.is_some_and(|at| self.now().since(at) <= limit)
    }

    /// Returns how long one call for changes of the store may take. It ends early enough for a silent
    /// connection to be replaced before the platform expects the process to be up to date.
    pub fn feed_timeout(&self) -> Duration {
        let limit = self.node.contact_time.saturating_sub(RECONNECT_TIME);
        limit.max(MIN_FEED_TIMEOUT)
    }

    /// Returns how long ago the process started.
    pub fn age(&self) -> Duration {
        self.now().since(self.started_at)
    }

    /// Returns the number of gateways that capacity is divided among, this one included.
    pub fn gateway_count(&self) -> usize {
        self.peers.borrow().share_count(self.age())
    }

    /// Takes the crossings of a path between failure domains out of this process's part of what the
    /// bandwidth between them carries; tells whether they were there.
    /// `request` is the id of the request, whose searches count once as demand.
    pub fn take_crossings(
        &self,
        engine: &Engine,
        service: &str,
        request: &str,
        crossings: u32,
    ) -> bool {
        if crossings == 0 {
            return true;
        }
        let is_allowed = crossing_share::take(self, engine, service, request, crossings);
        metric::count_crossing(if is_allowed { "used" } else { "refused" });
        is_allowed
    }

    /// Returns whether the gateway can serve requests.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_set() && self.list_read.get() && self.config.borrow().is_some()
    }
}
