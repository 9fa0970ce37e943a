//! Choice of the path of servers that runs a request.
//!
//! The search is dynamic programming over the layer boundaries. A state is a boundary together
//! with the failure domain of the server whose part ends there, because the bandwidth that all
//! requests share is used only where the path changes its domain.

use rand::Rng;
use rand::RngCore;

use mustard_core::deployment::{Engine, PathPart, ServerKey};
use mustard_core::ids::Layers;

/// The most parts, and so servers, on one path.
const MAX_PARTS: usize = 32;
/// The largest random surcharge on a server's cost, as a share of it; it keeps entry processes
/// with the same view from choosing the same servers.
pub(super) const JITTER: f64 = 0.15;
/// The fixed time that each server on the path adds, in milliseconds per generated token.
pub(super) const HOP_MS: f64 = 0.15;
/// The factor on the time that a prompt takes between two failure domains. All requests share the
/// bandwidth there, which is too small if every request crosses it twice, so a path changes its
/// domain only if no other path is left.
pub(super) const CROSSING_WEIGHT: f64 = 1_000.0;
/// The surcharge on the cost of a server whose memory is all in use, as a share of that cost; it
/// grows in proportion to the memory in use.
const MEMORY_WEIGHT: f64 = 2.0;
/// The share of memory in use from which a server counts as full; its cost then rises so much
/// that a path avoids it wherever others hold its layers.
pub(super) const FULL_SHARE: f64 = 0.92;
/// The factor on the cost of a full server.
const FULL_FACTOR: f64 = 40.0;

/// A server that holds layers, as a candidate for a path.
#[derive(Clone, Debug)]
pub struct LayerHolder {
    /// Its process.
    pub server: ServerKey,
    /// The address at which it takes requests.
    pub addr: std::net::SocketAddr,
    /// The index of its failure domain.
    pub domain: u32,
    /// The layers that it holds.
    pub layers: Layers,
    /// The factor on the time of token steps: that of its accelerator times its present slowdown.
    pub step_factor: f64,
    /// The factor on the time of reading prompts: that of its accelerator times its present
    /// slowdown.
    pub prompt_factor: f64,
    /// The share in use of its memory for requests; above one if more is booked than it has.
    pub memory_share: f64,
    /// Whether it takes a request now, as the first server of a path.
    pub takes_requests: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct RequestDemand {
    /// The length of the prompt, in tokens.
    pub prompt: f64,
    /// The expected length of the answer, in tokens.
    pub answer: f64,
    /// The failure domain of the entry process; a first server in it is slightly preferred.
    pub domain: u32,
}

/// A path with its predicted cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The parts in layer order.
    pub parts: Vec<PathPart>,
    /// The predicted time until the last token, in milliseconds, with the surcharges for memory
    /// in use and for changes of failure domain.
    pub cost: f64,
    /// How often the path changes its failure domain.
    pub crossings: u32,
}

/// How far a path up to a boundary has come.
#[derive(Clone, Copy, Default)]
pub(super) struct Reached {
    /// The cost by which paths are compared.
    pub cost: f64,
    /// The time until its last part has processed the tokens so far, in milliseconds, without that for which
    /// streams of other processes are ahead; zero where a search doesn't predict it.
    pub own_ms: f64,
    /// The time for which streams of other processes are ahead, in milliseconds.
    pub ahead_ms: f64,
}

impl Reached {
    /// Returns the time until the last part has processed the tokens so far.
    pub(super) fn ready_ms(&self) -> f64 {
        self.own_ms + self.ahead_ms
    }
}

/// The cost of parts, by which a search compares paths.
pub(super) trait PartCost {
    /// Returns what a path reaches that goes on to `layers` at the holder with an index; `from` is the failure
    /// domain of its last server, or `None` for the first part.
    fn extend(&self, reached: Reached, from: Option<u32>, index: usize, layers: Layers) -> Reached;
}

/// The cost of a whole request, with its answer.
struct RequestCost<'a> {
    engine: &'a Engine,
    holders: &'a [LayerHolder],
    demand: &'a RequestDemand,
    /// The cost of one layer at each holder.
    layer_costs: Vec<f64>,
}

impl<'a> RequestCost<'a> {
    fn new(
        engine: &'a Engine,
        holders: &'a [LayerHolder],
        demand: &'a RequestDemand,
        rng: &mut dyn RngCore,
    ) -> Self {
        let costs = holders
            .iter()
            .map(|h| layer_cost(engine, h, demand) * (1.0 + JITTER * rng.random::<f64>()));
        RequestCost {
            engine,
            holders,
            demand,
            layer_costs: costs.collect(),
        }
    }
}

