//! Which server is to hold which layers.
//!
//! A server that holds nothing takes the range whose layers have the fewest holders in its
//! failure domain, then over all domains. That one rule fills an empty deployment, a gap that a
//! death left, and a new server. A server that holds layers is moved only where that gives a
//! layer of its domain a holder that has none, and takes the last holder from no other.

use mustard_core::deployment::Engine;
use mustard_core::ids::Layers;

/// The share of memory kept for requests at least, over what the usual requests need.
const MIN_SPARE: f64 = 0.12;
/// The share of memory kept for requests at most.
const MAX_SPARE: f64 = 0.5;
/// The worth of one more holder of a layer that has none, one, or two in the domain.
const LAYER_WORTH: [f64; 3] = [1_000.0, 10.0, 1.0];
/// The worth of one more holder of a layer that has none, one, or two in all domains.
const COMMON_WORTH: [f64; 3] = [300.0, 3.0, 0.3];

/// The least worth of a move of a server that holds layers: that of one layer without a holder in
/// the domain, less the last but one holders that a large server gives up for it.
const MOVE_GAIN: f64 = LAYER_WORTH[0] / 2.0;

/// A server that may hold layers.
#[derive(Clone, Debug)]
pub struct Site {
    /// The index by which the caller knows it.
    pub index: usize,
    /// The index of its failure domain.
    pub domain: u32,
    /// Its memory, in megabytes.
    pub memory_mb: f64,
    /// The factor on the time of token steps.
    pub pace: f64,
    /// The layers that it holds or loads.
    pub held: Option<Layers>,
    /// Whether it takes an order now.
    pub free: bool,
    /// Whether requests will go on through it.
    pub stays: bool,
}

/// One change of what a server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The server's index.
    pub index: usize,
    /// The layers to hold.
    pub layers: Layers,
}

/// Settings of the plan.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// The share of each server's memory that layers may take.
    pub fill: f64,
    /// The most changes to order at once.
    pub moves: usize,
}

/// Returns the share of memory for layers that leaves room for the requests expected at once.
///
/// `requests` run at the same time over all servers; the room has to hold them when one failure
/// domain of `domains` is lost.
pub fn initial_fill(engine: &Engine, requests: f64, domains: usize) -> f64 {
    let domains = domains.max(1) as f64;
    let left = (domains - 1.0).max(1.0);
    let tokens = engine.usual_prompt + engine.usual_answer;
    let layer_need = requests / left * tokens * engine.token_layer_mb();
    let spare = layer_need / (engine.layer_mb.max(1.0) + layer_need);
    1.0 - spare.clamp(MIN_SPARE, MAX_SPARE)
}

/// Returns the changes to order now, the most urgent first.
pub fn plan(engine: &Engine, sites: &[Site], placement: &Placement) -> Vec<Move> {
    let mut cover = Cover::new(engine.layers, sites);
    let mut empty: Vec<&Site> = sites.iter().filter(|s| s.is_empty()).collect();
    // Large memories first: the small ranges of the others then fill what is left.
    empty.sort_by(|a, b| {
        let by_memory = b.memory_mb.total_cmp(&a.memory_mb);
        by_memory.then(a.index.cmp(&b.index))
    });
    let mut moves = Vec::new();
    for site in empty {
        if moves.len() >= placement.moves {
            return moves;
        }
        let size = size(engine, site, placement.fill);
        if let Some(layers) = cover.best(site.domain, size) {
            cover.add(site.domain, layers);
            moves.push(Move {
                index: site.index,
                layers,
            });
        }
    }
    while moves.len() < placement.moves {
        let Some(next) = improve(engine, sites, placement, &mut cover, &moves) else {
            break;
        };
        moves.push(next);
    }
    moves
}

