//! What each failure domain of a pipeline can carry on its own.
//!
//! A request needs memory and time in every layer, and may be split over the holders of each layer.
//! The most requests that a domain carries is therefore a maximum flow from layers to servers: for
//! every set of layers, their requests have to fit in the servers that hold any of them.

use mustard_core::collections::{Map, Set};
use mustard_core::deployment::Engine;
use mustard_core::ids::Layers;

use super::domain_plan::improve_orders;
use super::placement::{
    LayerAssignment, MAX_REQUEST_SHARE, MIN_REQUEST_SHARE, PlacementServer, PlacementSettings,
    plan_placement,
};

/// The most servers of a domain whose loss is considered. If there are more, those are left out that
/// have the least room in each of their layers.
const MAX_LOST_SERVERS: usize = 64;
/// The most losses whose flow is computed. At 139 servers the statement took 188 ms of an unoptimized
/// build with all of them.
const MAX_LOSSES: usize = 12;
/// The precision of a flow, as a share of it.
const FLOW_PRECISION: f64 = 1e-9;

/// A server that layers may be placed on, with what it takes to weigh its capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityServer {
    /// The server.
    pub server: PlacementServer,
    /// The factor on the time to process a prompt.
    pub prompt_factor: f64,
}

/// What the servers of one failure domain carry together, without paths to other domains.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DomainCapacity {
    /// The index of the failure domain.
    pub domain: u32,
    /// The requests that it has to run at the same time.
    pub needed: f64,
    /// The requests that its memory holds at the same time; zero if a layer has no holder.
    pub requests: f64,
    /// The tokens of answers per second that its servers compute at full batches.
    pub token_rate: f64,
    /// The first of the layers that limit the requests in its memory.
    pub bottleneck: u32,
    /// The number of layers without a holder.
    pub gaps: u32,
    /// The number of layers with at least two holders that together have room for the needed requests.
    pub doubled: u32,
    /// The requests that its memory holds after the loss of any one server.
    pub after_one: f64,
    /// The requests that its memory holds after the loss of any two servers.
    pub after_two: f64,
    /// The share of pairs of servers whose loss leaves each layer a holder.
    pub safe_pairs: f64,
}

/// Returns the number of requests that each of `domains` failure domains has to run at the same
/// time: its even share of all requests, plus an equal part of those of one lost domain.
pub fn domain_requests(requests: f64, domains: usize) -> f64 {
    requests / (domains.max(2) - 1) as f64
}

/// Returns the layers to be ordered now, the most urgent first; at most `max_orders`. `needed` is the
/// number of requests that each failure domain has to run at the same time.
///
/// Servers without layers are laid out together, also those whose orders have to wait for a later plan.
/// Servers that hold layers are moved only once all of those orders are part of this plan.
pub fn plan_capacity(
    engine: &Engine,
    servers: &[CapacityServer],
    needed: f64,
    max_orders: usize,
) -> Vec<LayerAssignment> {
    if max_orders == 0 {
        return Vec::new();
    }
    let mut servers = servers.to_vec();
    for CapacityServer { server, .. } in &mut servers {
        let most_mb = server.memory_mb * (1.0 - MIN_REQUEST_SHARE);
        server.accepts_orders &= engine.capacity(most_mb) > 0;
    }
    let mut plain: Vec<PlacementServer> = servers.iter().map(|s| s.server.clone()).collect();
    let empty = plain.iter().filter(|s| s.is_empty()).count();
    let mut settings = PlacementSettings {
        layers_share: layers_share(engine, &plain, needed),
        max_orders: empty,
    };
    let mut orders = plan_placement(engine, &plain, &settings);
    improve_orders(engine, &servers, needed, &mut orders);
    if orders.len() > max_orders {
        return most_urgent(engine, &plain, &orders, max_orders);
    }
    for server in &mut plain {
        if let Some(order) = orders.iter().find(|o| o.index == server.index) {
            server.held = Some(order.layers);
            server.accepts_orders = false;
        }
    }
    settings.max_orders = max_orders - orders.len();
    orders.extend(plan_placement(engine, &plain, &settings));
    orders
}

