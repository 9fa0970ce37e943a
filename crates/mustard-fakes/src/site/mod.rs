//! A stand-in for a site whose servers drive their own pipelines: the row store with its feeds,
//! model servers with a range of layers each, and a plain service.
//!
//! Everything runs in the test's process on loopback ports. Tests read the [`Ledger`] and inject
//! faults through [`Site`].

mod http;
mod limit;
mod model;
mod plain;
mod raw;
mod store;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::errors::Result;

pub use limit::find_excess;
pub use raw::{Endless, Unfinished};

/// The host name of every route.
pub const HOST: &str = "site.example";
/// The API key of the customer.
pub const API_KEY: &str = "key-of-the-customer";
/// The name of the only customer.
pub const CUSTOMER: &str = "customer-one";
/// The service of the model servers.
pub const MODELS: &str = "models";
/// The plain service.
pub const DESK: &str = "desk";
/// The number of layers of the model.
pub const LAYERS: u32 = 8;

/// How long a server that a poison content ended stays away.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// The size and the timing of a stand-in site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// The number of model servers in each failure domain.
    pub servers: Vec<usize>,
    /// The number of layers that fit on one server.
    pub layer_capacity: u32,
    /// The number of servers of the plain service.
    pub plain_servers: usize,
    /// The time before each event of a stream.
    pub event_interval: Duration,
    /// The number of events of a stream.
    pub events: u64,
    /// How long a stream waits for a server of its path that doesn't answer.
    pub stall_timeout: Duration,
    /// The time to load layers; the server's row shows them afterwards.
    pub load_time: Duration,
    /// The number of streams that fit in the memory of a model server; it refuses further ones.
    pub stream_limit: usize,
    /// The bandwidth between the failure domains, in megabits per second.
    pub pipe_mbps: f64,
    /// The largest body that callers may send, in bytes.
    pub body_limit: usize,
    /// The least size of an answer of the plain service, in bytes; shorter ones are filled up.
    pub answer_bytes: usize,
}

impl Default for SiteOptions {
    fn default() -> Self {
        SiteOptions {
            servers: vec![3, 3],
            layer_capacity: 4,
            plain_servers: 2,
            event_interval: Duration::from_millis(20),
            events: 40,
            stall_timeout: Duration::from_millis(2_500),
            load_time: Duration::from_millis(50),
            stream_limit: usize::MAX,
            pipe_mbps: 1_000.0,
            body_limit: 65_536,
            answer_bytes: 0,
        }
    }
}

/// The fault of a server, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerFault {
    /// Without a fault.
    #[default]
    None,
    /// Accepts connections and never answers.
    Silent,
    /// Closes every connection without an answer.
    ResetsConnections,
    /// Closes the connection of every request before running it, and answers all other calls.
    ResetsRequests,
    /// Runs a request and closes the connection without an answer (plain service only).
    LosesAnswers,
    /// Runs a request and answers with status 500 (plain service only).
    AnswersError,
    /// Answers without a length or chunks; only the end of the connection ends an answer.
    Unframed,
    /// The same, but each stream is closed within an event.
    UnframedCut,
    /// Sends a stream with chunks, and ends it within an event as if it were whole.
    EndsInEvent,
    /// Answers without an end.
    Endless(Endless),
    /// Turns requests away with status 503 and this time in `Retry-After`.
    TurnsAway(Duration),
    /// Refuses a request with status 503 without running it, writes the refusal once more and keeps the
    /// connection open.
    RefusesTwice,
    /// Answers a stream with this status and a text (model servers only).
    AnswersText(u16),
    /// Answers with this status and doesn't finish the body.
    Unfinished(u16, Unfinished),
    /// Sends streams whose events are large, one after another without a pause (model servers only).
    LargeEvents,
}

/// Which servers a poison content ends; it is any content whose path, query or body contains [`POISON`], whose method
/// is [`POISON_METHOD`], or whose prompt has a last segment with an id that begins with [`POISON_SEGMENT`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PoisonTarget {
    /// The server that receives the request.
    #[default]
    First,
    /// The last server of the path of a stream, after the stream has begun.
    Last,
}

/// The part of a path, query or body that makes a content poison.
pub const POISON: &str = "poison";

/// The method that makes a content poison.
pub const POISON_METHOD: &str = "DELETE";

