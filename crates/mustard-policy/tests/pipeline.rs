//! Choice of paths and placement of layers on servers that hold overlapping ranges.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bolero::check;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::deployment::{Accelerator, Engine, PathPart, ServerKey, StepTime};
use mustard_core::ids::Layers;
use mustard_policy::pipeline::{
    LayerHolder, Path, PlacementServer, PlacementSettings, RequestDemand, choose_path,
    layers_memory_share, plan_placement, replan_path,
};

const LAYERS: u32 = 80;
const DEMAND: RequestDemand = RequestDemand {
    prompt: 760.0,
    answer: 154.0,
    domain: 0,
};

fn engine() -> Engine {
    let accelerator = |name: &str, memory_mb, step_factor, prompt_factor| Accelerator {
        name: name.to_owned(),
        memory_mb,
        step_factor,
        prompt_factor,
    };
    Engine {
        layers: LAYERS,
        layer_mb: 1_750.0,
        kv_token_bytes: 459_000.0,
        step_time: StepTime {
            base_ms: 0.85,
            sequence_ms: 0.003,
            prompt_rate: 252_000.0,
        },
        slots: 192,
        activation_bytes: 22_900.0,
        pipe_mbps: 7_900.0,
        load_time: Duration::from_secs(14),
        parallel_loads: 6,
        mean_prompt: 772.0,
        mean_answer: 154.0,
        accelerators: vec![
            accelerator("large", 36_000.0, 3.1, 3.2),
            accelerator("middle", 21_600.0, 16.0, 8.2),
            accelerator("small", 14_400.0, 15.0, 15.0),
        ],
    }
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 8_080))
}

fn holder(i: usize, domain: u32, first: u32, end: u32) -> LayerHolder {
    LayerHolder {
        server: ServerKey::from_index(i as u32),
        addr: addr(i),
        domain,
        layers: Layers::new(first, end),
        step_factor: 10.0,
        prompt_factor: 8.0,
        takes_requests: true,
        memory_share: 0.0,
    }
}

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Asserts that the parts run each layer once, in order, on servers that hold it.
fn assert_whole(parts: &[PathPart], holders: &[LayerHolder]) {
    let mut next = 0;
    let mut seen = Vec::new();
    for part in parts {
        assert_eq!(part.layers.first, next, "layers are run once and in order");
        let holder = holders.iter().find(|h| h.addr == part.addr).unwrap();
        assert!(holder.layers.first <= part.layers.first);
        assert!(part.layers.end <= holder.layers.end);
        assert!(!seen.contains(&part.addr), "no server appears twice");
        seen.push(part.addr);
        next = part.layers.end;
    }
    assert_eq!(next, LAYERS);
}

#[test]
fn choose_path_covers_once() {
    check!()
        .with_iterations(3_000)
        .with_type::<u64>()
        .for_each(|&seed| {
            let mut rng = rng(seed);
            let count = rng.random_range(1..30);
            let holders: Vec<LayerHolder> = (0..count)
                .map(|i| {
                    let first = rng.random_range(0..LAYERS);
                    let end = rng.random_range(first + 1..=LAYERS);
                    holder(i, rng.random_range(0..3), first, end)
                })
                .collect();
            let held = |l: u32| {
                holders
                    .iter()
                    .any(|h| h.layers.first <= l && l < h.layers.end)
            };
            match choose_path(&engine(), &holders, &DEMAND, &mut rng) {
                Some(path) => assert_whole(&path.parts, &holders),
                None => assert!((0..LAYERS).any(|l| !held(l)), "every layer is held"),
            }
        });
}

/// A layer of one failure domain has lost its last holder. Requests then run in a domain that
/// holds every layer, and if there is none, change their domain only once.
#[test]
fn choose_path_broken_domain() {
    let mut holders = vec![
        holder(0, 0, 0, 40),
        holder(1, 0, 41, 80),
        holder(2, 1, 0, 30),
        holder(3, 1, 30, 80),
    ];
    let path = choose_path(&engine(), &holders, &DEMAND, &mut rng(1)).unwrap();
    assert_eq!(path.crossings, 0);
    assert_eq!(path.parts[0].addr, addr(2));
    holders.remove(3);
    holders.push(holder(4, 1, 35, 80));
    let path = choose_path(&engine(), &holders, &DEMAND, &mut rng(1)).unwrap();
    assert_whole(&path.parts, &holders);
    assert_eq!(path.crossings, 1);
}

#[test]
fn choose_path_full_server() {
    let mut holders = vec![holder(0, 0, 0, 80), holder(1, 0, 0, 80)];
    holders[0].memory_share = 0.95;
    for seed in 0..20 {
        let path = choose_path(&engine(), &holders, &DEMAND, &mut rng(seed)).unwrap();
        assert_eq!(path.parts[0].addr, addr(1));
    }
}

#[test]
fn choose_path_gap() {
    let holders = [holder(0, 0, 0, 40), holder(1, 0, 41, 80)];
    assert_eq!(choose_path(&engine(), &holders, &DEMAND, &mut rng(1)), None);
}