/// Returns the `max_orders` orders to be sent first: each time, the one for the most layers without a
/// holder in their domain.
fn most_urgent(
    engine: &Engine,
    servers: &[PlacementServer],
    orders: &[LayerAssignment],
    max_orders: usize,
) -> Vec<LayerAssignment> {
    let domains: Map<usize, u32> = servers.iter().map(|s| (s.index, s.domain)).collect();
    let holding = servers.iter().filter(|s| s.is_staying);
    let holding = holding.filter_map(|s| Some((s.domain, s.held?)));
    let mut covered: Set<(u32, u32)> = holding
        .flat_map(|(domain, held)| {
            (held.first..held.end.min(engine.layers)).map(move |l| (domain, l))
        })
        .collect();
    let mut open: Vec<(u32, LayerAssignment)> = orders
        .iter()
        .filter_map(|o| Some((*domains.get(&o.index)?, *o)))
        .collect();
    let mut urgent = Vec::new();
    while urgent.len() < max_orders && !open.is_empty() {
        let gaps = |(domain, order): &(u32, LayerAssignment)| {
            let layers = order.layers.first..order.layers.end;
            layers.filter(|&l| !covered.contains(&(*domain, l))).count()
        };
        // Of equal ones, the order for the server with the most memory is the first.
        let most = (0..open.len()).rev().max_by_key(|&i| gaps(&open[i]));
        let (domain, order) = open.remove(most.unwrap_or(0));
        covered.extend((order.layers.first..order.layers.end).map(|l| (domain, l)));
        urgent.push(order);
    }
    urgent
}

