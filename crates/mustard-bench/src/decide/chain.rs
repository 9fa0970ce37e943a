//! Cost and quality of the choice of chains.

use std::fmt;
use std::hint::black_box;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use mustard_core::clock::Moment;
use mustard_core::ids::{Incarnation, Layers};
use mustard_policy::fleet::{Fleet, InFlight, Role, ServerInfo, ServerKey};
use mustard_policy::route::{Query, choose};

use super::Cost;

const SIZES: [usize; 6] = [50, 100, 200, 400, 700, 1_000];
const GROUPS: usize = 5;
const GROUP_LAYERS: u32 = 8;
const LAYERS: u32 = GROUPS as u32 * GROUP_LAYERS;
const PROMPT: u32 = 64;
const TOKENS: u32 = 64;
const QUALITY_SIZE: usize = 200;
const NOW: Moment = Moment::from_millis(1_000);

/// How much longer chosen chains take than the best ones.
#[derive(Debug, Serialize)]
pub(crate) struct Quality {
    servers: usize,
    /// Ratios of predicted times to the best chain's.
    mean: f64,
    worst: f64,
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

/// Draws servers in three failure domains, with work, learned times and links a hundredfold
/// apart.
pub(super) fn fleet(size: usize, rng: &mut ChaCha8Rng) -> (Fleet, Vec<InFlight>) {
    let mut fleet = Fleet::default();
    let mut guards = Vec::new();
    for i in 0..size {
        let first = (i % GROUPS) as u32 * GROUP_LAYERS;
        let key = fleet.upsert(ServerInfo {
            vm: format!("vm-{i}"),
            addr: ([127, 0, 0, 1], i as u16).into(),
            domain: format!("domain-{}", i / GROUPS % 3),
            incarnation: Incarnation(1),
            role: Role::Stage {
                model: "captions".into(),
                layers: Layers::new(first, first + GROUP_LAYERS),
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
            let far = if from == to { 0.0 } else { 2.0 };
            let hop = 100.0 * 10_f32.powf(rng.random_range(0.0..0.3) + far);
            fleet.links().set(a, b, hop, hop / 200.0);
        }
    }
    (fleet, guards)
}

/// Times the choice at each size.
pub(crate) fn costs(rounds: u32, rng: &mut ChaCha8Rng) -> Vec<Cost> {
    let cost = |size: usize| {
        let (fleet, _guards) = fleet(size, rng);
        let query = Query::new("captions", LAYERS, PROMPT, TOKENS);
        let decide = |()| {
            let _ = black_box(choose(&fleet, &query, NOW, rng));
        };
        Cost::time("chain, by servers", size, rounds, |_| (), decide)
    };
    SIZES.into_iter().map(cost).collect()
}

/// Compares chosen chains with the best and with random ones.
pub(crate) fn quality(rounds: u32, rng: &mut ChaCha8Rng) -> Quality {
    let (mut sum, mut worst, mut random, mut count) = (0.0, 0.0_f64, 0.0, 0.0);
    for _ in 0..rounds.min(200) {
        let (fleet, _guards) = fleet(QUALITY_SIZE, rng);
        let query = Query::new("captions", LAYERS, PROMPT, TOKENS);
        let Ok(plan) = choose(&fleet, &query, NOW, rng) else {
            continue;
        };
        let chain: Vec<ServerKey> = plan.servers().collect();
        let best = best(&fleet);
        let ratio = time(&fleet, &chain) / best;
        let pick =
            |g: &mustard_policy::fleet::Group| g.servers[rng.random_range(0..g.servers.len())];
        let any: Vec<ServerKey> = fleet.groups("captions").iter().map(pick).collect();
        sum += ratio;
        worst = worst.max(ratio);
        random += time(&fleet, &any) / best;
        count += 1.0;
    }
    Quality {
        servers: QUALITY_SIZE,
        mean: sum / count,
        worst,
        random_mean: random / count,
    }
}

/// Predicts the time that a request takes at a server, with the delay that it causes to others.
fn server_time(fleet: &Fleet, key: ServerKey) -> f64 {
    let Some(server) = fleet.get(key) else {
        return f64::INFINITY;
    };
    let stats = server.stats();
    let work = stats.work(NOW);
    let others = stats.step_line().1 * work;
    let step = stats.step_us(NOW, work + 1.0) + others;
    f64::from(stats.prefill_us() * PROMPT as f32 + step * TOKENS as f32)
}

fn link_time(fleet: &Fleet, from: ServerKey, to: ServerKey) -> f64 {
    let (hop, position) = fleet.links().get(from.index(), to.index());
    f64::from(hop * TOKENS as f32 + position * PROMPT as f32)
}

fn time(fleet: &Fleet, chain: &[ServerKey]) -> f64 {
    let servers: f64 = chain.iter().map(|k| server_time(fleet, *k)).sum();
    let links: f64 = chain.windows(2).map(|w| link_time(fleet, w[0], w[1])).sum();
    servers + links
}

/// Returns the least time over all chains, without a bound on the search.
fn best(fleet: &Fleet) -> f64 {
    let mut before: Vec<(ServerKey, f64)> = Vec::new();
    for group in fleet.groups("captions") {
        let reach = |key: ServerKey| {
            let link = before.iter().map(|(k, t)| t + link_time(fleet, *k, key));
            let so_far = link.reduce(f64::min).unwrap_or(0.0);
            (key, so_far + server_time(fleet, key))
        };
        before = group.servers.iter().map(|k| reach(*k)).collect();
    }
    before.iter().map(|(_, t)| *t).fold(f64::INFINITY, f64::min)
}
