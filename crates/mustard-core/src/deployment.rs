//! A deployment whose backend servers pass requests along their pipelines themselves: the routes,
//! services and customers that operators configure, and the state that servers report.
//!
//! A request to a model runs on a path: servers that together run every layer once, in order. A
//! server may run only some of the layers that it holds.

use std::net::SocketAddr;
use std::time::Duration;

use crate::arena::Key;
use crate::check::Finding;
use crate::collections::{Map, Set};
use crate::fingerprint::Fingerprint;
use crate::ids::Layers;

/// Whether and how a request of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another server may resume the stream after the last event that arrived.
        resumable: bool,
    },
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// The share, relative to the weights of the route's other services.
    pub weight: f64,
}

/// A rule by which requests to a host and path prefix are sent to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Whether and how its requests may be retried.
    pub kind: RouteKind,
    /// The time limit of a request.
    pub timeout: Duration,
    /// The target for the time to the answer, or to the first event of a stream.
    pub target_latency: Duration,
    /// The target for the longest gap between two events of a stream, if there is one.
    pub target_gap: Option<Duration>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services that its requests are split over.
    pub services: Vec<WeightedService>,
    /// The most attempts at one request; those that reached no server aren't counted.
    pub max_attempts: u32,
    /// Whether requests without a key are admitted.
    pub public: bool,
}

/// The time that an engine takes for all its layers, on an accelerator whose factors are 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTime {
    /// Milliseconds for one token step.
    pub base_ms: f64,
    /// Milliseconds for each further request in the batch.
    pub sequence_ms: f64,
    /// Prompt tokens processed per second.
    pub prompt_rate: f64,
}

/// A type of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// The name.
    pub name: String,
    /// Memory for layers and for requests, in megabytes.
    pub memory_mb: f64,
    /// The factor on the time of a token step; above 1 is slower.
    pub step_factor: f64,
    /// The factor on the time to process a prompt; above 1 is slower.
    pub prompt_factor: f64,
}

/// The model engine of a service: the size of its model and the time and memory that it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The number of layers of the model.
    pub layers: u32,
    /// The size of one layer, in megabytes.
    pub layer_mb: f64,
    /// The KV cache memory of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// The time that token steps and prompts take.
    pub step_time: StepTime,
    /// The most requests that a server batches for which it is the first server of the path.
    pub slots: u32,
    /// Bytes that each token sends from one server to the next.
    pub activation_bytes: f64,
    /// The bandwidth between two failure domains, shared by all requests, in megabits per second.
    pub pipe_mbps: f64,
    /// The time that a server takes to load all layers.
    pub load_time: Duration,
    /// The number of servers that can load at the same time without slowing each other down.
    pub parallel_loads: u32,
    /// The mean length of a prompt, in tokens.
    pub mean_prompt: f64,
    /// The mean length of an answer, in tokens.
    pub mean_answer: f64,
    /// The types of accelerators that its servers may have.
    pub accelerators: Vec<Accelerator>,
}

impl Engine {
    /// Returns an accelerator by name.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|a| a.name == name)
    }

    /// Returns the KV cache memory of one token in one layer, in megabytes.
    pub fn token_layer_mb(&self) -> f64 {
        self.kv_token_bytes / f64::from(self.layers.max(1)) / 1e6
    }

    /// Returns the number of layers that fit in the given memory.
    pub fn capacity(&self, memory_mb: f64) -> u32 {
        if self.layer_mb <= 0.0 {
            return self.layers;
        }
        ((memory_mb / self.layer_mb) as u32).min(self.layers)
    }
}

/// A service that requests are sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name.
    pub name: String,
    /// The path of the health check on its servers.
    pub health_path: String,
    /// The most connections that one server accepts, over all clients.
    pub max_connections: u32,
    /// The engine; none if the servers hold no layers of a model.
    pub engine: Option<Engine>,
}

/// A customer, identified in requests by one of its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The name.
    pub name: String,
    /// The digests of its keys.
    pub keys: Vec<Fingerprint>,
    /// The priority that overrides that of the route.
    pub priority: Option<u8>,
}

/// The greatest priority; greater ones in the configuration count as this one.
pub const MAX_PRIORITY: u8 = 9;

/// The priorities that requests to a service may have, as they differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorityLevels(Vec<u8>);

impl PriorityLevels {
    /// Returns a configured priority, or [`MAX_PRIORITY`] if it is greater.
    pub fn clamp(&self, priority: u8) -> u8 {
        priority.min(MAX_PRIORITY)
    }

    /// Returns the number of more urgent priorities.
    pub fn rank(&self, priority: u8) -> usize {
        self.0.iter().filter(|p| **p < priority).count()
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The version, which grows with each change.
    pub version: u64,
    /// The largest request body, in bytes.
    pub body_limit: usize,
    routes: Vec<Route>,
    host_routes: Map<String, Vec<usize>>,
    services: Map<String, Service>,
    customers: Vec<Customer>,
    key_customers: Map<Fingerprint, usize>,
    priority_levels: Map<String, PriorityLevels>,
    repeated_services: Vec<String>,
    corrections: Vec<Finding>,
}

impl Config {
    /// Creates a configuration and builds its indexes.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Vec<Customer>,
        body_limit: usize,
    ) -> Self {
        let mut host_routes: Map<String, Vec<usize>> = Map::default();
        for (i, route) in routes.iter().enumerate() {
            host_routes.entry(route.host.clone()).or_default().push(i);
        }
        for list in host_routes.values_mut() {
            // The longest prefix goes first.
            list.sort_by_key(|&i| std::cmp::Reverse(routes[i].prefix.len()));
        }
        let mut key_customers = Map::default();
        for (i, customer) in customers.iter().enumerate() {
            key_customers.extend(customer.keys.iter().map(|k| (*k, i)));
        }
        let priority_levels = differing_priorities(&routes, &services, &customers);
        let repeated_services = repeated_names(&services);
        Config {
            priority_levels,
            version,
            body_limit,
            routes,
            host_routes,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            customers,
            key_customers,
            repeated_services,
            corrections: Vec::new(),
        }
    }

