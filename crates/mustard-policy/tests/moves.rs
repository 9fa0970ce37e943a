//! Moves of streams off an ended server, on deployments A and B of docs/design/load-control.md. Prefill at
//! servers is modelled; no network.

#![allow(clippy::unwrap_used)]

mod deployments;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::deployment::{Engine, PathPart, ServerKey};
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::pipeline::{
    LayerHolder, MovePlan, MovingStream, PrefillLoad, PrefillView, RequestDemand, SearchBudget,
    choose_path, domain_requests, move_order, plan_capacity, plan_move, replan_path,
};

use deployments::{ROWS_A, ROWS_B, Row, engine_a, engine_b, servers};

/// The streams on the ended server.
const STREAMS: usize = 100;
/// The time from the last event of a stream until its server's end is known, as measured on 09d725e.
const DETECTION_MS: f64 = 95.0;
const MAX_PAUSE_MS: f64 = 250.0;
/// The time within which the other holders have to be able to prefill all streams for the first bound.
const MAX_PREFILL_MS: f64 = 150.0;
const NOW: Moment = Moment::from_millis(60_000);

struct Deployment {
    name: &'static str,
    engine: Engine,
    rows: [Row; 3],
    gateways: usize,
}

fn deployments() -> [Deployment; 2] {
    [("A", engine_a(), ROWS_A, 32), ("B", engine_b(), ROWS_B, 11)].map(
        |(name, engine, rows, gateways)| Deployment {
            name,
            engine,
            rows,
            gateways,
        },
    )
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 8_080))
}

/// Returns the servers with the layers that the plan gives them.
fn place(deployment: &Deployment) -> Vec<LayerHolder> {
    let servers = servers(&deployment.rows, 1.0);
    let needed = domain_requests(6.0 * servers.len() as f64, 3);
    let orders = plan_capacity(&deployment.engine, &servers, needed, 256);
    let holders = orders.iter().map(|order| LayerHolder {
        server: ServerKey::from_index(order.index as u32),
        addr: addr(order.index),
        domain: servers[order.index].server.domain,
        layers: order.layers,
        step_factor: servers[order.index].server.step_factor,
        prompt_factor: servers[order.index].prompt_factor,
        memory_share: 0.0,
        takes_requests: true,
    });
    holders.collect()
}

/// A stream on the ended server.
struct Stream {
    gateway: usize,
    parts: Vec<PathPart>,
    demand: RequestDemand,
}

/// The index of a stream, and the parts that it continues over and that have to process all tokens.
type Moved = (usize, Vec<PathPart>);

struct Scene {
    deployment: Deployment,
    holders: Vec<LayerHolder>,
    ended: LayerHolder,
    streams: Vec<Stream>,
}

impl Scene {
    /// Sends streams until a server that is first for none of them has 100; it ends then.
    fn new(deployment: Deployment, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut holders = place(&deployment);
        let engine = &deployment.engine;
        let mut streams: Vec<Stream> = Vec::new();
        let mut later: Map<SocketAddr, usize> = Map::default();
        loop {
            let gateway = streams.len() % deployment.gateways;
            let sent = rng.random::<f64>();
            let mut demand = RequestDemand {
                prompt: engine.mean_prompt * rng.random_range(0.2..1.8),
                answer: engine.mean_answer,
                domain: gateway as u32 % 3,
            };
            let parts = choose_path(engine, &holders, &demand, &mut rng)
                .unwrap()
                .parts;
            for part in &parts {
                let holder = holders.iter_mut().find(|h| h.addr == part.addr).unwrap();
                let memory_mb = deployment.rows.iter().find(|r| r.2 == holder.prompt_factor);
                let layers_mb = f64::from(holder.layers.count()) * engine.layer_mb;
                let tokens = demand.prompt + demand.answer / 2.0;
                let used = tokens * f64::from(part.layers.count()) * engine.token_layer_mb();
                holder.memory_share += used / (memory_mb.unwrap().0 - layers_mb);
            }
            for part in &parts[1..] {
                *later.entry(part.addr).or_default() += 1;
            }
            let ended = parts[1..].iter().find(|p| later[&p.addr] == STREAMS);
            let ended = ended.map(|p| p.addr);
            demand.prompt += sent * demand.answer;
            demand.answer *= 1.0 - sent;
            streams.push(Stream {
                gateway,
                parts,
                demand,
            });
            if let Some(ended) = ended {
                let index = holders.iter().position(|h| h.addr == ended).unwrap();
                let ended = holders.remove(index);
                streams.retain(|s| s.parts[1..].iter().any(|p| p.addr == ended.addr));
                return Scene {
                    deployment,
                    holders,
                    ended,
                    streams,
                };
            }
        }
    }

    /// Adds holders of the lost layers until they can prefill all streams in time.
    fn add_spares(&mut self) {
        while self.fastest_ms() > MAX_PREFILL_MS {
            let index = 100 + self.holders.len();
            self.holders.push(LayerHolder {
                server: ServerKey::from_index(index as u32),
                addr: addr(index),
                ..self.ended.clone()
            });
        }
    }

