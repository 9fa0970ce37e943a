//! Choice of a chain of stages.

use rand::Rng;

use mustard_core::clock::Moment;
use mustard_core::ids::Layers;

use super::beam::keep_best;
use super::errors::{Result, RouteError};
use super::plan::{Plan, PlanHop, Prefer, Query};
use crate::fleet::{Fleet, Server, ServerKey, State};

/// The weight of the delay that a request causes to others at the same server.
const OTHERS_WEIGHT: f32 = 1.0;
/// The random part of each server's cost, so that entry processes with the same view spread.
const JITTER: f32 = 0.1;
/// A chain whose own floor is above the wanted pace may slow down by this factor.
const STRETCH: f32 = 1.5;
/// The work by which a preferred server may exceed the mean of its group.
const AFFINITY_SLACK: f32 = 4.0;
/// The factor by which a preferred server may exceed the mean of its group.
const AFFINITY_FACTOR: f32 = 1.25;

/// Chooses the chain with the least predicted cost.
///
/// Suspect servers are used only where the layers can't be covered without them.
///
/// # Errors
///
/// Returns [`RouteError::NoServer`] if no chain holds every layer and [`RouteError::NoRoom`]
/// if the best chain exceeds the wanted pace.
pub fn choose(fleet: &Fleet, query: &Query, now: Moment, rng: &mut impl Rng) -> Result<Plan> {
    let mut search = |limit| Search::new(fleet, query, now, limit).run(rng);
    let plan = match search(State::Ready) {
        Ok(plan) => plan,
        Err(_) => search(State::Suspect)?,
    };
    let allowed = query.pace_us.max(plan.floor_us * STRETCH);
    if plan.token_us > allowed {
        let token_us = plan.token_us as u32;
        return Err(RouteError::NoRoom { token_us });
    }
    Ok(plan)
}

/// A server as the end of the best chain up to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Node {
    key: ServerKey,
    layers: Layers,
    pub(super) domain: u16,
    previous: Option<usize>,
    pub(super) cost: f32,
    times: Times,
}

/// Times of a chain, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    first: f32,
    token: f32,
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
    limit: State,
}

impl<'a> Search<'a> {
    fn new(fleet: &'a Fleet, query: &'a Query<'a>, now: Moment, limit: State) -> Self {
        Search {
            fleet,
            query,
            now,
            limit,
        }
    }

