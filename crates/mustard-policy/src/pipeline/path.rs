//! The choice of the servers that a request crosses.
//!
//! Dynamic programming over the layer boundaries. A state is a boundary together with the failure
//! domain of the server that ends there, since only a change of domain costs transfer time that
//! all requests share.

use rand::Rng;
use rand::RngCore;

use mustard_core::deployment::{Engine, Part};
use mustard_core::ids::Layers;

/// The most servers on one path.
const MAX_PARTS: usize = 32;
/// The share by which costs are drawn apart, so that entry processes with the same view don't
/// choose the same servers.
const JITTER: f64 = 0.15;
/// Fixed time of one more server on the path, in milliseconds a token.
const HOP_MS: f64 = 0.15;
/// How often the transfer of a prompt between failure domains is counted against the request.
/// All requests share one rate there, and a deployment's whole load crossing twice needs more
/// than it, so a path crosses only where no other path is left.
const PIPE_WEIGHT: f64 = 1_000.0;
/// How steeply the cost of a server grows with the share of its memory in use.
const LOAD_WEIGHT: f64 = 2.0;
/// The share of memory in use beyond which a server is left out where others hold its layers.
const FULL: f64 = 0.92;
/// The cost factor of a server that is full.
const FULL_FACTOR: f64 = 40.0;

/// A server that holds layers, as a request sees it.
#[derive(Clone, Debug)]
pub struct Holder {
    /// The address.
    pub addr: std::net::SocketAddr,
    /// The index of its failure domain.
    pub domain: u32,
    /// The layers that it holds.
    pub layers: Layers,
    /// The factor on the time of token steps, with how slow it is now.
    pub pace: f64,
    /// The factor on the time of reading prompts, with how slow it is now.
    pub read_factor: f64,
    /// The share of its memory for requests that is in use; above one if it is overdrawn.
    pub used: f64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Tokens to read first.
    pub prompt: f64,
    /// Tokens to write.
    pub answer: f64,
    /// The failure domain of the entry process, which the first server had better be in.
    pub domain: u32,
}

/// A path with its predicted cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The parts in the order of layers.
    pub parts: Vec<Part>,
    /// The time until the last token, in milliseconds, with the delay caused to others.
    pub cost: f64,
    /// The changes of failure domain.
    pub crossings: u32,
}

#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    /// The boundary and the domain that the step came from.
    from: Option<(u32, u32)>,
    holder: usize,
    start: u32,
}

/// Chooses a path over all layers, or none if a layer is held by nobody.
///
/// The time is proportional to layers, holders of a layer and boundaries within a holder.
pub fn choose(
    engine: &Engine,
    holders: &[Holder],
    demand: &Demand,
    rng: &mut dyn RngCore,
) -> Option<Route> {
    search(engine, holders, demand, rng, 0, None)
}

/// Chooses a path with a given first part, for a request that runs there already.
pub fn replace(
    engine: &Engine,
    holders: &[Holder],
    demand: &Demand,
    first: Part,
    rng: &mut dyn RngCore,
) -> Option<Route> {
    let index = holders.iter().position(|h| h.addr == first.addr)?;
    search(
        engine,
        holders,
        demand,
        rng,
        first.layers.end,
        Some((index, first.layers)),
    )
}

/// The best known way to each boundary, by the failure domain of the server that ends there.
struct Table {
    domains: usize,
    steps: Vec<Option<Step>>,
}

impl Table {
    fn new(layers: u32, holders: &[Holder]) -> Self {
        let domains = holders
            .iter()
            .map(|h| h.domain as usize + 1)
            .max()
            .unwrap_or(0);
        Table {
            domains,
            steps: vec![None; (layers as usize + 1) * domains],
        }
    }

    fn get(&self, at: u32, domain: u32) -> Option<&Step> {
        self.steps[at as usize * self.domains + domain as usize].as_ref()
    }

    fn offer(&mut self, at: u32, domain: u32, step: Step) {
        let slot = &mut self.steps[at as usize * self.domains + domain as usize];
        if slot.is_none_or(|s| step.cost < s.cost) {
            *slot = Some(step);
        }
    }

    /// Visits the ways to a boundary as domain and cost.
    fn ways(&self, at: u32) -> impl Iterator<Item = (u32, f64)> {
        let start = at as usize * self.domains;
        let row = &self.steps[start..start + self.domains];
        let row = row.iter().enumerate();
        row.filter_map(|(d, step)| Some((d as u32, step.as_ref()?.cost)))
    }