    fn holder(&self, addr: SocketAddr) -> &LayerHolder {
        self.holders.iter().find(|h| h.addr == addr).unwrap()
    }

    /// Returns how long a server prefills a part: chunks of 512 tokens, with 4 steps of 100 streams after each
    /// but the last.
    fn prefill_ms(&self, part: &PathPart, tokens: f64) -> f64 {
        let engine = &self.deployment.engine;
        let holder = self.holder(part.addr);
        let share = |layers: u32| f64::from(layers) / f64::from(engine.layers);
        let step = engine.step_time.base_ms + engine.step_time.sequence_ms * STREAMS as f64;
        let step_ms = step * holder.step_factor * share(holder.layers.count());
        let chunks = (tokens / 512.0).ceil();
        tokens / engine.step_time.prompt_rate
            * 1e3
            * holder.prompt_factor
            * share(part.layers.count())
            + (chunks - 1.0) * 4.0 * step_ms
    }

    /// Returns the pauses of streams whose new parts are given, in ascending order. Each server prefills the
    /// parts one after another, in the order in which the parts before them are done.
    fn pauses(&self, moved: &[Moved]) -> Vec<f64> {
        let us = |ms: f64| (ms * 1e3) as u64;
        let starts = (0..moved.len()).map(|i| Reverse((0, 0, i)));
        let mut due: BinaryHeap<Reverse<(u64, usize, usize)>> = starts.collect();
        let mut free: Map<SocketAddr, u64> = Map::default();
        let mut pauses = Vec::new();
        while let Some(Reverse((at, next, index))) = due.pop() {
            let (stream, new_parts) = &moved[index];
            match new_parts.get(next) {
                Some(part) => {
                    let tokens = self.streams[*stream].demand.prompt;
                    let done = free.entry(part.addr).or_default();
                    *done = at.max(*done) + us(self.prefill_ms(part, tokens));
                    due.push(Reverse((*done, next + 1, index)));
                }
                None => pauses.push(DETECTION_MS + at as f64 / 1e3),
            }
        }
        pauses.sort_by(f64::total_cmp);
        pauses
    }

    /// Moves the streams as 09d725e did: each gateway gives streams with the same old path the same new one,
    /// which keeps the first part only.
    fn move_before(&self, rng: &mut ChaCha8Rng) -> Vec<Moved> {
        let mut known: Map<(usize, Vec<PathPart>), Vec<PathPart>> = Map::default();
        let engine = &self.deployment.engine;
        let moved = self.streams.iter().enumerate().map(|(i, s)| {
            let path = known.entry((s.gateway, s.parts.clone()));
            let path = path.or_insert_with(|| {
                let first = s.parts[0];
                let path = replan_path(engine, &self.holders, &s.demand, first, rng);
                path.unwrap().parts[1..].to_vec()
            });
            (i, path.clone())
        });
        moved.collect()
    }

    /// Moves the streams by prediction, the gateways in turns; each knows of its own orders alone.
    fn move_predicted(&self, rng: &mut ChaCha8Rng) -> Vec<Moved> {
        let mut order: Vec<usize> = (0..self.streams.len()).collect();
        let key = |i: &usize| move_order(Duration::ZERO, 0, self.streams[*i].demand.prompt);
        order.sort_by_key(key);
        let mut turns = vec![0; self.deployment.gateways];
        order.sort_by_cached_key(|i| {
            let turn = &mut turns[self.streams[*i].gateway];
            *turn += 1;
            *turn
        });
        let mut loads = vec![PrefillLoad::default(); self.deployment.gateways];
        let moved = order.into_iter().map(|i| {
            let s = &self.streams[i];
            let load = &mut loads[s.gateway];
            let on_path = |h: &&LayerHolder| s.parts.iter().any(|p| p.addr == h.addr);
            let running: Vec<LayerHolder> = self.holders.iter().filter(on_path).cloned().collect();
            let gateways = self.deployment.gateways as f64;
            let view = PrefillView {
                engine: &self.deployment.engine,
                holders: &self.holders,
                load,
                gateways,
                now: NOW,
            };
            let moving = MovingStream {
                parts: &s.parts,
                running: &running,
                demand: &s.demand,
                silent_ms: DETECTION_MS,
                may_restart: true,
            };
            let (predicted, kept) = match plan_move(&view, &moving, rng) {
                MovePlan::Repath(p) => (p, &s.parts[..]),
                MovePlan::Restart(p) => (p.unwrap(), &[][..]),
            };
            load.record(NOW, Fingerprint(i as u128), &predicted.work, gateways);
            let parts = predicted.path.parts.into_iter();
            (i, parts.filter(|p| !kept.contains(p)).collect())
        });
        moved.collect()
    }