/// The header of a request that lists the segments of its prompt.
pub const SEGMENTS_HEADER: &str = "prompt-prefix";
/// What the ids of poison segments begin with. A prompt with one of them, unless it is the last one,
/// ends each server that begins to write an answer.
pub const POISON_SEGMENT: &str = "dead";

/// A server of the site.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: String,
    // The service that its row names.
    pub(crate) service: String,
    pub(crate) domain: usize,
    // Whether it speaks as a model server.
    pub(crate) model: bool,
    pub(crate) fault: ServerFault,
    // Whether it was ended and hasn't started again.
    pub(crate) ended: bool,
    // Whether an ended server never answers instead of closing connections.
    pub(crate) ends_silently: bool,
    // The loaded layers: the first one and the excluded end.
    pub(crate) layers: Option<(u32, u32)>,
    // Whether layers are being loaded.
    pub(crate) busy: bool,
    // The number of orders accepted since the start.
    pub(crate) orders: u64,
    // The fencing token of the last order.
    pub(crate) fence: u64,
    // Counts the starts of the server.
    pub(crate) incarnation: u64,
    // Counts the rows that were written since the start.
    pub(crate) rows: u64,
    // Whether the store has a row of the server.
    pub(crate) listed: bool,
    pub(crate) draining: bool,
    // Whether each answer says that the server is leaving.
    pub(crate) leaving: bool,
    // The requests a second that each answer says the server takes from all clients together.
    pub(crate) limit: Option<f64>,
    // The bytes that requests are answered with.
    pub(crate) raw_answer: Option<Vec<u8>>,
}

impl Server {
    fn new(id: String, service: &str, domain: usize, model: bool) -> Self {
        Server {
            id,
            service: service.to_owned(),
            domain,
            model,
            fault: ServerFault::None,
            ended: false,
            ends_silently: false,
            layers: None,
            busy: false,
            orders: 0,
            fence: 0,
            incarnation: 1,
            rows: 0,
            listed: true,
            draining: false,
            leaving: false,
            limit: None,
            raw_answer: None,
        }
    }

    /// Returns how the server fails now.
    pub(crate) fn current_fault(&self) -> ServerFault {
        if self.ended && self.ends_silently {
            ServerFault::Silent
        } else if self.ended {
            ServerFault::ResetsConnections
        } else {
            self.fault
        }
    }
}

/// The record of what the servers did.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// How often each request ran, by request id.
    pub runs: BTreeMap<String, u32>,
    /// The requests that ran, in order.
    pub requests: Vec<ReceivedRequest>,
    /// The number of streams that ended because the client disconnected.
    pub cancelled: u32,
    /// How often a stream was moved to another path.
    pub path_changes: u32,
    /// The parts after the first that streams kept when they were moved.
    pub kept_parts: usize,
    /// The number of health checks of plain servers.
    pub health_checks: usize,
    /// Orders that started a load: the server's index, the first layer and the excluded end.
    pub placements: Vec<(usize, u32, u32)>,
    /// The requests that reached servers, run or turned away, in order.
    pub arrivals: Vec<Arrival>,
    /// The ends of servers caused by poison contents, in order.
    pub ended: Vec<EndedServer>,
    /// The number of requests that were answered with [`Site::set_raw_answer`].
    pub raw_answers: usize,
    /// For each answer without an end how many bytes were sent and for how long, once it was over.
    pub endless: Vec<(u64, Duration)>,
}

/// A request that reached a server; reports and orders aren't counted.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The server's index.
    pub server: usize,
    /// Counts the starts of the server.
    pub incarnation: u64,
    /// The header `Attempt-Id`.
    pub id: String,
    /// The poison segment of its prompt, if there is one.
    pub poison_segment: Option<String>,
    /// When it arrived.
    pub at: Instant,
    /// The limit that the answer names, in requests a second.
    pub limit: Option<f64>,
    /// What the server answers it with besides the result.
    pub notice: Notice,
}

/// What a server says about itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Nothing.
    None,
    /// That it is leaving.
    Leaving,
    /// That it wants no requests for this time.
    Pause(Duration),
}

/// The end of a server that ran a poison content.
#[derive(Clone, Debug)]
pub struct EndedServer {
    /// The server's index.
    pub server: usize,
    /// The header `Attempt-Id` of the request.
    pub id: String,
    /// The poison segment that ended it; `None` if the whole content did.
    pub segment: Option<String>,
    /// When it ended.
    pub at: Instant,
}