    /// Lists the holders on the way to a boundary.
    fn visited(&self, at: u32, domain: u32, list: &mut Vec<usize>) {
        list.clear();
        let mut state = Some((at, domain));
        while let Some(step) = state.and_then(|(at, d)| self.get(at, d)) {
            list.push(step.holder);
            state = step.from;
        }
    }
}

fn search(
    engine: &Engine,
    holders: &[Holder],
    demand: &Demand,
    rng: &mut dyn RngCore,
    start: u32,
    first: Option<(usize, Layers)>,
) -> Option<Route> {
    let costs: Vec<f64> = holders
        .iter()
        .map(|h| layer_cost(engine, h, demand) * (1.0 + JITTER * rng.random::<f64>()))
        .collect();
    let mut table = Table::new(engine.layers, holders);
    if let Some((holder, layers)) = first {
        let step = Step {
            cost: 0.0,
            from: None,
            holder,
            start: layers.first,
        };
        table.offer(start, holders[holder].domain, step);
    }
    let cuts = boundaries(engine.layers, holders, start);
    let mut origins: Vec<(Option<u32>, f64)> = Vec::new();
    let mut visited = Vec::new();
    for (i, &at) in cuts.iter().enumerate() {
        origins.clear();
        origins.extend(table.ways(at).map(|(domain, cost)| (Some(domain), cost)));
        if at == 0 {
            origins.push((None, 0.0));
        }
        for &(domain, cost) in &origins {
            visited.clear();
            if let Some(domain) = domain {
                table.visited(at, domain, &mut visited);
            }
            if visited.len() >= MAX_PARTS {
                continue;
            }
            for (index, holder) in holders.iter().enumerate() {
                let holds = holder.layers.first <= at && at < holder.layers.end;
                if !holds || visited.contains(&index) {
                    continue;
                }
                let entered = cost + hop_cost(engine, demand, domain, holder.domain);
                for &cut in cuts[i + 1..]
                    .iter()
                    .take_while(|&&c| c <= holder.layers.end)
                {
                    let step = Step {
                        cost: entered + costs[index] * f64::from(cut - at),
                        from: domain.map(|d| (at, d)),
                        holder: index,
                        start: at,
                    };
                    table.offer(cut, holder.domain, step);
                }
            }
        }
    }
    finish(engine, holders, &table)
}

/// Returns the boundaries at which a path may change its server, in order.
fn boundaries(layers: u32, holders: &[Holder], start: u32) -> Vec<u32> {
    let ends = holders.iter().flat_map(|h| [h.layers.first, h.layers.end]);
    let cuts = ends.chain([start, layers]);
    let mut cuts: Vec<u32> = cuts.filter(|&c| c >= start && c <= layers).collect();
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

fn finish(engine: &Engine, holders: &[Holder], table: &Table) -> Option<Route> {
    let ends = table.ways(engine.layers);
    let (domain, cost) = ends.min_by(|a, b| a.1.total_cmp(&b.1))?;
    let mut parts = Vec::new();
    let mut crossings = 0;
    let mut state = Some((engine.layers, domain));
    while let Some((boundary, domain)) = state {
        let step = table.get(boundary, domain)?;
        parts.push(Part {
            addr: holders[step.holder].addr,
            layers: Layers::new(step.start, boundary),
        });
        crossings += u32::from(step.from.is_some_and(|(_, d)| d != domain));
        state = step.from;
    }
    parts.reverse();
    Some(Route {
        parts,
        cost,
        crossings,
    })
}

/// Returns the time that one layer takes at a server, in milliseconds for the whole request.
fn layer_cost(engine: &Engine, holder: &Holder, demand: &Demand) -> f64 {
    let share = 1.0 / f64::from(engine.layers.max(1));
    let read_ms = demand.prompt / engine.step.tokens_s.max(1.0) * 1e3 * holder.read_factor;
    let write_ms = demand.answer * engine.step.base_ms * holder.pace;
    let full = if holder.used >= FULL {
        FULL_FACTOR
    } else {
        1.0
    };
    share * (read_ms + write_ms) * (1.0 + LOAD_WEIGHT * holder.used.clamp(0.0, 1.0)) * full
}

fn hop_cost(engine: &Engine, demand: &Demand, from: Option<u32>, to: u32) -> f64 {
    let fixed = HOP_MS * demand.answer;
    match from {
        // The way to the first server crosses no shared pipe.
        None => fixed + if to == demand.domain { 0.0 } else { 1.0 },
        Some(domain) if domain == to => fixed,
        Some(_) => {
            let bits = demand.prompt * engine.activation_bytes * 8.0;
            let pipe_ms = bits / (engine.pipe_mbps * 1e3);
            fixed * 3.0 + pipe_ms * PIPE_WEIGHT
        }
    }
}