/// Returns the move that is worth most, if it gives a layer its first holder in a domain.
///
/// What the server gives up is counted against the move, so that none leaves a gap behind that
/// is as large as the one it fills.
fn improve(
    engine: &Engine,
    sites: &[Site],
    placement: &Placement,
    cover: &mut Cover,
    moves: &[Move],
) -> Option<Move> {
    let mut best: Option<(f64, &Site, Layers)> = None;
    for site in sites.iter().filter(|s| s.free && s.stays) {
        let Some(held) = site.held else {
            continue;
        };
        if moves.iter().any(|m| m.index == site.index) {
            continue;
        }
        cover.remove(site.domain, held);
        let size = size(engine, site, placement.fill);
        if let Some(layers) = cover.best(site.domain, size) {
            let gain = cover.sum(site.domain, layers) - cover.sum(site.domain, held);
            if gain >= MOVE_GAIN && best.is_none_or(|(g, ..)| gain > g + 1e-6) {
                best = Some((gain, site, layers));
            }
        }
        cover.add(site.domain, held);
    }
    let (_, site, layers) = best?;
    cover.remove(site.domain, site.held?);
    cover.add(site.domain, layers);
    Some(Move {
        index: site.index,
        layers,
    })
}

fn size(engine: &Engine, site: &Site, fill: f64) -> u32 {
    engine
        .capacity(site.memory_mb * fill)
        .max(1)
        .min(engine.capacity(site.memory_mb).max(1))
}

impl Site {
    fn is_empty(&self) -> bool {
        self.free && self.stays && self.held.is_none()
    }
}

/// The number of holders of each layer, by failure domain and in all.
struct Cover {
    domains: Vec<Vec<u32>>,
    all: Vec<u32>,
}

impl Cover {
    fn new(layers: u32, sites: &[Site]) -> Self {
        let count = sites.iter().map(|s| s.domain + 1).max().unwrap_or(0);
        let empty = vec![0; layers as usize];
        let mut cover = Cover {
            domains: vec![empty.clone(); count as usize],
            all: empty,
        };
        for site in sites.iter().filter(|s| s.stays) {
            if let Some(held) = site.held {
                cover.add(site.domain, held);
            }
        }
        cover
    }

    fn add(&mut self, domain: u32, layers: Layers) {
        for layer in self.range(layers) {
            self.domains[domain as usize][layer] += 1;
            self.all[layer] += 1;
        }
    }

    fn remove(&mut self, domain: u32, layers: Layers) {
        for layer in self.range(layers) {
            let count = &mut self.domains[domain as usize][layer];
            *count = count.saturating_sub(1);
            self.all[layer] = self.all[layer].saturating_sub(1);
        }
    }

    fn range(&self, layers: Layers) -> std::ops::Range<usize> {
        let end = (layers.end as usize).min(self.all.len());
        (layers.first as usize).min(end)..end
    }

    /// Returns the range of a size that is worth most to a domain.
    fn best(&self, domain: u32, size: u32) -> Option<Layers> {
        let total = self.all.len() as u32;
        let size = size.min(total);
        if size == 0 {
            return None;
        }
        let worth: Vec<f64> = (0..self.all.len()).map(|l| self.worth(domain, l)).collect();
        let mut sum: f64 = worth[..size as usize].iter().sum();
        let (mut best, mut first) = (sum, 0);
        for start in 1..=(total - size) {
            sum += worth[(start + size - 1) as usize] - worth[(start - 1) as usize];
            if sum > best + 1e-6 {
                best = sum;
                first = start;
            }
        }
        Some(Layers::new(first, first + size))
    }

    fn worth(&self, domain: u32, layer: usize) -> f64 {
        let near = self.domains[domain as usize][layer] as usize;
        let far = self.all[layer] as usize;
        let near = LAYER_WORTH.get(near).copied().unwrap_or(0.1);
        near + COMMON_WORTH.get(far).copied().unwrap_or(0.03)
    }

    fn sum(&self, domain: u32, layers: Layers) -> f64 {
        self.range(layers).map(|l| self.worth(domain, l)).sum()
    }
}