/// A request that a server ran, as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The server's index.
    pub server: usize,
    /// The header `Attempt-Id`.
    pub id: String,
    /// The customer's name; none if the request carried none.
    pub customer: Option<String>,
    /// The header `Request-Priority`.
    pub priority: Option<String>,
    /// The time left for the request, in milliseconds; none if it carried none.
    pub budget_ms: Option<u64>,
    /// Whether the request carried an `Authorization` header.
    pub has_key: bool,
}

/// What the store, the servers and the test share.
pub(crate) struct State {
    pub(crate) options: SiteOptions,
    pub(crate) addrs: Vec<SocketAddr>,
    // The server that answers at each listener.
    pub(crate) occupants: Vec<usize>,
    pub(crate) servers: Vec<Server>,
    pub(crate) ledger: Ledger,
    pub(crate) store: store::Store,
    // The current path of each running copy of a stream, by request id and first server.
    pub(crate) paths: BTreeMap<(String, usize), Vec<model::ChainStage>>,
    // The newest configuration of the operators.
    pub(crate) config: Option<Vec<u8>>,
    pub(crate) poison: PoisonTarget,
    // Whether poison contents run like others for now.
    pub(crate) is_poison_sound: bool,
    // How long a server that a poison content ended stays away.
    pub(crate) down_time: Duration,
}

impl State {
    /// Returns the server that answers at an address.
    pub(crate) fn server_at(&self, addr: SocketAddr) -> Option<usize> {
        let mut occupants = self.occupants.iter().copied();
        occupants.find(|i| self.addrs[*i] == addr)
    }

    /// Returns the path of a stream's copy whose first server is `index`.
    pub(crate) fn path(&self, id: &str, index: usize) -> Option<&Vec<model::ChainStage>> {
        self.paths.get(&(id.to_owned(), index))
    }

    pub(crate) fn remove_path(&mut self, id: &str, index: usize) {
        self.paths.remove(&(id.to_owned(), index));
    }
}

/// A running stand-in site; clones share it.
#[derive(Clone)]
pub struct Site {
    pub(crate) state: Arc<Mutex<State>>,
    pub(crate) changed: Arc<Notify>,
    store_addr: SocketAddr,
}

