//! Cost and quality of choosing chains.

use std::fmt;
use std::hint::black_box;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use mustard_core::clock::Moment;
use mustard_core::ids::{Incarnation, Layers};
use mustard_policy::fleet::{Fleet, InFlight, Role, ServerInfo, ServerKey};
use mustard_policy::route::{Query, choose_plan};

use super::Cost;

/// Numbers of servers at which the cost is measured.
const FLEET_SIZES: [usize; 6] = [50, 100, 200, 400, 700, 1_000];
const GROUPS: usize = 5;
const LAYERS_PER_GROUP: u32 = 8;
const LAYERS: u32 = GROUPS as u32 * LAYERS_PER_GROUP;
const PROMPT_POSITIONS: u32 = 64;
const ANSWER_TOKENS: u32 = 64;
const QUALITY_SERVERS: usize = 200;
const NOW: Moment = Moment::from_millis(1_000);

/// How much longer chosen chains take than the best ones, by predicted time.
#[derive(Debug, Serialize)]
pub(crate) struct Quality {
    servers: usize,
    /// The mean ratio of a chosen chain's time to the best chain's.
    mean: f64,
    /// The largest such ratio.
    worst: f64,
    /// The mean ratio of a random chain's time to the best chain's.
    random_mean: f64,
}

impl fmt::Display for Quality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "chains of {} servers against the best: mean {:.3}, worst {:.3}; random: mean {:.2}",
            self.servers, self.mean, self.worst, self.random_mean
        )
    }
}

/// Creates servers in three failure domains, with random load and learned step times.
///
/// Links between domains are about a hundred times as slow as links inside one. The load lasts
/// until the returned guards are dropped.
pub(super) fn random_fleet(size: usize, rng: &mut ChaCha8Rng) -> (Fleet, Vec<InFlight>) {
    let mut fleet = Fleet::default();
    let mut guards = Vec::new();
    for i in 0..size {
        let first = (i % GROUPS) as u32 * LAYERS_PER_GROUP;
        let key = fleet.upsert(ServerInfo {
            vm: format!("vm-{i}"),
            addr: ([127, 0, 0, 1], i as u16).into(),
            domain: format!("domain-{}", i / GROUPS % 3),
            incarnation: Incarnation(1),
            role: Role::Stage {
                model: "captions".into(),
                layers: Layers::new(first, first + LAYERS_PER_GROUP),
                accelerator: "medium".into(),
            },
        });
        if let Some(server) = fleet.get(key) {
            guards.extend((0..rng.random_range(0..60)).map(|_| server.start_request()));
            let us = rng.random_range(1_000.0..6_000.0);
            (0..50).for_each(|_| server.stats().observe_step(NOW, us));
        }
    }
    let slots = |fleet: &Fleet| -> Vec<(usize, u16)> {
        let slot = |(k, s): (ServerKey, &mustard_policy::fleet::Server)| (k.index(), s.domain());
        fleet.iter().map(slot).collect()
    };
    let slots = slots(&fleet);
    for &(a, from) in &slots {
        for &(b, to) in &slots {
            let exponent = if from == to { 0.0 } else { 2.0 };
            let hop_us = 100.0 * 10_f32.powf(rng.random_range(0.0..0.3) + exponent);
            fleet.links().set(a, b, hop_us, hop_us / 200.0);
        }
    }
    (fleet, guards)
}

/// Measures the choice of a chain at each fleet size.
pub(crate) fn measure_costs(rounds: u32, rng: &mut ChaCha8Rng) -> Vec<Cost> {
    let cost = |size: usize| {
        let (fleet, _guards) = random_fleet(size, rng);
        let query = Query::new("captions", LAYERS, PROMPT_POSITIONS, ANSWER_TOKENS);
        let decide = |()| {
            let _ = black_box(choose_plan(&fleet, &query, NOW, rng));
        };
        Cost::measure("chain, by servers", size, rounds, |_| (), decide)
    };
    FLEET_SIZES.into_iter().map(cost).collect()
}

/// Compares chosen chains with the best ones and with random ones.
pub(crate) fn measure_quality(rounds: u32, rng: &mut ChaCha8Rng) -> Quality {
    let (mut ratio_sum, mut worst, mut random_sum, mut count) = (0.0, 0.0_f64, 0.0, 0.0);
    for _ in 0..rounds.min(200) {
        let (fleet, _guards) = random_fleet(QUALITY_SERVERS, rng);
        let query = Query::new("captions", LAYERS, PROMPT_POSITIONS, ANSWER_TOKENS);
        let Ok(plan) = choose_plan(&fleet, &query, NOW, rng) else {
            continue;
        };
        let chain: Vec<ServerKey> = plan.servers().collect();
        let best_us = best_chain_us(&fleet);
        let ratio = chain_us(&fleet, &chain) / best_us;
        let random_server =
            |g: &mustard_policy::fleet::Group| g.servers[rng.random_range(0..g.servers.len())];
        let random_chain: Vec<ServerKey> =
            fleet.groups("captions").iter().map(random_server).collect();
        ratio_sum += ratio;
        worst = worst.max(ratio);
        random_sum += chain_us(&fleet, &random_chain) / best_us;
        count += 1.0;
    }
    Quality {
        servers: QUALITY_SERVERS,
        mean: ratio_sum / count,
        worst,
        random_mean: random_sum / count,
    }
}

/// Predicts the time that a request takes at a server, including the delay that it causes to others.
fn server_us(fleet: &Fleet, key: ServerKey) -> f64 {
    let Some(server) = fleet.get(key) else {
        return f64::INFINITY;
    };
    let stats = server.stats();
    let work = stats.work(NOW);
    let others_us = stats.step_fit().1 * work;
    let step_us = stats.step_us(NOW, work + 1.0) + others_us;
    f64::from(stats.prefill_us() * PROMPT_POSITIONS as f32 + step_us * ANSWER_TOKENS as f32)
}

/// Predicts the time that a request spends on a link.
fn link_us(fleet: &Fleet, from: ServerKey, to: ServerKey) -> f64 {
    let (hop_us, position_us) = fleet.links().get(from.index(), to.index());
    f64::from(hop_us * ANSWER_TOKENS as f32 + position_us * PROMPT_POSITIONS as f32)
}

/// Predicts the time that a request takes over a chain.
fn chain_us(fleet: &Fleet, chain: &[ServerKey]) -> f64 {
    let servers_us: f64 = chain.iter().map(|k| server_us(fleet, *k)).sum();
    let links_us: f64 = chain.windows(2).map(|w| link_us(fleet, w[0], w[1])).sum();
    servers_us + links_us
}

/// Returns the shortest time of all chains, by dynamic programming over the groups without a limit
/// on the search.
fn best_chain_us(fleet: &Fleet) -> f64 {
    // The shortest time up to each server of the previous group.
    let mut previous: Vec<(ServerKey, f64)> = Vec::new();
    for group in fleet.groups("captions") {
        let shortest_to = |key: ServerKey| {
            let times = previous.iter().map(|(k, t)| t + link_us(fleet, *k, key));
            let so_far_us = times.reduce(f64::min).unwrap_or(0.0);
            (key, so_far_us + server_us(fleet, key))
        };
        previous = group.servers.iter().map(|k| shortest_to(*k)).collect();
    }
    previous
        .iter()
        .map(|(_, t)| *t)
        .fold(f64::INFINITY, f64::min)
}
