//! Choice of the chain of stages with the least predicted cost.

use rand::Rng;

use mustard_core::clock::Moment;
use mustard_core::ids::Layers;

use super::beam::keep_best;
use super::errors::{Result, RouteError};
use super::plan::{CachedChain, Plan, PlanStage, Query};
use crate::fleet::{Fleet, Server, ServerKey, State};

/// The weight of the delay that the request causes to other requests at the same server.
const OTHERS_WEIGHT: f32 = 1.0;
/// The largest random surcharge on a server's cost, as a share of it; it keeps entry processes
/// with the same view from choosing the same servers.
const JITTER: f32 = 0.1;
/// The factor over its time per token without other requests up to which any chain may slow down,
/// even if that exceeds the longest time per token that the query allows.
const MAX_SLOWDOWN: f32 = 1.5;
/// The requests in flight that a server with a cached prefix may have beyond the mean of its group
/// times [`AFFINITY_FACTOR`].
const AFFINITY_SLACK: f32 = 4.0;
/// The factor by which the requests in flight at a server with a cached prefix may exceed the mean
/// of its group.
const AFFINITY_FACTOR: f32 = 1.25;

/// Chooses the chain with the least predicted cost.
///
/// Suspect servers are used only if ready servers don't hold every layer.
///
/// # Errors
///
/// Returns [`RouteError::NoServer`] if no chain holds every layer and [`RouteError::TooSlow`]
/// if the best chain takes longer per token than the query allows.
pub fn choose_plan(fleet: &Fleet, query: &Query, now: Moment, rng: &mut impl Rng) -> Result<Plan> {
    let mut search = |worst_state| Search::new(fleet, query, now, worst_state).run(rng);
    let plan = match search(State::Ready) {
        Ok(plan) => plan,
        Err(_) => search(State::Suspect)?,
    };
    let allowed_us = query.max_token_us.max(plan.floor_us * MAX_SLOWDOWN);
    if plan.token_us > allowed_us {
        let token_us = plan.token_us as u32;
        return Err(RouteError::TooSlow { token_us });
    }
    Ok(plan)
}

/// A server with the cheapest chain that ends at it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Node {
    key: ServerKey,
    layers: Layers,
    pub(super) domain: u16,
    /// The index of the node before this one in the chain; `None` at the first server.
    previous: Option<usize>,
    pub(super) cost: f32,
    times: Times,
}

/// Predicted times of a chain or of a part of it, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    /// The time to the first token.
    first: f32,
    /// The time per further token.
    token: f32,
    /// The time per token if the servers had no other requests.
    floor: f32,
}

impl Times {
    fn plus(self, other: Times) -> Times {
        Times {
            first: self.first + other.first,
            token: self.token + other.token,
            floor: self.floor + other.floor,
        }
    }
}

struct Search<'a> {
    fleet: &'a Fleet,
    query: &'a Query<'a>,
    now: Moment,
    /// The worst state of a server that may be used: ready or suspect.
    worst_state: State,
}

impl<'a> Search<'a> {
    fn new(fleet: &'a Fleet, query: &'a Query<'a>, now: Moment, worst_state: State) -> Self {
        Search {
            fleet,
            query,
            now,
            worst_state,
        }
    }