impl Site {
    /// Starts the store and the servers on free loopback ports, on a new thread.
    ///
    /// # Errors
    ///
    /// Returns an error if a port can't be opened.
    pub fn start(options: SiteOptions) -> Result<Self> {
        let store_listener = bind_loopback()?;
        let models: Vec<usize> = options
            .servers
            .iter()
            .enumerate()
            .flat_map(|(domain, count)| std::iter::repeat_n(domain, *count))
            .collect();
        let plain = (0..options.plain_servers).map(|i| (i % options.servers.len().max(1), false));
        let kinds = models.into_iter().map(|d| (d, true)).chain(plain);
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        for (i, (domain, model)) in kinds.enumerate() {
            listeners.push(bind_loopback()?);
            let service = if model { MODELS } else { DESK };
            servers.push(Server::new(format!("i-{i:04}"), service, domain, model));
        }
        let addrs = listeners.iter().map(TcpListener::local_addr);
        let addrs = addrs.collect::<std::io::Result<Vec<_>>>()?;
        let site = Site {
            store_addr: store_listener.local_addr()?,
            changed: Arc::new(Notify::new()),
            state: Arc::new(Mutex::new(State {
                options,
                occupants: (0..addrs.len()).collect(),
                addrs,
                servers,
                ledger: Ledger::default(),
                store: store::Store::default(),
                paths: BTreeMap::new(),
                config: None,
                poison: PoisonTarget::default(),
                is_poison_sound: false,
                down_time: DOWN_TIME,
            })),
        };
        for i in 0..listeners.len() {
            site.write_row(i);
        }
        http::spawn_listeners(&site, store_listener, listeners);
        Ok(site)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the store's address.
    pub fn store_addr(&self) -> SocketAddr {
        self.store_addr
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Returns the addresses of the servers; the model servers come first.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.lock().addrs.clone()
    }

    /// Publishes another address for a server, such as that of a proxy in front of it.
    pub fn set_address(&self, server: usize, addr: SocketAddr) {
        self.lock().addrs[server] = addr;
        self.write_row(server);
    }

    /// Returns the layers that a server has loaded, as the first one and the excluded end.
    pub fn loaded_layers(&self, server: usize) -> Option<(u32, u32)> {
        self.lock().servers[server].layers
    }

    /// Returns the servers on the path of a stream whose first server is `index`, in the order of layers.
    pub fn path_servers(&self, id: &str, index: usize) -> Vec<usize> {
        let state = self.lock();
        let path = state.path(id, index).into_iter().flatten();
        let server = |stage: &model::ChainStage| state.server_at(stage.addr);
        path.filter_map(server).collect()
    }

    /// Injects a fault into a server, or ends it.
    pub fn set_fault(&self, server: usize, fault: ServerFault) {
        self.lock().servers[server].fault = fault;
    }

    /// Starts a server of a service under a new id at the address of one that is lost for good; the lost one's
    /// row stays. With `model`, the new server speaks as a model server. Returns its index.
    pub fn reuse_address(&self, lost: usize, id: &str, service: &str, model: bool) -> usize {
        let new = {
            let mut state = self.lock();
            let new = state.servers.len();
            state.servers[lost].ended = true;
            let mut server = Server::new(id.to_owned(), service, state.servers[lost].domain, model);
            server.incarnation = state.servers[lost].incarnation + 1;
            state.servers.push(server);
            let addr = state.addrs[lost];
            state.addrs.push(addr);
            for occupant in &mut state.occupants {
                if *occupant == lost {
                    *occupant = new;
                }
            }
            new
        };
        self.write_row(new);
        new
    }

    /// Lets two servers change places: each goes on under its id at the other one's address, as a new process.
    pub fn swap_addresses(&self, a: usize, b: usize) {
        {
            let mut state = self.lock();
            state.addrs.swap(a, b);
            for occupant in &mut state.occupants {
                if *occupant == a {
                    *occupant = b;
                } else if *occupant == b {
                    *occupant = a;
                }
            }
        }
        self.restart(a);
        self.restart(b);
    }

    /// Restarts a server: it has no layers loaded and a new incarnation.
    pub fn restart(&self, server: usize) {
        {
            let mut state = self.lock();
            let s = &mut state.servers[server];
            s.layers = None;
            s.orders = 0;
            s.fence = 0;
            s.incarnation += 1;
            s.rows = 0;
            s.fault = ServerFault::None;
            s.ended = false;
            s.draining = false;
            s.leaving = false;
            s.limit = None;
        }
        self.write_row(server);
    }

    /// Makes a server say in each answer that it is leaving (`Server-Leaving: 1`); its row stays as it
    /// is.
    pub fn set_leaving(&self, server: usize) {
        self.lock().servers[server].leaving = true;
    }

    /// Makes a server name a limit in each answer (`Server-Limit`), in requests a second from all
    /// clients together, or no longer.
    pub fn set_limit(&self, server: usize, limit: Option<f64>) {
        self.lock().servers[server].limit = limit;
    }

    /// Makes a server answer each request with these bytes and close the connection, or no longer; `{id}` in them
    /// stands for the id of the request.
    pub fn set_raw_answer(&self, server: usize, bytes: Option<Vec<u8>>) {
        self.lock().servers[server].raw_answer = bytes;
    }

    /// Sets which servers a poison content ends, and how long they stay away.
    pub fn set_poison(&self, target: PoisonTarget, down_time: Duration) {
        let mut state = self.lock();
        state.poison = target;
        state.down_time = down_time;
    }

    /// Makes plain servers run poison contents like others, or no longer, as after a change of their software.
    pub fn set_poison_sound(&self, is_sound: bool) {
        self.lock().is_poison_sound = is_sound;
    }

    /// Makes servers that a poison content ends go silent, as a machine without power does.
    pub fn set_silent_ends(&self) {
        for server in &mut self.lock().servers {
            server.ends_silently = true;
        }
    }

    /// Restores the store from a copy that is `age` old: what was written since is gone, its revisions
    /// are given out again, and `Store-Era` rises in all its answers. Nobody has written anything
    /// again yet.
    pub fn restore_store(&self, age: Duration) {
        self.lock().store.restore(age);
        self.changed.notify_waiters();
    }

    /// Writes the newest configuration and the rows of the servers again, as the operator and the
    /// servers do after the store was restored.
    pub fn write_rows_again(&self) {
        let (config, count) = {
            let state = self.lock();
            (state.config.clone(), state.servers.len())
        };
        for server in 0..count {
            if self.lock().servers[server].listed {
                self.write_row(server);
            }
        }
        if let Some(bytes) = config {
            self.lock().store.put("op", "config", Some(bytes));
        }
        self.changed.notify_waiters();
    }

    /// Returns the revision of the store's newest write.
    pub fn store_revision(&self) -> u64 {
        self.lock().store.revision()
    }

    /// Returns the keys of the rows in a table of the store.
    pub fn row_keys(&self, table: &str) -> Vec<String> {
        self.lock().store.keys(table)
    }

    /// Ends a server that ran a poison content or a prompt with a poison segment; it starts again
    /// after a while.
    pub(crate) fn end_server(&self, server: usize, id: &str, segment: Option<String>) {
        let (incarnation, down_time) = {
            let mut state = self.lock();
            state.servers[server].ended = true;
            state.ledger.ended.push(EndedServer {
                server,
                id: id.to_owned(),
                segment,
                at: Instant::now(),
            });
            (state.servers[server].incarnation, state.down_time)
        };
        let site = self.clone();
        ntex::rt::spawn(async move {
            tokio::time::sleep(down_time).await;
            if site.lock().servers[server].incarnation == incarnation {
                site.restart(server);
            }
        });
    }

    /// Marks a server as draining in its row.
    pub fn drain(&self, server: usize) {
        self.lock().servers[server].draining = true;
        self.write_row(server);
    }

    /// Deletes a server's row.
    pub fn delete_row(&self, server: usize) {
        self.lock().servers[server].listed = false;
        self.write_row(server);
    }

    /// Writes the row of a server whose row was deleted.
    pub fn list_again(&self, server: usize) {
        self.lock().servers[server].listed = true;
        self.write_row(server);
    }

    /// Writes arbitrary bytes as a server's row, as another writer could.
    pub fn write_raw_row(&self, key: &str, bytes: &[u8]) {
        self.lock().store.put("servers", key, Some(bytes.to_vec()));
        self.changed.notify_waiters();
    }

    /// Writes a row in a table of the store.
    pub fn put_row(&self, table: &str, key: &str, bytes: &[u8]) {
        self.lock().store.put(table, key, Some(bytes.to_vec()));
        self.changed.notify_waiters();
    }

    /// Returns how many transactions wrote rows in a table of the store.
    pub fn store_commits(&self, table: &str) -> usize {
        self.lock().store.commits(table)
    }

    /// Returns the size of the largest row in a table of the store, in bytes.
    pub fn largest_row(&self, table: &str) -> usize {
        self.lock().store.largest_row(table)
    }

    /// Deletes a row that was written with [`Site::write_raw_row`].
    pub fn delete_raw_row(&self, key: &str) {
        self.lock().store.put("servers", key, None);
        self.changed.notify_waiters();
    }

    /// Makes all connections to the store go silent for good; new ones work.
    pub fn silence_store_connections(&self) {
        self.lock().store.silence_connections();
    }

    /// Injects a fault into the store, or ends it.
    pub fn set_store_fault(&self, mode: StoreMode) {
        self.lock().store.mode = mode;
        self.changed.notify_waiters();
    }

    /// Writes a configuration in which `keys` are the API keys of the only customer.
    pub fn write_config(&self, version: u64, keys: &[&str]) {
        self.put_config(&self.build_config(version, keys));
    }

    /// Writes a configuration with further routes to the model, each with its prefix and priority. Their
    /// target time leaves requests 1.5 s to wait for a path.
    pub fn write_priorities(&self, version: u64, keys: &[&str], streams: &[(&str, f64)]) {
        let mut config = self.build_config(version, keys);
        for (prefix, priority) in streams {
            let mut route = config["routes"][0].clone();
            route["name"] = json!(prefix);
            route["prefix"] = json!(prefix);
            route["priority"] = json!(priority);
            route["target_latency_ms"] = json!(3_000);
            if let Some(routes) = config["routes"].as_array_mut() {
                routes.push(route);
            }
        }
        self.put_config(&config);
    }

    fn put_config(&self, config: &Value) {
        let bytes = config.to_string().into_bytes();
        {
            let mut state = self.lock();
            state.config = Some(bytes.clone());
            state.store.put("op", "config", Some(bytes));
        }
        self.changed.notify_waiters();
    }

    /// Writes the row of a server, or deletes it if the server is no longer listed.
    pub(crate) fn write_row(&self, server: usize) {
        {
            let mut state = self.lock();
            let addr = state.addrs[server];
            state.servers[server].rows += 1;
            let s = state.servers[server].clone();
            let value = s
                .listed
                .then(|| row_json(&s, addr).to_string().into_bytes());
            state.store.put("servers", &s.id, value);
        }
        self.changed.notify_waiters();
    }

    fn build_config(&self, version: u64, keys: &[&str]) -> Value {
        let state = self.lock();
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
            json!({"name": prefix, "host": HOST, "prefix": prefix, "kind": kind,
                "timeout_ms": 8_000, "target_latency_ms": 500, "priority": 1,
                "service": service, "max_attempts": attempts, "public": false,
                "resumable": resumable, "target_gap_ms": 200})
        };
        json!({
            "version": version,
            "routes": [
                route("/draft/", "stream", "models", 2, true),
                route("/book/", "non_idempotent", "desk", 1, false),
                route("/status/", "idempotent", "desk", 2, false),
                route("/letter/", "stream", "models", 2, false),
            ],
            "services": [
                {"name": "models", "health_path": "/health", "max_conns": 100, "engine": {
                    "slots": 64, "kv_capacity": 100_000, "kv_token_bytes": 80_000,
                    "models": [{"name": "m", "load_s": 1.0}], "step_ms": 1.0, "per_seq_ms": 0.0,
                    "read_per_s": 250_000.0, "loads_at_once": 6, "layers": LAYERS,
                    "layer_mb": 1_000.0, "act_bytes": 1_000, "pipe_mbps": state.options.pipe_mbps,
                    "usual": {"prompt": 100, "answer": 40},
                    "kinds": [{"name": "card", "mb": 1_150.0 * f64::from(state.options.layer_capacity),
                        "pace": 1.0, "read_factor": 1.0}]}},
                {"name": "desk", "health_path": "/health", "max_conns": 100},
            ],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": state.options.body_limit,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
            "tenants": [{"name": CUSTOMER, "api_keys": keys}],
        })
    }