impl PartCost for RequestCost<'_> {
    fn extend(&self, reached: Reached, from: Option<u32>, index: usize, layers: Layers) -> Reached {
        let hop = hop_cost(self.engine, self.demand, from, self.holders[index].domain);
        let cost = reached.cost + hop + self.layer_costs[index] * f64::from(layers.count());
        Reached { cost, ..reached }
    }
}

/// The cheapest path known up to a boundary, by its last part.
#[derive(Clone, Copy)]
struct PartialPath {
    reached: Reached,
    /// The state before the last part: boundary and failure domain.
    previous: Option<(u32, u32)>,
    /// The index of the server that runs the last part.
    holder: usize,
    /// The first layer of the last part.
    start: u32,
}

/// Chooses the cheapest path over all layers; `None` if no path holds every layer.
///
/// The search takes time in proportion to the layers, the holders of a layer and the boundaries
/// within a holder.
pub fn choose_path(
    engine: &Engine,
    holders: &[LayerHolder],
    demand: &RequestDemand,
    rng: &mut dyn RngCore,
) -> Option<Path> {
    let cost = RequestCost::new(engine, holders, demand, rng);
    find_path(engine, holders, &cost, None, &[]).map(|(path, _)| path)
}

/// Chooses the cheapest path that keeps the first part, for a request that already runs there.
pub fn replan_path(
    engine: &Engine,
    holders: &[LayerHolder],
    demand: &RequestDemand,
    first: PathPart,
    rng: &mut dyn RngCore,
) -> Option<Path> {
    let index = holders.iter().position(|h| h.server == first.server)?;
    let cost = RequestCost::new(engine, holders, demand, rng);
    find_path(engine, holders, &cost, Some((index, first.layers)), &[]).map(|(path, _)| path)
}

/// The cheapest known path up to each boundary, by the failure domain of its last server.
struct PathTable {
    domains: usize,
    paths: Vec<Option<PartialPath>>,
}

impl PathTable {
    fn new(layers: u32, holders: &[LayerHolder]) -> Self {
        let domains = holders
            .iter()
            .map(|h| h.domain as usize + 1)
            .max()
            .unwrap_or(0);
        PathTable {
            domains,
            paths: vec![None; (layers as usize + 1) * domains],
        }
    }

    fn get(&self, boundary: u32, domain: u32) -> Option<&PartialPath> {
        self.paths[boundary as usize * self.domains + domain as usize].as_ref()
    }

    fn insert_if_cheaper(&mut self, boundary: u32, domain: u32, path: PartialPath) {
        let known = &mut self.paths[boundary as usize * self.domains + domain as usize];
        if known.is_none_or(|p| path.reached.cost < p.reached.cost) {
            *known = Some(path);
        }
    }

    /// Returns an iterator over the failure domain of each path up to a boundary, and what it reaches.
    fn paths_to(&self, boundary: u32) -> impl Iterator<Item = (u32, Reached)> {
        let start = boundary as usize * self.domains;
        let row = &self.paths[start..start + self.domains];
        let row = row.iter().enumerate();
        row.filter_map(|(d, path)| Some((d as u32, path.as_ref()?.reached)))
    }

    /// Lists the holders on the path up to a boundary, the last one first.
    fn list_holders(&self, boundary: u32, domain: u32, list: &mut Vec<usize>) {
        list.clear();
        let mut state = Some((boundary, domain));
        while let Some(path) = state.and_then(|(b, d)| self.get(b, d)) {
            list.push(path.holder);
            state = path.previous;
        }
    }
}