    fn run(&self, rng: &mut impl Rng) -> Result<Plan> {
        let mut nodes: Vec<Node> = Vec::with_capacity(self.fleet.len());
        let mut kept: Vec<usize> = Vec::new();
        let mut reached_layer = 0;
        for group in self.fleet.groups(self.query.model) {
            let layers = group.layers;
            let is_first = layers.first == 0;
            let predecessors: Vec<usize> = kept
                .iter()
                .copied()
                .filter(|&i| nodes[i].layers.end == layers.first)
                .collect();
            if layers.is_empty()
                || layers.end > self.query.layers
                || (!is_first && predecessors.is_empty())
            {
                continue;
            }
            let begin = nodes.len();
            for &key in &group.servers {
                nodes.extend(self.predict_node(key, layers, rng));
            }
            let (earlier, new) = nodes.split_at_mut(begin);
            self.link_group(earlier, &predecessors, new);
            if nodes.len() > begin {
                reached_layer = reached_layer.max(layers.end);
            }
            if layers.end < self.query.layers {
                keep_best(&nodes, begin, &mut kept);
            }
        }
        let best = nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| n.layers.end == self.query.layers)
            .min_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost));
        match best {
            Some((i, _)) => Ok(self.choose_cached(trace_chain(&nodes, i))),
            None => Err(RouteError::NoServer {
                layer: reached_layer,
            }),
        }
    }

    /// Predicts what a server adds to a chain, links not included.
    fn predict_node(&self, key: ServerKey, layers: Layers, rng: &mut impl Rng) -> Option<Node> {
        let server = self.available(key)?;
        let (times, others_us) = self.server_times(server, self.query.prompt);
        let cost = self.cost(times) + others_us * self.query.tokens as f32;
        Some(Node {
            key,
            layers,
            domain: server.domain(),
            previous: None,
            cost: cost * (1.0 + JITTER * rng.random::<f32>()),
            times,
        })
    }

    /// Appends each new node to the earlier chain for which chain and link cost the least.
    fn link_group(&self, earlier: &[Node], predecessors: &[usize], new: &mut [Node]) {
        if predecessors.is_empty() {
            self.link_first(new);
            return;
        }
        let links = self.fleet.links();
        let prompt = self.query.prompt as f32;
        let steps = self.query.tokens as f32;
        let mut best = vec![(f32::INFINITY, 0); new.len()];
        for &i in predecessors {
            let row = links.row(earlier[i].key.index());
            let chain_cost = earlier[i].cost;
            for (node, best) in new.iter().zip(&mut best) {
                let (hop, position) = row.to(node.key.index());
                let cost = chain_cost + hop * steps + position * prompt;
                if cost < best.0 {
                    *best = (cost, i);
                }
            }
        }
        for (node, (cost, i)) in new.iter_mut().zip(best) {
            let link = self.link_times(earlier[i].key, node.key);
            node.previous = Some(i);
            node.cost += cost;
            node.times = earlier[i].times.plus(link).plus(node.times);
        }
    }

    /// Adds the round trip from this process to the first servers of a chain.
    fn link_first(&self, new: &mut [Node]) {
        for node in new {
            let server = self.fleet.get(node.key);
            let link = server.map_or(Times::default(), |s| self.round_trip_times(s));
            node.cost += self.cost(link);
            node.times = link.plus(node.times);
        }
    }

    /// Returns a server if its state, the query and its memory allow new work there.
    fn available(&self, key: ServerKey) -> Option<&'a Server> {
        let server = self.fleet.get(key)?;
        let stats = server.stats();
        let usable = match stats.state() {
            State::Ready => true,
            State::Suspect => self.worst_state == State::Suspect,
            State::Leaving | State::Dead => false,
        };
        let usable = usable && !self.query.exclude.contains(&key) && !stats.is_full(self.now);
        usable.then_some(server)
    }

    /// Predicts the times at a server, and the delay per token that the request causes in total to
    /// the other requests there.
    fn server_times(&self, server: &Server, prompt: u32) -> (Times, f32) {
        let stats = server.stats();
        let work = stats.work(self.now) / stats.weight();
        let slope = stats.step_fit().1;
        let step = stats.step_us(self.now, work + 1.0);
        let times = Times {
            first: stats.prefill_us() * prompt as f32 + step,
            token: step,
            floor: stats.floor_us(),
        };
        (times, OTHERS_WEIGHT * slope * work)
    }

    fn round_trip_times(&self, server: &Server) -> Times {
        let us = server.stats().round_trip_us();
        Times {
            first: us,
            token: us,
            floor: us,
        }
    }

    fn link_times(&self, from: ServerKey, to: ServerKey) -> Times {
        let (hop, position) = self.fleet.links().get(from.index(), to.index());
        Times {
            first: hop + position * self.query.prompt as f32,
            token: hop,
            floor: hop,
        }
    }

    /// Returns the time from the start to the last token, in microseconds.
    fn cost(&self, times: Times) -> f32 {
        let later = self.query.tokens.saturating_sub(1) as f32;
        times.first + times.token * later
    }

    /// Returns the chain with a cached prefix if it is usable and predicted to be faster, or else
    /// `best`.
    fn choose_cached(&self, best: Plan) -> Plan {
        let cached = self.query.cached.and_then(|c| self.plan_cached(c));
        let time = |plan: &Plan| {
            let later = self.query.tokens.saturating_sub(1) as f32;
            plan.first_us + plan.token_us * later
        };
        match cached {
            Some(plan) if time(&plan) < time(&best) => plan,
            _ => best,
        }
    }

    /// Predicts a chain with a cached prefix; `None` if it isn't usable or has too much work.
    fn plan_cached(&self, cached: CachedChain) -> Option<Plan> {
        let prompt = self.query.prompt.saturating_sub(cached.positions);
        let mut times = Times::default();
        let mut stages: Vec<PlanStage> = Vec::with_capacity(cached.servers.len());
        for &key in cached.servers {
            let server = self.available(key)?;
            let end = stages.last().map_or(0, |stage| stage.layers.end);
            let groups = self.fleet.groups(self.query.model);
            let group = groups
                .iter()
                .find(|g| g.layers.first == end && g.servers.contains(&key))?;
            if !self.is_balanced(server, &group.servers) {
                return None;
            }
            let link = match stages.last() {
                Some(stage) => self.link_times(stage.server, key),
                None => self.round_trip_times(server),
            };
            times = times.plus(link).plus(self.server_times(server, prompt).0);
            let layers = group.layers;
            stages.push(PlanStage {
                server: key,
                layers,
            });
        }
        let is_whole = stages.last()?.layers.end == self.query.layers;
        is_whole.then(|| build_plan(stages, times))
    }

    /// Returns whether a server has little enough work, compared with its group, to be preferred.
    fn is_balanced(&self, server: &Server, group: &[ServerKey]) -> bool {
        let work = |s: &Server| s.stats().work(self.now);
        let servers = || group.iter().filter_map(|&key| self.fleet.get(key));
        let total: f32 = servers().map(work).sum();
        let mean = total / servers().count().max(1) as f32;
        work(server) <= mean * AFFINITY_FACTOR + AFFINITY_SLACK
    }
}

/// Returns the chain that ends at the node `last`.
fn trace_chain(nodes: &[Node], last: usize) -> Plan {
    let mut stages = Vec::new();
    let mut next = Some(last);
    while let Some(i) = next {
        stages.push(PlanStage {
            server: nodes[i].key,
            layers: nodes[i].layers,
        });
        next = nodes[i].previous;
    }
    stages.reverse();
    build_plan(stages, nodes[last].times)
}

fn build_plan(stages: Vec<PlanStage>, times: Times) -> Plan {
    Plan {
        stages,
        first_us: times.first,
        token_us: times.token,
        floor_us: times.floor,
    }
}