    /// Adds what was corrected while the configuration was decoded.
    #[must_use]
    pub fn with_corrections(mut self, corrections: Vec<Finding>) -> Self {
        self.corrections = corrections;
        self
    }

    /// Returns the invalid values that were replaced while the configuration was decoded.
    pub fn corrections(&self) -> &[Finding] {
        &self.corrections
    }

    /// Returns the names that more than one service has, in order; the last of these services is used.
    pub fn repeated_services(&self) -> &[String] {
        &self.repeated_services
    }

    /// Returns the route of the host with the longest prefix that the path begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let list = self.host_routes.get(host)?;
        let found = list
            .iter()
            .find(|&&i| path.starts_with(&self.routes[i].prefix));
        found.map(|&i| &self.routes[i])
    }

    /// Returns the routes in the order of the configuration.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the customers in the order of the configuration.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns an iterator over all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the priorities of the requests to a service if requests are to be admitted by priority:
    /// the routes of the service differ in priority, or a customer has a priority of its own.
    pub fn priority_levels(&self, service: &str) -> Option<&PriorityLevels> {
        self.priority_levels.get(service)
    }

    /// Returns whether any customer is configured; without one, requests need no key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the customer that a key belongs to.
    pub fn customer(&self, key: Fingerprint) -> Option<&Customer> {
        self.key_customers.get(&key).map(|&i| &self.customers[i])
    }
}

fn repeated_names(services: &[Service]) -> Vec<String> {
    let mut seen = Set::default();
    let repeated = services.iter().filter(|s| !seen.insert(&s.name));
    let mut names: Vec<String> = repeated.map(|s| s.name.clone()).collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// Returns the priorities of each service for which they are to be heeded.
fn differing_priorities(
    routes: &[Route],
    services: &[Service],
    customers: &[Customer],
) -> Map<String, PriorityLevels> {
    // A customer without a key can't be recognized in a request.
    let own = customers.iter().filter(|c| !c.keys.is_empty());
    let own: Vec<u8> = own.filter_map(|c| c.priority).collect();
    let mut found = Map::default();
    for service in services {
        let serves = |r: &&Route| r.services.iter().any(|s| s.service == service.name);
        let of_routes = routes.iter().filter(serves).map(|r| r.priority);
        let mut levels: Vec<u8> = of_routes.map(|p| p.min(MAX_PRIORITY)).collect();
        levels.sort_unstable();
        levels.dedup();
        if levels.len() < 2 && (own.is_empty() || levels.is_empty()) {
            continue;
        }
        levels.extend(own.iter().map(|p| (*p).min(MAX_PRIORITY)));
        levels.sort_unstable();
        levels.dedup();
        found.insert(service.name.clone(), PriorityLevels(levels));
    }
    found
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new requests.
    Ready,
    /// It finishes its running requests and then stops.
    Leaving,
}

/// The layers that a server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLayers {
    /// The range of layers.
    pub layers: Layers,
    /// The version of the weights.
    pub weights_version: u64,
}

/// A server's row in the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The identity, which is the key of the row.
    pub id: String,
    /// The name of the service that it belongs to.
    pub service: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// How much longer the server stays slow after its start, in milliseconds.
    pub warmup_ms: f64,
    /// When its process started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The number of rows that its process had written, this one included.
    pub row_number: u64,
    /// The name of its accelerator's type, if the row gives one.
    pub accelerator: Option<String>,
    /// The layers that it holds, if any.
    pub held: Option<HeldLayers>,
}

/// A server's answer to a request for its state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerReport {
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The number of orders that it has accepted since its process started.
    pub order_count: u64,
    /// When its process started, in milliseconds since the Unix epoch; zero if the report doesn't
    /// say.
    pub started_ms: u64,
    /// The factor by which the server is slower than usual; 1 if it isn't.
    pub slow_factor: f64,
    /// KV cache memory in use by requests, in tokens times layers; not a number if the report doesn't say.
    pub memory_used: f64,
    /// KV cache memory in total, in tokens times layers.
    pub memory_total: f64,
    /// The layers that it holds, if any.
    pub held: Option<HeldLayers>,
    /// Requests that wait for another server that doesn't answer: the request's id and the address
    /// of that server.
    pub stalled: Vec<(String, SocketAddr)>,
}

/// Marks the keys of backend server processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerProcessMark {}

/// The key of one process of a backend server. A process that starts in its place, under the same id or at the
/// same address, has another key.
pub type ServerKey = Key<ServerProcessMark>;

/// One part of a request's path: a server and the layers that it runs for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PathPart {
    /// The server process that is meant.
    pub server: ServerKey,
    /// The address at which it takes requests.
    pub addr: SocketAddr,
    /// The range of layers.
    pub layers: Layers,
}