/// Returns the share of memory that layers may take if `requests` run at the same time in each failure
/// domain and the memory that they need is counted once for all holders of a layer there.
///
/// It is the same in all domains. With a share for each, domains with less memory get fewer copies of layers,
/// and these lose more streams with each server.
fn layers_share(engine: &Engine, servers: &[PlacementServer], requests: f64) -> f64 {
    let staying = || servers.iter().filter(|s| s.is_staying);
    let mut domains: Vec<u32> = staying().map(|s| s.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let memory_mb: f64 = staying().map(|s| s.memory_mb).sum();
    let needed_mb = requests * request_layer_mb(engine) * f64::from(engine.layers);
    let needed_share = needed_mb * domains.len() as f64 / memory_mb.max(1.0);
    1.0 - needed_share.clamp(MIN_REQUEST_SHARE, MAX_REQUEST_SHARE)
}

/// Returns what each failure domain carries, by the domain's index; `needed` is the number of
/// requests that each of them has to run at the same time.
pub fn domain_capacities(
    engine: &Engine,
    servers: &[CapacityServer],
    needed: f64,
) -> Vec<DomainCapacity> {
    let domains = servers.iter().map(|s| s.server.domain + 1).max();
    let capacities = (0..domains.unwrap_or(0)).map(|domain| {
        let in_domain = |s: &&CapacityServer| s.server.domain == domain && s.server.is_staying;
        let holders: Vec<Holder> = servers
            .iter()
            .filter(in_domain)
            .filter_map(|s| Holder::new(engine, s, s.server.held?))
            .collect();
        DomainCapacity {
            domain,
            ..holders_capacity(engine, &holders, needed)
        }
    });
    capacities.collect()
}

/// Returns the memory that a mean request needs in each layer, in megabytes.
pub(super) fn request_layer_mb(engine: &Engine) -> f64 {
    ((engine.mean_prompt + engine.mean_answer) * engine.token_layer_mb()).max(f64::MIN_POSITIVE)
}

/// A server with the layers that it holds, and the capacity that is left to their requests.
#[derive(Clone, Copy, Debug)]
struct Holder {
    layers: Layers,
    /// Requests times layers that its memory holds at the same time.
    room: f64,
    /// Requests times layers that it computes per second.
    rate: f64,
}

impl Holder {
    fn new(engine: &Engine, server: &CapacityServer, layers: Layers) -> Option<Self> {
        let layers = Layers::new(layers.first, layers.end.min(engine.layers));
        if layers.is_empty() {
            return None;
        }
        let count = f64::from(layers.count());
        let layers_mb = count * engine.layer_mb;
        let room = (server.server.memory_mb - layers_mb).max(0.0) / request_layer_mb(engine);
        let batch = (room / count).clamp(1.0, f64::from(engine.slots.max(1)));
        let step = &engine.step_time;
        let token_ms = (step.base_ms + step.sequence_ms * (batch - 1.0)) / batch;
        let answer_ms = engine.mean_answer * token_ms * server.server.step_factor;
        let prompt_ms = engine.mean_prompt / step.prompt_rate.max(1.0) * 1e3 * server.prompt_factor;
        let layer_ms = (answer_ms + prompt_ms) / f64::from(engine.layers.max(1));
        Some(Holder {
            layers,
            room,
            rate: 1e3 / layer_ms.max(f64::MIN_POSITIVE),
        })
    }
}

fn holders_capacity(engine: &Engine, holders: &[Holder], needed: f64) -> DomainCapacity {
    let rooms: Vec<(Layers, f64)> = holders.iter().map(|h| (h.layers, h.room)).collect();
    let rates: Vec<(Layers, f64)> = holders.iter().map(|h| (h.layers, h.rate)).collect();
    let requests = max_flow(engine.layers, &rooms);
    let mut capacity = DomainCapacity {
        needed,
        requests: requests.value,
        token_rate: max_flow(engine.layers, &rates).value * engine.mean_answer,
        bottleneck: requests.bottleneck,
        ..DomainCapacity::default()
    };
    // The holders of each layer with at most two of them: their loss opens a gap.
    let mut losses: Vec<[usize; 2]> = Vec::new();
    for layer in 0..engine.layers {
        let holds = |h: &(usize, &Holder)| h.1.layers.first <= layer && layer < h.1.layers.end;
        let all: Vec<_> = holders.iter().enumerate().filter(holds).collect();
        let room: f64 = all
            .iter()
            .map(|(_, h)| h.room / f64::from(h.layers.count()))
            .sum();
        capacity.gaps += u32::from(all.is_empty());
        capacity.doubled += u32::from(all.len() >= 2 && room >= needed);
        match all.as_slice() {
            [(a, _)] => losses.push([*a, *a]),
            [(a, _), (b, _)] => losses.push([*a, *b]),
            _ => {}
        }
    }
    losses.sort_unstable();
    losses.dedup();
    record_losses(engine, holders, &losses, &mut capacity);
    capacity
}

/// Records what is left after the loss of any one or two servers. `losses` are the single servers,
/// given twice, and the pairs whose loss leaves a layer without a holder.
fn record_losses(
    engine: &Engine,
    holders: &[Holder],
    losses: &[[usize; 2]],
    capacity: &mut DomainCapacity,
) {
    if capacity.gaps > 0 || holders.is_empty() {
        return;
    }
    let count = holders.len();
    let opens = |lost: [usize; 2]| losses.binary_search(&lost).is_ok();
    let mut order: Vec<usize> = (0..count).collect();
    if count > MAX_LOST_SERVERS {
        let share = |i: usize| holders[i].room / f64::from(holders[i].layers.count());
        order.sort_by(|&a, &b| share(b).total_cmp(&share(a)));
        order.truncate(MAX_LOST_SERVERS);
    }
    let pairs = order
        .iter()
        .flat_map(|&a| order.iter().map(move |&b| [a, b]))
        .filter(|[a, b]| a < b);
    if !losses.iter().any(|[a, b]| a == b) {
        capacity.after_one = least_left(engine, holders, order.iter().map(|&i| [i, i]));
    }
    if losses.is_empty() {
        capacity.after_two = least_left(engine, holders, pairs);
    }
    let singles: Vec<bool> = (0..count).map(|i| opens([i, i])).collect();
    let lone = singles.iter().filter(|&&s| s).count();
    let with_lone = lone * lone.saturating_sub(1) / 2 + lone * (count - lone);
    let both = losses
        .iter()
        .filter(|[a, b]| a != b && !singles[*a] && !singles[*b]);
    let all = count * count.saturating_sub(1) / 2;
    if all > 0 {
        capacity.safe_pairs = 1.0 - (with_lone + both.count()) as f64 / all as f64;
    }
}

/// Returns the least number of requests that fit after one of the given losses; zero if there is none.
///
/// Less than the maximum flow fits if each holder splits its room evenly over its layers. The flow is
/// therefore computed only for losses for which that bound is below the least flow so far, and for at
/// most [`MAX_LOSSES`] of them, those with the lowest bounds.
fn least_left(
    engine: &Engine,
    holders: &[Holder],
    losses: impl Iterator<Item = [usize; 2]>,
) -> f64 {
    let mut even = vec![0.0; engine.layers as usize];
    let share = |h: &Holder| h.room / f64::from(h.layers.count());
    let indices = |h: &Holder| h.layers.first as usize..h.layers.end as usize;
    for holder in holders {
        even[indices(holder)]
            .iter_mut()
            .for_each(|e| *e += share(holder));
    }
    let bound = |lost: [usize; 2]| {
        let lost = lost.map(|i| (indices(&holders[i]), share(&holders[i])));
        let is_pair = lost[0] != lost[1];
        let left = even.iter().enumerate().map(|(l, e)| {
            let first = if lost[0].0.contains(&l) {
                lost[0].1
            } else {
                0.0
            };
            let second = is_pair && lost[1].0.contains(&l);
            e - first - if second { lost[1].1 } else { 0.0 }
        });
        left.fold(f64::MAX, f64::min)
    };
    let mut bounds: Vec<(f64, [usize; 2])> = losses.map(|l| (bound(l), l)).collect();
    bounds.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut least: Option<f64> = None;
    for (bound, lost) in bounds.into_iter().take(MAX_LOSSES) {
        if least.is_some_and(|v| bound >= v) {
            break;
        }
        let left = holders.iter().enumerate();
        let left = left.filter(|(i, _)| !lost.contains(i));
        let left: Vec<_> = left.map(|(_, h)| (h.layers, h.room)).collect();
        let limit = least.unwrap_or(f64::MAX);
        least = Some(limited_flow(engine.layers, &left, limit).value);
    }
    least.unwrap_or(0.0)
}

/// The most requests that a set of servers carries, and the first of the layers that limit it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flow {
    pub(super) value: f64,
    pub(super) bottleneck: u32,
}