    /// Returns the settings of a gateway at an address; `ports` are for callers, for readiness
    /// checks and for other gateways.
    pub fn settings(&self, ip: Ipv4Addr, ports: [u16; 3], seeds: &[Ipv4Addr]) -> Value {
        let at = |port: u16| SocketAddr::new(IpAddr::V4(ip), port).to_string();
        let seeds: Vec<String> = seeds.iter().map(|s| format!("{s}:1")).collect();
        json!({
            "node": format!("gateway-{ip}"), "zone": "d0", "ip": ip,
            "listen": {"front": at(ports[0]), "ready": at(ports[1])},
            "port_range": [ports[2], ports[2]], "seeds": seeds,
            "limits": {"memory_mb": 200}, "heartbeat_ms": 1_000,
            "bounds": {"drain_ms": 2_000, "grace_s": 8, "retry_ratio": 0.2,
                "retry_window_s": 10, "retry_slack": 198, "stall_ms": 2_500,
                "require_fence": true},
            "platform": {"address": self.store_addr.to_string()},
        })
    }
}

/// The fault of the store, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Without a fault.
    #[default]
    Healthy,
    /// Refuses each call with status 503.
    Busy,
    /// Closes each connection without an answer.
    ResetsConnections,
    /// Answers feeds with status 410, as if it had dropped its history of changes.
    HistoryLost,
    /// Carries out writes and closes the connection without an answer.
    LosesAnswers,
    /// Never answers, also what it was asked before and after.
    Silent,
    /// Answers this much later.
    Slow(Duration),
    /// Names a revision that is a little newer than the rows of the same answer.
    NamesLaterRevision,
}

fn row_json(server: &Server, addr: SocketAddr) -> Value {
    let mut row = json!({
        "service": server.service,
        "address": addr.to_string(), "zone": format!("d{}", server.domain), "version": "v1",
        "slots": 64, "state": if server.draining { "draining" } else { "ready" },
        "warmup_ms": 0, "seq": server.rows, "born": server.incarnation,
    });
    if server.model {
        row["kind"] = json!("card");
        let held = server.layers;
        row["layers"] = held.map_or(
            Value::Null,
            |(first, end)| json!([{"from": first, "to": end, "version": 1}]),
        );
    }
    row
}

fn bind_loopback() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}
