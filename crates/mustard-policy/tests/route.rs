//! The choice of chains, compared with an exhaustive search.

#![allow(clippy::unwrap_used)]

use bolero::check;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::ids::{Incarnation, Layers};
use mustard_policy::fleet::{Fleet, Role, ServerInfo, ServerKey, State};
use mustard_policy::route::{Affinity, CachedChain, Plan, Query, RouteError, choose_plan};

const LAYERS: u32 = 6;
const PROMPT: u32 = 10;
const TOKENS: u32 = 20;
/// The factor by which a chosen chain may be slower than the best one, because costs have a random
/// part.
const MAX_RATIO: f32 = 1.1;

/// Adds the server `vm-i` in one of three failure domains.
fn add_server(fleet: &mut Fleet, i: usize, layers: Layers) -> ServerKey {
    fleet.upsert(ServerInfo {
        vm: format!("vm-{i}"),
        addr: ([127, 0, 0, 1], i as u16).into(),
        domain: format!("d{}", i % 3),
        incarnation: Incarnation(1),
        role: Role::Stage {
            model: "m".into(),
            layers,
            accelerator: "a".into(),
        },
    })
}

/// Returns random servers with overlapping ranges, and links whose costs differ up to a
/// hundredfold.
fn random_fleet(rng: &mut ChaCha8Rng) -> (Fleet, Vec<ServerKey>) {
    let mut fleet = Fleet::default();
    let mut keys = Vec::new();
    for i in 0..rng.random_range(1..12) {
        let first = rng.random_range(0..LAYERS);
        let end = rng.random_range(first + 1..=LAYERS);
        keys.push(add_server(&mut fleet, i, Layers::new(first, end)));
    }
    for &a in &keys {
        let stats = fleet.get(a).unwrap().stats();
        for _ in 0..20 {
            stats.observe_step(Moment(0), rng.random_range(500.0..5_000.0));
        }
        stats.set_state(
            [State::Ready, State::Ready, State::Suspect, State::Leaving][rng.random_range(0..4)],
        );
        for &b in &keys {
            let hop = 100.0 * 10_f32.powf(rng.random_range(0.0..2.0));
            fleet.links().set(a.index(), b.index(), hop, hop / 100.0);
        }
    }
    (fleet, keys)
}

/// Calls `f` with every whole chain that begins with `chain` and uses only servers in the allowed
/// states.
fn visit_chains(
    fleet: &Fleet,
    allowed: &[State],
    chain: &mut Vec<ServerKey>,
    f: &mut impl FnMut(&[ServerKey]),
) {
    let end = chain.last().map_or(0, |k| layers_of(fleet, *k).end);
    if end == LAYERS {
        f(chain);
        return;
    }
    for (key, server) in fleet.iter() {
        if layers_of(fleet, key).first == end && allowed.contains(&server.stats().state()) {
            chain.push(key);
            visit_chains(fleet, allowed, chain, f);
            chain.pop();
        }
    }
}

fn layers_of(fleet: &Fleet, key: ServerKey) -> Layers {
    match fleet.get(key).unwrap().info().role {
        Role::Stage { layers, .. } => layers,
        _ => Layers::default(),
    }
}

/// Predicts the time of a whole request on a chain without other requests, in microseconds.
fn chain_time(fleet: &Fleet, chain: &[ServerKey]) -> f32 {
    let tokens = TOKENS as f32;
    let mut us = fleet.get(chain[0]).unwrap().stats().round_trip_us() * tokens;
    for key in chain {
        let stats = fleet.get(*key).unwrap().stats();
        us += stats.prefill_us() * PROMPT as f32 + stats.step_us(Moment(0), 1.0) * tokens;
    }
    for w in chain.windows(2) {
        let (hop, position) = fleet.links().get(w[0].index(), w[1].index());
        us += hop * tokens + position * PROMPT as f32;
    }
    us
}

/// Returns the time of the fastest chain; `None` if there is no chain.
fn best_time(fleet: &Fleet, allowed: &[State]) -> Option<f32> {
    let mut best: Option<f32> = None;
    visit_chains(fleet, allowed, &mut Vec::new(), &mut |chain| {
        let us = chain_time(fleet, chain);
        best = Some(best.map_or(us, |b| b.min(us)));
    });
    best
}