/// A stream whose later server dies keeps its first server and the layers that run there.
#[test]
fn replan_path_keeps_first() {
    let holders = [
        holder(0, 0, 0, 40),
        holder(2, 0, 30, 60),
        holder(3, 0, 50, 80),
    ];
    let first = PathPart {
        server: ServerKey::from_index(0),
        addr: addr(0),
        layers: Layers::new(0, 36),
    };
    let Path { parts, .. } = replan_path(&engine(), &holders, &DEMAND, first, &mut rng(1)).unwrap();
    assert_eq!(parts[0], first);
    assert_whole(&parts, &holders);
}

/// The servers by kind of accelerator: how many there are in each of three failure domains.
const SERVER_COUNTS: [(&str, [usize; 3]); 3] = [
    ("large", [3, 1, 1]),
    ("middle", [3, 5, 7]),
    ("small", [5, 8, 5]),
];

fn servers() -> Vec<PlacementServer> {
    let engine = engine();
    let mut servers = Vec::new();
    for (kind, counts) in SERVER_COUNTS {
        let accelerator = engine.accelerator(kind).unwrap();
        for (domain, count) in counts.into_iter().enumerate() {
            for _ in 0..count {
                servers.push(PlacementServer {
                    index: servers.len(),
                    domain: domain as u32,
                    memory_mb: accelerator.memory_mb,
                    step_factor: accelerator.step_factor,
                    held: None,
                    accepts_orders: true,
                    is_staying: true,
                });
            }
        }
    }
    servers
}

fn settings() -> PlacementSettings {
    PlacementSettings {
        layers_share: layers_memory_share(&engine(), 200.0, 3),
        max_orders: 256,
    }
}

/// Plans the next orders and applies them; returns how many there were.
fn apply_plan(servers: &mut [PlacementServer], settings: &PlacementSettings) -> usize {
    let orders = plan_placement(&engine(), servers, settings);
    for order in &orders {
        assert!(order.layers.end <= LAYERS);
        let memory = servers[order.index].memory_mb;
        assert!(
            f64::from(order.layers.count()) * engine().layer_mb <= memory,
            "more layers than fit in its memory"
        );
        servers[order.index].held = Some(order.layers);
    }
    orders.len()
}

/// Counts the layers without a holder, in one failure domain or in all.
fn count_gaps(servers: &[PlacementServer], domain: Option<u32>) -> u32 {
    let counts = |s: &&PlacementServer| s.is_staying && domain.is_none_or(|d| s.domain == d);
    let holds = |s: &PlacementServer, l| s.held.is_some_and(|h| h.first <= l && l < h.end);
    let held = |l| servers.iter().filter(counts).any(|s| holds(s, l));
    (0..LAYERS).filter(|&l| !held(l)).count() as u32
}

#[test]
fn plan_placement_empty() {
    let mut servers = servers();
    assert_eq!(apply_plan(&mut servers, &settings()), servers.len());
    for domain in 0..3 {
        assert_eq!(count_gaps(&servers, Some(domain)), 0, "domain {domain}");
    }
    assert_eq!(
        apply_plan(&mut servers, &settings()),
        0,
        "nothing moves once every domain is covered"
    );
}

/// Each server in turn is lost for good. After at most three orders its domain holds every layer
/// again.
#[test]
fn plan_placement_lost_server() {
    for lost in 0..servers().len() {
        let mut servers = servers();
        apply_plan(&mut servers, &settings());
        servers[lost].is_staying = false;
        servers[lost].accepts_orders = false;
        let orders = apply_plan(&mut servers, &settings());
        assert_eq!(
            count_gaps(&servers, Some(servers[lost].domain)),
            0,
            "server {lost}"
        );
        assert!(orders <= 3, "server {lost}: {orders} orders");
    }
}

/// A restarted server holds no layers. It fills the gap that it left, and nothing else moves.
#[test]
fn plan_placement_restarted_server() {
    let mut servers = servers();
    apply_plan(&mut servers, &settings());
    servers[7].held = None;
    let orders = plan_placement(&engine(), &servers, &settings());
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].index, 7);
}

/// Servers join, leave and restart at random. No plan takes a layer from its last holder.
#[test]
fn plan_placement_random_changes() {
    for seed in 0..200 {
        let mut rng = rng(seed);
        let mut servers = servers();
        apply_plan(&mut servers, &settings());
        for _ in 0..12 {
            let i = rng.random_range(0..servers.len());
            match rng.random_range(0..3) {
                0 => servers[i].is_staying = false,
                1 => servers[i].held = None,
                _ => {
                    servers[i] = PlacementServer {
                        is_staying: true,
                        held: None,
                        ..servers[i].clone()
                    }
                }
            }
            let before = count_gaps(&servers, None);
            apply_plan(&mut servers, &settings());
            assert!(count_gaps(&servers, None) <= before, "seed {seed}");
        }
    }
}

#[test]
fn layers_memory_share_load() {
    let engine = engine();
    let shares: Vec<f64> = [0.0, 100.0, 400.0, 4_000.0]
        .into_iter()
        .map(|r| layers_memory_share(&engine, r, 3))
        .collect();
    assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
    assert!(shares[0] < 1.0 && shares[3] >= 0.5, "{shares:?}");
}
