//! Placement of layers on servers.
//!
//! A server that holds nothing takes the range whose layers have the fewest holders in its
//! failure domain, then over all domains. This rule fills an empty deployment, the gap that a
//! lost server leaves, and a new server. A server that holds layers is given other ones only if a
//! layer without a holder in its domain gets one by that, and no other layer loses its last holder.

use mustard_core::deployment::Engine;
use mustard_core::ids::Layers;

/// The least share of memory kept for requests, even if the usual requests need less.
pub(super) const MIN_REQUEST_SHARE: f64 = 0.12;
/// The largest share of memory kept for requests, even if the usual requests need more.
pub(super) const MAX_REQUEST_SHARE: f64 = 0.5;
/// The value of one more holder of a layer that has none, one, or two in the server's domain.
const DOMAIN_VALUES: [f64; 3] = [1_000.0, 10.0, 1.0];
/// The value of one more holder of a layer that has none, one, or two in all domains together.
const TOTAL_VALUES: [f64; 3] = [300.0, 3.0, 0.3];

/// The least gain for which a server that holds layers is given other ones. It is half the value of
/// a layer's first holder in the domain; the other half allows for the layers that a large server
/// gives up and that then have one holder left.
const MIN_ORDER_GAIN: f64 = DOMAIN_VALUES[0] / 2.0;

/// A server that layers may be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementServer {
    /// The index that the calling code gave it; returned in a [`LayerAssignment`].
    pub index: usize,
    /// The index of its failure domain.
    pub domain: u32,
    /// Its memory, in megabytes.
    pub memory_mb: f64,
    /// The factor on the time of token steps.
    pub step_factor: f64,
    /// The layers that it holds or loads; `None` if it holds none.
    pub held: Option<Layers>,
    /// Whether it can be ordered to load layers now.
    pub accepts_orders: bool,
    /// Whether it will go on serving requests; one that leaves or is lost won't.
    pub is_staying: bool,
}

/// The layers that one server is to be ordered to hold, in place of those that it holds now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerAssignment {
    /// The index of the server's [`PlacementServer`].
    pub index: usize,
    /// The layers to hold.
    pub layers: Layers,
}

/// Settings of the placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// The share of each server's memory that layers may take; the rest is kept for requests.
    pub layers_share: f64,
    /// The most servers that one plan gives other layers.
    pub max_orders: usize,
}

/// Returns the share of memory that layers may take so that enough is left for requests.
///
/// `requests` is the number that run at the same time over all servers. There has to be memory for
/// them even when one of `domains` failure domains is lost.
pub fn layers_memory_share(engine: &Engine, requests: f64, domains: usize) -> f64 {
    let domains = domains.max(1) as f64;
    let remaining = (domains - 1.0).max(1.0);
    let tokens = engine.mean_prompt + engine.mean_answer;
    let request_mb = requests / remaining * tokens * engine.token_layer_mb();
    let request_share = request_mb / (engine.layer_mb.max(1.0) + request_mb);
    1.0 - request_share.clamp(MIN_REQUEST_SHARE, MAX_REQUEST_SHARE)
}

/// Returns the layers to be ordered now, the most urgent first.
pub fn plan_placement(
    engine: &Engine,
    servers: &[PlacementServer],
    settings: &PlacementSettings,
) -> Vec<LayerAssignment> {
    let mut coverage = Coverage::new(engine.layers, servers);
    let mut empty: Vec<&PlacementServer> = servers.iter().filter(|s| s.is_empty()).collect();
    // Servers with much memory come first; the smaller ranges of the others fill what is left.
    empty.sort_by(|a, b| {
        let by_memory = b.memory_mb.total_cmp(&a.memory_mb);
        by_memory.then(a.index.cmp(&b.index))
    });
    let mut orders = Vec::new();
    for server in empty {
        if orders.len() >= settings.max_orders {
            return orders;
        }
        let size = range_size(engine, server, settings.layers_share);
        if let Some(layers) = coverage.best_range(server.domain, size) {
            coverage.add(server.domain, layers);
            orders.push(LayerAssignment {
                index: server.index,
                layers,
            });
        }
    }
    while orders.len() < settings.max_orders {
        let Some(next) = best_order(engine, servers, settings, &mut coverage, &orders) else {
            break;
        };
        orders.push(next);
    }
    orders
}