    fn run(&self, rng: &mut impl Rng) -> Result<Plan> {
        let mut nodes: Vec<Node> = Vec::with_capacity(self.fleet.len());
        let mut kept: Vec<usize> = Vec::new();
        let mut reached = 0;
        for group in self.fleet.groups(self.query.model) {
            let layers = group.layers;
            let starts = layers.first == 0;
            let before: Vec<usize> = kept
                .iter()
                .copied()
                .filter(|&i| nodes[i].layers.end == layers.first)
                .collect();
            if layers.is_empty() || layers.end > self.query.layers || (!starts && before.is_empty())
            {
                continue;
            }
            let begin = nodes.len();
            for &key in &group.servers {
                nodes.extend(self.node(key, layers, rng));
            }
            let (earlier, new) = nodes.split_at_mut(begin);
            self.link(earlier, &before, new);
            if nodes.len() > begin {
                reached = reached.max(layers.end);
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
            Some((i, _)) => Ok(self.preferred_or(trace(&nodes, i))),
            None => Err(RouteError::NoServer { layer: reached }),
        }
    }

    /// Predicts a server's own part of a chain.
    fn node(&self, key: ServerKey, layers: Layers, rng: &mut impl Rng) -> Option<Node> {
        let server = self.available(key)?;
        let (times, added) = self.server_times(server, self.query.prompt);
        let cost = self.cost(times) + added * self.query.tokens as f32;
        Some(Node {
            key,
            layers,
            domain: server.domain(),
            previous: None,
            cost: cost * (1.0 + JITTER * rng.random::<f32>()),
            times,
        })
    }

    /// Continues the best chain to each new node: the least sum of its cost and the link's.
    fn link(&self, earlier: &[Node], before: &[usize], new: &mut [Node]) {
        if before.is_empty() {
            self.link_entry(new);
            return;
        }
        let links = self.fleet.links();
        let prompt = self.query.prompt as f32;
        let steps = self.query.tokens as f32;
        let mut best = vec![(f32::INFINITY, 0); new.len()];
        for &i in before {
            let row = links.from(earlier[i].key.index());
            let so_far = earlier[i].cost;
            for (node, best) in new.iter().zip(&mut best) {
                let (hop, position) = row.to(node.key.index());
                let cost = so_far + hop * steps + position * prompt;
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

    fn link_entry(&self, new: &mut [Node]) {
        for node in new {
            let server = self.fleet.get(node.key);
            let link = server.map_or(Times::default(), |s| self.entry_times(s));
            node.cost += self.cost(link);
            node.times = link.plus(node.times);
        }
    }

    fn available(&self, key: ServerKey) -> Option<&'a Server> {
        let server = self.fleet.get(key)?;
        let live = server.live();
        let usable = match live.state() {
            State::Ready => true,
            State::Suspect => self.limit == State::Suspect,
            State::Leaving | State::Dead => false,
        };
        let usable = usable && !self.query.exclude.contains(&key) && !live.is_full(self.now);
        usable.then_some(server)
    }

    /// Predicts the times at a server, and the delay per token that others get by this request.
    fn server_times(&self, server: &Server, prompt: u32) -> (Times, f32) {
        let live = server.live();
        let work = live.work(self.now) / live.weight();
        let slope = live.step_line().1;
        let step = live.step_us(self.now, work + 1.0);
        let times = Times {
            first: live.prefill_us() * prompt as f32 + step,
            token: step,
            floor: live.floor_us(),
        };
        (times, OTHERS_WEIGHT * slope * work)
    }

    fn entry_times(&self, server: &Server) -> Times {
        let us = server.live().entry_us();
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

    fn cost(&self, times: Times) -> f32 {
        let later = self.query.tokens.saturating_sub(1) as f32;
        times.first + times.token * later
    }

    /// Returns the preferred chain if it is predicted to be better and within its bound.
    fn preferred_or(&self, best: Plan) -> Plan {
        let preferred = self.query.prefer.and_then(|p| self.preferred(p));
        let time = |plan: &Plan| {
            let later = self.query.tokens.saturating_sub(1) as f32;
            plan.first_us + plan.token_us * later
        };
        match preferred {
            Some(plan) if time(&plan) < time(&best) => plan,
            _ => best,
        }
    }

    fn preferred(&self, prefer: Prefer) -> Option<Plan> {
        let prompt = self.query.prompt.saturating_sub(prefer.cached);
        let mut times = Times::default();
        let mut hops: Vec<PlanHop> = Vec::with_capacity(prefer.chain.len());
        for &key in prefer.chain {
            let server = self.available(key)?;
            let end = hops.last().map_or(0, |hop| hop.layers.end);
            let groups = self.fleet.groups(self.query.model);
            let group = groups
                .iter()
                .find(|g| g.layers.first == end && g.servers.contains(&key))?;
            if !self.is_balanced(server, &group.servers) {
                return None;
            }
            let link = match hops.last() {
                Some(hop) => self.link_times(hop.server, key),
                None => self.entry_times(server),
            };
            times = times.plus(link).plus(self.server_times(server, prompt).0);
            let layers = group.layers;
            hops.push(PlanHop {
                server: key,
                layers,
            });
        }
        let whole = hops.last()?.layers.end == self.query.layers;
        whole.then(|| plan(hops, times))
    }

    fn is_balanced(&self, server: &Server, group: &[ServerKey]) -> bool {
        let work = |s: &Server| s.live().work(self.now);
        let servers = || group.iter().filter_map(|&key| self.fleet.get(key));
        let total: f32 = servers().map(work).sum();
        let mean = total / servers().count().max(1) as f32;
        work(server) <= mean * AFFINITY_FACTOR + AFFINITY_SLACK
    }
}

fn trace(nodes: &[Node], last: usize) -> Plan {
    let mut hops = Vec::new();
    let mut next = Some(last);
    while let Some(i) = next {
        hops.push(PlanHop {
            server: nodes[i].key,
            layers: nodes[i].layers,
        });
        next = nodes[i].previous;
    }
    hops.reverse();
    plan(hops, nodes[last].times)
}

fn plan(hops: Vec<PlanHop>, times: Times) -> Plan {
    Plan {
        hops,
        first_us: times.first,
        token_us: times.token,
        floor_us: times.floor,
    }
}
