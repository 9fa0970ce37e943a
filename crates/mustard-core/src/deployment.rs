//! What operators and backend servers say of a deployment whose servers drive their own
//! pipelines: routes, services, customers, and the layers that each server holds.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::Map;
use crate::fingerprint::Fingerprint;
use crate::ids::Layers;

/// Whether and how a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another server may go on after the last event that arrived.
        resumable: bool,
    },
}

/// A service and the share of a route's requests that it gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The service.
    pub service: String,
    /// The share, relative to the other entries.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host in lower case.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The wanted time to the answer or to the first event.
    pub first: Duration,
    /// The longest pause between events for which a stream is on time.
    pub gap: Option<Duration>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The services.
    pub splits: Vec<Split>,
    /// The most servers that one request may be sent to.
    pub attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
}

/// The time that a step of an engine takes with all layers at pace 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Milliseconds for each token step.
    pub base_ms: f64,
    /// Milliseconds for each further request in the batch.
    pub sequence_ms: f64,
    /// Prompt tokens read a second.
    pub tokens_s: f64,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// The name.
    pub name: String,
    /// Memory for layers and requests, in megabytes.
    pub memory_mb: f64,
    /// The factor on the time of token steps.
    pub pace: f64,
    /// The factor on the time of reading prompts.
    pub read_factor: f64,
}

/// The model engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The layers of the model.
    pub layers: u32,
    /// The size of one layer, in megabytes.
    pub layer_mb: f64,
    /// The memory of one token over all layers, in bytes.
    pub token_bytes: f64,
    /// The time model.
    pub step: Step,
    /// Requests that a server batches as the first of a path.
    pub slots: u32,
    /// Bytes that one token sends from one server to the next.
    pub activation_bytes: f64,
    /// The rate between two failure domains, shared by all requests, in megabits a second.
    pub pipe_mbps: f64,
    /// The time to load all layers.
    pub load: Duration,
    /// Loads that run at full speed at the same time.
    pub parallel_loads: u32,
    /// The mean prompt, in tokens.
    pub usual_prompt: f64,
    /// The mean answer, in tokens.
    pub usual_answer: f64,
    /// The kinds of accelerators.
    pub accelerators: Vec<Accelerator>,
}

impl Engine {
    /// Returns the accelerator of a name.
    pub fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|a| a.name == name)
    }

    /// Returns the memory of one token in one layer, in megabytes.
    pub fn token_layer_mb(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1)) / 1e6
    }

    /// Returns the most layers that fit in a memory.
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
    /// The path of the health check.
    pub health: String,
    /// Connections that one server accepts from all callers.
    pub connections: u32,
    /// The engine, if the servers hold layers of a model.
    pub engine: Option<Engine>,
}

/// A customer and the digests of its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The name.
    pub name: String,
    /// The digests of its keys.
    pub keys: Vec<Fingerprint>,
    /// The rank that goes before that of the route.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The version; it grows.
    pub version: u64,
    /// The largest request body, in bytes.
    pub body_limit: usize,
    routes: Vec<Route>,
    hosts: Map<String, Vec<usize>>,
    services: Map<String, Service>,
    customers: Vec<Customer>,
    keys: Map<Fingerprint, usize>,
}

impl Config {
    /// Indexes the parts of a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Vec<Customer>,
        body_limit: usize,
    ) -> Self {
        let mut hosts: Map<String, Vec<usize>> = Map::default();
        for (i, route) in routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(i);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|&i| std::cmp::Reverse(routes[i].prefix.len()));
        }
        let mut keys = Map::default();
        for (i, customer) in customers.iter().enumerate() {
            keys.extend(customer.keys.iter().map(|k| (*k, i)));
        }
        Config {
            version,
            body_limit,
            routes,
            hosts,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            customers,
            keys,
        }
    }

    /// Returns the route with the longest prefix of a path on a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let list = self.hosts.get(host)?;
        let found = list
            .iter()
            .find(|&&i| path.starts_with(&self.routes[i].prefix));
        found.map(|&i| &self.routes[i])
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Visits every service.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Tells whether requests need a customer's key.
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the customer that holds a key.
    pub fn customer(&self, key: Fingerprint) -> Option<&Customer> {
        self.keys.get(&key).map(|&i| &self.customers[i])
    }
}

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It does.
    Ready,
    /// It finishes what it has and then stops.
    Leaving,
}

/// The layers that a server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The range.
    pub layers: Layers,
    /// The version of the weights.
    pub version: u64,
}

/// What a server says of itself in the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The identity of this life of the server.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub life: Life,
    /// How much longer it stays slow after its start, in milliseconds.
    pub warmup_ms: f64,
    /// When it started, in Unix milliseconds; zero if it doesn't say.
    pub born: u64,
    /// The kind of accelerator.
    pub accelerator: Option<String>,
    /// The layers that it holds.
    pub held: Option<Held>,
}

/// What a server answers when it is asked for its state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether an order is in progress.
    pub busy: bool,
    /// The orders accepted in this life.
    pub orders: u64,
    /// When it started, in Unix milliseconds.
    pub born: u64,
    /// Above one if the server is slow.
    pub pace: f64,
    /// Memory in use by requests, in tokens times layers.
    pub memory_used: f64,
    /// Memory for requests, in tokens times layers.
    pub memory_total: f64,
    /// The layers that it holds.
    pub held: Option<Held>,
    /// Requests, by id, that wait for the silent server at an address.
    pub stalled: Vec<(String, SocketAddr)>,
}

/// One part of a request's path: a server and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// The server's address.
    pub addr: SocketAddr,
    /// The layers.
    pub layers: Layers,
}