/// Searches for the cheapest path. `first` is a given holder and the layers that it runs as the first part;
/// `cuts` are further boundaries at which a path may change its server. Returns the path and the time until
/// it is ready.
pub(super) fn find_path(
    engine: &Engine,
    holders: &[LayerHolder],
    part_cost: &impl PartCost,
    first: Option<(usize, Layers)>,
    cuts: &[u32],
) -> Option<(Path, f64)> {
    let start = first.map_or(0, |(_, layers)| layers.end);
    let mut table = PathTable::new(engine.layers, holders);
    if let Some((holder, layers)) = first {
        let path = PartialPath {
            reached: Reached::default(),
            previous: None,
            holder,
            start: layers.first,
        };
        table.insert_if_cheaper(start, holders[holder].domain, path);
    }
    let boundaries = boundaries(engine.layers, holders, start, cuts);
    // The last domain and the cost of each path up to a boundary; the empty path has no domain.
    let mut origins: Vec<(Option<u32>, Reached)> = Vec::new();
    let mut visited = Vec::new();
    for (i, &boundary) in boundaries.iter().enumerate() {
        origins.clear();
        origins.extend(
            table
                .paths_to(boundary)
                .map(|(domain, reached)| (Some(domain), reached)),
        );
        if boundary == 0 {
            origins.push((None, Reached::default()));
        }
        for &(domain, reached) in &origins {
            visited.clear();
            if let Some(domain) = domain {
                table.list_holders(boundary, domain, &mut visited);
            }
            if visited.len() >= MAX_PARTS {
                continue;
            }
            for (index, holder) in holders.iter().enumerate() {
                let holds_next = holder.layers.first <= boundary && boundary < holder.layers.end;
                let is_first = domain.is_none();
                if !holds_next || (is_first && !holder.takes_requests) || visited.contains(&index) {
                    continue;
                }
                for &end in boundaries[i + 1..]
                    .iter()
                    .take_while(|&&b| b <= holder.layers.end)
                {
                    let layers = Layers::new(boundary, end);
                    let path = PartialPath {
                        reached: part_cost.extend(reached, domain, index, layers),
                        previous: domain.map(|d| (boundary, d)),
                        holder: index,
                        start: boundary,
                    };
                    table.insert_if_cheaper(end, holder.domain, path);
                }
            }
        }
    }
    cheapest_path(engine, holders, &table)
}

/// Returns the layer boundaries at which a path may change its server, in ascending order.
fn boundaries(layers: u32, holders: &[LayerHolder], start: u32, cuts: &[u32]) -> Vec<u32> {
    let ends = holders.iter().flat_map(|h| [h.layers.first, h.layers.end]);
    let boundaries = ends.chain(cuts.iter().copied()).chain([start, layers]);
    let mut boundaries: Vec<u32> = boundaries.filter(|&b| b >= start && b <= layers).collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}

/// Reads the cheapest path over all layers from a complete table.
fn cheapest_path(
    engine: &Engine,
    holders: &[LayerHolder],
    table: &PathTable,
) -> Option<(Path, f64)> {
    let paths = table.paths_to(engine.layers);
    let (domain, reached) = paths.min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))?;
    let mut parts = Vec::new();
    let mut crossings = 0;
    let mut state = Some((engine.layers, domain));
    while let Some((boundary, domain)) = state {
        let path = table.get(boundary, domain)?;
        parts.push(PathPart {
            server: holders[path.holder].server,
            addr: holders[path.holder].addr,
            layers: Layers::new(path.start, boundary),
        });
        crossings += u32::from(path.previous.is_some_and(|(_, d)| d != domain));
        state = path.previous;
    }
    parts.reverse();
    let path = Path {
        parts,
        cost: reached.cost,
        crossings,
    };
    Some((path, reached.ready_ms()))
}

/// Returns the cost of one layer at a server: milliseconds for the whole request, with the
/// surcharge for memory in use.
fn layer_cost(engine: &Engine, holder: &LayerHolder, demand: &RequestDemand) -> f64 {
    let layer_share = 1.0 / f64::from(engine.layers.max(1));
    let read_ms =
        demand.prompt / engine.step_time.prompt_rate.max(1.0) * 1e3 * holder.prompt_factor;
    let write_ms = demand.answer * engine.step_time.base_ms * holder.step_factor;
    let full_factor = if holder.memory_share >= FULL_SHARE {
        FULL_FACTOR
    } else {
        1.0
    };
    layer_share
        * (read_ms + write_ms)
        * (1.0 + MEMORY_WEIGHT * holder.memory_share.clamp(0.0, 1.0))
        * full_factor
}

/// Returns the cost of going on to a server in the domain `to`; `from` is `None` for the first
/// server of a path.
fn hop_cost(engine: &Engine, demand: &RequestDemand, from: Option<u32>, to: u32) -> f64 {
    let fixed = HOP_MS * demand.answer;
    match from {
        // The request reaches the first server without using the shared bandwidth.
        None => fixed + if to == demand.domain { 0.0 } else { 1.0 },
        Some(domain) if domain == to => fixed,
        // The fixed time of a hop between domains counts three times.
        Some(_) => fixed * 3.0 + transfer_ms(engine, demand.prompt) * CROSSING_WEIGHT,
    }
}

/// Returns how long the activations of some tokens take between two failure domains, in milliseconds.
pub(super) fn transfer_ms(engine: &Engine, tokens: f64) -> f64 {
    let bits = tokens * engine.activation_bytes * 8.0;
    bits / (engine.pipe_mbps * 1e3)
}