/// A set of layers, by its last segment: the capacity of the servers that hold any of them.
#[derive(Clone, Copy, Debug, Default)]
struct LayerSet {
    capacity: f64,
    layers: f64,
    first: usize,
}

/// Returns the largest number of requests of which every layer can be run by its holders; each
/// holder is given by its range and its capacity in requests times layers.
///
/// It is the least ratio, over all sets of layers, of the capacity of the servers that hold any of
/// them to the size of the set. Each server holds a range, so the set with the least capacity for a
/// given ratio is found by dynamic programming over the last layer of the set; the ratio is improved
/// until no set is below it.
pub(super) fn max_flow(layers: u32, holders: &[(Layers, f64)]) -> Flow {
    limited_flow(layers, holders, f64::MAX)
}

/// Returns the maximum flow, or `limit` if that is less.
fn limited_flow(layers: u32, holders: &[(Layers, f64)], limit: f64) -> Flow {
    let ends = holders.iter().flat_map(|(l, _)| [l.first, l.end]);
    let mut starts: Vec<u32> = ends.chain([0, layers]).collect();
    starts.sort_unstable();
    starts.dedup();
    let segments = starts.len() - 1;
    if segments == 0 {
        return Flow::default();
    }
    let position = |boundary: u32| starts.binary_search(&boundary).unwrap_or(0);
    // The capacity of the servers that hold a segment and whose range starts at another one or later.
    let mut later = vec![0.0; segments * segments];
    // The first segment that a server holds together with a given one.
    let mut reach: Vec<usize> = (0..segments).collect();
    for &(range, capacity) in holders {
        let first = position(range.first);
        for segment in first..position(range.end) {
            later[first * segments + segment] += capacity;
            reach[segment] = reach[segment].min(first);
        }
    }
    for segment in 0..segments {
        for start in (reach[segment]..segment).rev() {
            later[start * segments + segment] += later[(start + 1) * segments + segment];
        }
    }
    let size = |segment: usize| f64::from(starts[segment + 1] - starts[segment]);
    let ratio = |set: &LayerSet| set.capacity / set.layers;
    let total: f64 = holders.iter().map(|(_, capacity)| capacity).sum();
    let mut least = LayerSet {
        capacity: total,
        layers: f64::from(layers),
        first: 0,
    };
    let mut sets = vec![LayerSet::default(); segments];
    // The best set up to each segment; it is all that counts of those that share no server.
    let mut prefixes = sets.clone();
    let mut value = ratio(&least).min(limit);
    loop {
        let mut best = least;
        let mut lowest = -FLOW_PRECISION * total;
        for segment in 0..segments {
            let mut set = LayerSet {
                capacity: later[reach[segment] * segments + segment],
                layers: size(segment),
                first: segment,
            };
            let mut excess = set.capacity - value * set.layers;
            let near = (reach[segment]..segment).map(|p| (p, sets[p]));
            let far = reach[segment].checked_sub(1).map(|p| (p, prefixes[p]));
            for (previous, before) in near.chain(far) {
                let capacity = before.capacity + later[(previous + 1) * segments + segment];
                let layers = before.layers + size(segment);
                if capacity - value * layers < excess {
                    excess = capacity - value * layers;
                    set = LayerSet {
                        capacity,
                        layers,
                        first: before.first,
                    };
                }
            }
            sets[segment] = set;
            let prefix = segment.checked_sub(1).map(|p| prefixes[p]);
            let is_lower = |p: &LayerSet| p.capacity - value * p.layers < excess;
            prefixes[segment] = prefix.filter(is_lower).unwrap_or(set);
            if excess < lowest {
                lowest = excess;
                best = set;
            }
        }
        if ratio(&best) >= value {
            return Flow {
                value,
                bottleneck: starts[least.first],
            };
        }
        least = best;
        value = ratio(&least);
    }
}
