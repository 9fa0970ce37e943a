//! What the parts of a gateway share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ntex::client::Client;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

use mustard_adapter::{Node, Store};
use mustard_core::clock::{Clock, Moment, SystemClock};
use mustard_core::collections::Map;
use mustard_core::deployment::Config;
use mustard_core::ids::Incarnation;
use mustard_net::http::{new_client, new_client_within};
use mustard_net::shutdown::Gate;
use mustard_policy::allowance::{Allowance, Budget};
use mustard_policy::quarantine::{Quarantine, Settings};
use mustard_policy::stall::{Lateness, Pauses};

use crate::fleet::Fleet;
use crate::flights::Flights;
use crate::journal::Journal;
use crate::peers::Peers;

/// The time in which a server in the same region accepts a connection: a hundred times the
/// one-way delay between failure domains.
const CONNECT: Duration = Duration::from_millis(100);
/// The gateways that share the retry budget at least, while a process that has just started
/// knows few of them.
const FEWEST_GATEWAYS: usize = 4;
/// The servers that must have ended under a content before it is refused.
const DEADLY: usize = 3;

/// What the thread of signals and the serving thread share.
#[derive(Debug, Default)]
pub struct Stopping {
    draining: AtomicBool,
}

impl Stopping {
    /// Takes in that a stop signal came.
    pub fn begin(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether a stop signal came.
    pub fn has_begun(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// The state of a gateway; it belongs to the serving thread.
pub struct App {
    /// What the platform says of this VM.
    pub node: Node,
    /// The life of this process.
    pub life: Incarnation,
    /// The clock.
    pub clock: SystemClock,
    /// The client of backend servers.
    pub client: Client,
    /// The client of other gateways.
    pub peer_client: Client,
    /// The platform's store.
    pub store: Store,
    /// The log.
    pub journal: Journal,
    /// The configuration in force, if one is known.
    pub config: RefCell<Option<Rc<Config>>>,
    /// The configuration as the operators wrote it, for peers.
    pub config_text: RefCell<Rc<Vec<u8>>>,
    /// The servers.
    pub fleet: RefCell<Fleet>,
    /// When the list of servers was last confirmed by the store.
    pub heard: Cell<Moment>,
    /// Whether the list of servers has been read.
    pub listed: Cell<bool>,
    /// The streams in flight.
    pub flights: RefCell<Flights>,
    /// How late this process is.
    pub lateness: RefCell<Lateness>,
    /// The usual pauses of streams.
    pub pauses: RefCell<Pauses>,
    /// The retry budget of each service.
    pub allowances: RefCell<Map<String, Allowance>>,
    /// Contents that end the servers that run them.
    pub quarantine: RefCell<Quarantine>,
    /// The other gateways.
    pub peers: RefCell<Peers>,
    /// The requests in flight.
    pub gate: Arc<Gate>,
    /// Whether the process is stopping.
    pub stopping: Arc<Stopping>,
    /// Wakes requests that wait for servers and the placement when something changed.
    pub changed: Notify,
    /// Whether a request has arrived.
    pub asked: Cell<bool>,
    /// Whether the store's last call failed.
    pub store_failed: Cell<bool>,
    /// When the store answered again after failed calls.
    pub store_back: Cell<Option<Moment>>,
    /// Random numbers.
    pub rng: RefCell<ChaCha8Rng>,
}

impl App {
    /// Creates the state.
    pub async fn new(
        node: Node,
        log: slog::Logger,
        gate: Arc<Gate>,
        stopping: Arc<Stopping>,
    ) -> Rc<Self> {
        let clock = SystemClock::default();
        let store = Store::new(new_client().await, node.store);
        let peers = Peers::new(&node);
        Rc::new(App {
            life: Incarnation::random(),
            client: new_client_within(CONNECT).await,
            peer_client: new_client_within(CONNECT).await,
            store,
            journal: Journal::new(log, clock.clone()),
            clock,
            config: RefCell::new(None),
            config_text: RefCell::default(),
            fleet: RefCell::default(),
            listed: Cell::new(false),
            flights: RefCell::default(),
            heard: Cell::default(),
            lateness: RefCell::default(),
            pauses: RefCell::default(),
            allowances: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(Settings {
                deaths: DEADLY,
                ..Settings::default()
            })),
            peers: RefCell::new(peers),
            gate,
            stopping,
            changed: Notify::new(),
            asked: Cell::new(false),
            store_failed: Cell::new(false),
            store_back: Cell::new(None),
            rng: RefCell::new(ChaCha8Rng::from_os_rng()),
            node,
        })
    }

    /// Returns the time.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns how long ago the store confirmed the list of servers, in milliseconds.
    pub fn view_age(&self) -> u64 {
        self.now().ms_since(self.heard.get())
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns the number of gateways, this one included.
    pub fn gateways(&self) -> usize {
        self.peers.borrow().count() + 1
    }

    /// Lets a function use the retry budget of a service.
    pub fn with_allowance<T>(&self, service: &str, f: impl FnOnce(&mut Allowance) -> T) -> T {
        let mut all = self.allowances.borrow_mut();
        if !all.contains_key(service) {
            let budget = Budget {
                ratio: self.node.retry_ratio,
                slack: self.node.retry_slack,
                window: self.node.retry_window,
            };
            all.insert(service.to_owned(), Allowance::new(budget, FEWEST_GATEWAYS));
        }
        let allowance = all.get_mut(service).expect("it was inserted above");
        // A gateway that isn't heard of may still spend its share.
        allowance.share(self.peers.borrow().known() + 1);
        f(allowance)
    }

    /// Tells whether the gateway can serve requests.
    pub fn is_ready(&self) -> bool {
        !self.stopping.has_begun() && self.listed.get() && self.config.borrow().is_some()
    }
}