    /// Returns the time in which a dispatcher that knows of all streams has the lost parts prefilled by single
    /// holders in the domain; infinite if no single server holds a lost part.
    fn fastest_ms(&self) -> f64 {
        let mut busy: Map<SocketAddr, f64> = Map::default();
        let done = self.streams.iter().map(|s| {
            let lost = s
                .parts
                .iter()
                .find(|p| p.addr == self.ended.addr)
                .unwrap()
                .layers;
            let domain = self.holder(s.parts[0].addr).domain;
            let holds = |h: &&LayerHolder| {
                h.domain == domain && h.layers.first <= lost.first && lost.end <= h.layers.end
            };
            let done = self.holders.iter().filter(holds).map(|h| {
                let part = PathPart {
                    server: h.server,
                    addr: h.addr,
                    layers: lost,
                };
                let waited = busy.get(&h.addr).copied().unwrap_or(0.0);
                (h.addr, waited + self.prefill_ms(&part, s.demand.prompt))
            });
            let Some((addr, done)) = done.min_by(|a, b| a.1.total_cmp(&b.1)) else {
                return f64::INFINITY;
            };
            busy.insert(addr, done);
            done
        });
        done.fold(0.0, f64::max)
    }
}

fn median(pauses: &[f64]) -> f64 {
    pauses[pauses.len() / 2]
}

/// Guards against moves that send all streams of an ended server to the same few servers, whose callers
/// then wait for the prefill of all of them. The bound is relative to the rule of 09d725e.
#[test]
fn plan_move_server_ended() {
    for seed in 0..8 {
        for deployment in deployments() {
            let scene = Scene::new(deployment, seed);
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let before = scene.pauses(&scene.move_before(&mut rng));
            let after = scene.pauses(&scene.move_predicted(&mut rng));
            println!(
                "{} {seed}: layers {}; median {:.0} ms, before {:.0} ms",
                scene.deployment.name,
                scene.ended.layers,
                median(&after),
                median(&before),
            );
            assert_eq!(after.len(), STREAMS);
            assert!(median(&after) <= median(&before) / 2.0);
        }
    }
}

/// Guards against a spread that leaves holders of the lost layers idle while streams wait at others.
#[test]
fn plan_move_enough_holders() {
    for seed in 0..8 {
        for deployment in deployments() {
            let mut scene = Scene::new(deployment, seed);
            scene.add_spares();
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let late = |pauses: &[f64]| pauses.iter().filter(|p| **p > MAX_PAUSE_MS).count();
            let before = late(&scene.pauses(&scene.move_before(&mut rng)));
            let after = late(&scene.pauses(&scene.move_predicted(&mut rng)));
            println!(
                "{} {seed}: {after} late, before {before}; fastest {:.0} ms",
                scene.deployment.name,
                scene.fastest_ms(),
            );
            assert!(after * 20 <= STREAMS, "{after} of {STREAMS} late");
        }
    }
}

/// Guards against searches that keep a gateway from sending orders and events.
#[test]
fn search_budget_share() {
    let mut budget = SearchBudget::default();
    let mut now = NOW;
    let mut searched = Duration::ZERO;
    while now < NOW + Duration::from_secs(1) {
        let pause = budget.pause(now);
        if pause.is_zero() {
            let began = now;
            now = now + Duration::from_millis(1);
            budget.record(began, now);
            searched += Duration::from_millis(1);
        } else {
            if searched == now.since(NOW) {
                assert!(
                    searched <= Duration::from_millis(5),
                    "{searched:?} at first"
                );
            }
            now = now + pause;
        }
    }
    assert!(
        searched <= Duration::from_millis(205),
        "{searched:?} of a second"
    );
    budget.record(now, now + Duration::from_secs(5));
    assert!(budget.pause(now + Duration::from_secs(5)) <= Duration::from_millis(30));
}

/// Guards against a stream that waits for a domain without a holder of the lost layers, and against work of an
/// order that no server accepted, which would keep later streams from those servers.
#[test]
fn plan_move_no_holder_left() {
    for deployment in deployments() {
        let mut scene = Scene::new(deployment, 0);
        let ended = scene.ended.clone();
        let holds_lost = |h: &LayerHolder| {
            h.layers.first < ended.layers.end && ended.layers.first < h.layers.end
        };
        scene
            .holders
            .retain(|h| h.domain != ended.domain || !holds_lost(h));
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        let moved = scene.move_predicted(&mut rng);
        let is_far = |p: &PathPart| scene.holder(p.addr).domain != ended.domain;
        let is_new = |parts: &[PathPart]| parts[0].layers.first == 0 && parts.iter().all(is_far);
        assert!(
            moved.iter().all(|(_, parts)| is_new(parts)),
            "a move crosses"
        );
        let mut load = PrefillLoad::default();
        load.record(NOW, Fingerprint(1), &[(ended.server, 5.0)], 11.0);
        load.record(NOW, Fingerprint(2), &[(ended.server, 3.0)], 11.0);
        load.cancel(Fingerprint(1));
        assert_eq!(
            load.wait_ms(NOW + Duration::from_millis(10), ended.server),
            23.0
        );
    }
}