/// Returns the order with the largest gain, if the gain is at least [`MIN_ORDER_GAIN`].
///
/// The gain is the value of the new layers less that of the layers that the server gives up, so
/// that no order opens a gap as large as the one that it fills.
fn best_order(
    engine: &Engine,
    servers: &[PlacementServer],
    settings: &PlacementSettings,
    coverage: &mut Coverage,
    orders: &[LayerAssignment],
) -> Option<LayerAssignment> {
    let mut best: Option<(f64, &PlacementServer, Layers)> = None;
    for server in servers.iter().filter(|s| s.accepts_orders && s.is_staying) {
        let Some(held) = server.held else {
            continue;
        };
        if orders.iter().any(|o| o.index == server.index) {
            continue;
        }
        coverage.remove(server.domain, held);
        let size = range_size(engine, server, settings.layers_share);
        if let Some(layers) = coverage.best_range(server.domain, size) {
            let gain = coverage.range_value(server.domain, layers)
                - coverage.range_value(server.domain, held);
            if gain >= MIN_ORDER_GAIN && best.is_none_or(|(g, ..)| gain > g + 1e-6) {
                best = Some((gain, server, layers));
            }
        }
        coverage.add(server.domain, held);
    }
    let (_, server, layers) = best?;
    coverage.remove(server.domain, server.held?);
    coverage.add(server.domain, layers);
    Some(LayerAssignment {
        index: server.index,
        layers,
    })
}

/// Returns how many layers a server takes: as many as `layers_share` of its memory holds, at least
/// one if its memory holds one at all. A server that is ordered to hold more than fits ends.
fn range_size(engine: &Engine, server: &PlacementServer, layers_share: f64) -> u32 {
    engine
        .capacity(server.memory_mb * layers_share)
        .max(1)
        .min(engine.capacity(server.memory_mb))
}

impl PlacementServer {
    /// Tells whether it can be ordered to load layers while it holds none.
    pub(super) fn is_empty(&self) -> bool {
        self.accepts_orders && self.is_staying && self.held.is_none()
    }
}

/// The number of holders of each layer, per failure domain and in total.
struct Coverage {
    domains: Vec<Vec<u32>>,
    total: Vec<u32>,
}

impl Coverage {
    fn new(layers: u32, servers: &[PlacementServer]) -> Self {
        let count = servers.iter().map(|s| s.domain + 1).max().unwrap_or(0);
        let empty = vec![0; layers as usize];
        let mut coverage = Coverage {
            domains: vec![empty.clone(); count as usize],
            total: empty,
        };
        for server in servers.iter().filter(|s| s.is_staying) {
            if let Some(held) = server.held {
                coverage.add(server.domain, held);
            }
        }
        coverage
    }

    fn add(&mut self, domain: u32, layers: Layers) {
        for layer in self.indices(layers) {
            self.domains[domain as usize][layer] += 1;
            self.total[layer] += 1;
        }
    }

    fn remove(&mut self, domain: u32, layers: Layers) {
        for layer in self.indices(layers) {
            let count = &mut self.domains[domain as usize][layer];
            *count = count.saturating_sub(1);
            self.total[layer] = self.total[layer].saturating_sub(1);
        }
    }

    /// Returns the indices of a range of layers, cut off at the model's last layer.
    fn indices(&self, layers: Layers) -> std::ops::Range<usize> {
        let end = (layers.end as usize).min(self.total.len());
        (layers.first as usize).min(end)..end
    }

    /// Returns the range of `size` layers that is most valuable to a domain.
    fn best_range(&self, domain: u32, size: u32) -> Option<Layers> {
        let layer_count = self.total.len() as u32;
        let size = size.min(layer_count);
        if size == 0 {
            return None;
        }
        let values: Vec<f64> = (0..self.total.len())
            .map(|l| self.layer_value(domain, l))
            .collect();
        let mut value: f64 = values[..size as usize].iter().sum();
        let (mut best, mut first) = (value, 0);
        for start in 1..=(layer_count - size) {
            value += values[(start + size - 1) as usize] - values[(start - 1) as usize];
            if value > best + 1e-6 {
                best = value;
                first = start;
            }
        }
        Some(Layers::new(first, first + size))
    }

    fn layer_value(&self, domain: u32, layer: usize) -> f64 {
        let in_domain = self.domains[domain as usize][layer] as usize;
        let in_total = self.total[layer] as usize;
        let domain_value = DOMAIN_VALUES.get(in_domain).copied().unwrap_or(0.1);
        domain_value + TOTAL_VALUES.get(in_total).copied().unwrap_or(0.03)
    }

    fn range_value(&self, domain: u32, layers: Layers) -> f64 {
        self.indices(layers)
            .map(|l| self.layer_value(domain, l))
            .sum()
    }
}