fn keys(plan: &Plan) -> Vec<ServerKey> {
    plan.servers().collect()
}

#[test]
fn choose_against_exhaustive_search() {
    check!()
        .with_iterations(1_000)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let (fleet, _) = random_fleet(&mut rng);
            let query = Query::new("m", LAYERS, PROMPT, TOKENS);
            let ready = best_time(&fleet, &[State::Ready]);
            let any = ready.or_else(|| best_time(&fleet, &[State::Ready, State::Suspect]));
            match (choose_plan(&fleet, &query, Moment(0), &mut rng), any) {
                (Ok(plan), Some(best)) => {
                    let chain = keys(&plan);
                    assert_eq!(plan.stages[0].layers.first, 0);
                    assert_eq!(plan.stages.last().unwrap().layers.end, LAYERS);
                    assert!(
                        plan.stages
                            .windows(2)
                            .all(|w| w[0].layers.end == w[1].layers.first)
                    );
                    let chain_us = chain_time(&fleet, &chain);
                    assert!(
                        chain_us <= best * MAX_RATIO,
                        "{chain_us} us, the best chain takes {best} us"
                    );
                    let plan_us = plan.first_us + plan.token_us * (TOKENS - 1) as f32;
                    assert!(
                        (plan_us - chain_us).abs() <= chain_us * 0.01,
                        "{plan_us} us instead of {chain_us} us"
                    );
                }
                (Err(RouteError::NoServer { .. }), None) => {}
                (got, expected) => panic!("{got:?}, exhaustive search found {expected:?}"),
            }
        });
}

#[test]
fn choose_same_seed_same_chain() {
    check!()
        .with_iterations(100)
        .with_type::<u64>()
        .for_each(|seed| {
            let (fleet, _) = random_fleet(&mut ChaCha8Rng::seed_from_u64(*seed));
            let query = Query::new("m", LAYERS, PROMPT, TOKENS);
            let run = || {
                choose_plan(
                    &fleet,
                    &query,
                    Moment(0),
                    &mut ChaCha8Rng::seed_from_u64(*seed),
                )
            };
            assert_eq!(run(), run());
        });
}

/// Equal servers get about equal work, because each choice counts the requests in flight.
#[test]
fn choose_spreads_work() {
    let mut fleet = Fleet::default();
    let servers: Vec<_> = (0..20)
        .map(|i| add_server(&mut fleet, i, Layers::new(0, LAYERS)))
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let query = Query::new("m", LAYERS, PROMPT, TOKENS);
    let mut guards = Vec::new();
    for _ in 0..200 {
        let plan = choose_plan(&fleet, &query, Moment(0), &mut rng).unwrap();
        guards.extend(plan.start_request(&fleet));
    }
    let in_flight = |k: &ServerKey| fleet.get(*k).unwrap().stats().in_flight();
    let (least, most) = (
        servers.iter().map(in_flight).min(),
        servers.iter().map(in_flight).max(),
    );
    assert!(
        least.unwrap() >= 5 && most.unwrap() <= 16,
        "{least:?} to {most:?}"
    );
    drop(guards);
    assert!(servers.iter().all(|k| in_flight(k) == 0));
}

/// Requests go to the server that has their prefix cached until it has much more work than others.
#[test]
fn choose_prefers_within_bound() {
    let mut fleet = Fleet::default();
    let servers: Vec<_> = (0..10)
        .map(|i| add_server(&mut fleet, i, Layers::new(0, LAYERS)))
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let prompt: Vec<u32> = (0..640).collect();
    let mut affinity = Affinity::new(64);
    affinity.insert("m", &prompt, &servers[3..4]);
    assert!(affinity.find("other", &prompt).is_none());
    let cached: CachedChain = affinity.find("m", &prompt).unwrap();
    assert_eq!(cached.positions, 640);
    let query = Query::new("m", LAYERS, 650, 4).prefer(Some(cached));
    let mut guards = Vec::new();
    for i in 0..100 {
        let plan = choose_plan(&fleet, &query, Moment(0), &mut rng).unwrap();
        assert!(i > 0 || keys(&plan) == servers[3..4]);
        guards.extend(plan.start_request(&fleet));
    }
    let in_flight = fleet.get(servers[3]).unwrap().stats().in_flight();
    assert!((10..=18).contains(&in_flight), "{in_flight}");
}
