//! The load of servers as processes tell each other, simulated without network on the servers of deployments A
//! and B of `docs/design/load-control.md`.

#![allow(clippy::unwrap_used)]

mod deployments;

use std::f64::consts::TAU;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::deployment::{Engine, ServerKey};
use mustard_policy::pipeline::{
    LayerHolder, RequestDemand, choose_path, domain_requests, plan_capacity,
};
use mustard_policy::room::{RoomNeed, RoomWindow};
use mustard_policy::server_load::{
    Candidate, LoadReport, LoadTracker, OwnUse, RequestSchedule, is_assigned, reports_to_share,
};

use deployments::{ROWS_A, ROWS_B, engine_a, engine_b, servers};

/// The gateway's intervals, fan-out and messages.
const STEP_MS: u64 = 20;
const ASK_MS: u64 = 100;
const ROUND_MS: u64 = 500;
const FANOUT: usize = 2;
const MAX_REPORTS: usize = 48;
const DELAY_MS: u64 = 40;
/// How long a request holds its memory, and a server that refused gets no further request.
const HOLD_MS: u64 = 2_200;
const BACKOFF_MS: u64 = 150;
const START_MS: u64 = 6_000;
/// Two periods of the demand after the start.
const END_MS: u64 = START_MS + 26_000;
/// The memory in use at the peak of the demand.
const PEAK: f64 = 0.8;

/// How gateways estimate the memory in use.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The own use times the number of gateways, as on 09d725e.
    Scaled,
    Reports,
}

/// The name and gateways of each deployment.
const SITES: [(&str, usize); 2] = [("A", 32), ("B", 11)];

fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

/// A message on its way.
struct Message {
    arrives: u64,
    from: usize,
    to: usize,
    is_call: bool,
    /// Servers, their reports, and the age of each in units of 10 ms.
    reports: Vec<(usize, LoadReport, u64)>,
}

/// The servers of a path, with the memory that the request needs at each.
type Parts = Vec<(usize, f64)>;

struct Server {
    holder: LayerHolder,
    capacity: f64,
    used: f64,
    slow: f64,
    asked: u32,
}

struct Gateway {
    trackers: Vec<LoadTracker>,
    schedule: RequestSchedule,
    own: Vec<f64>,
    windows: Vec<RoomWindow>,
    blocked: Vec<u64>,
    is_cut: bool,
}

struct Simulation {
    engine: Engine,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    messages: Vec<Message>,
    now: u64,
    rng: ChaCha8Rng,
    sent: usize,
}

impl Simulation {
    fn new(site: usize, size: Option<(usize, usize)>, seed: u64) -> Self {
        let (_, gateways) = SITES[site];
        let (engine, rows) = [(engine_a(), ROWS_A), (engine_b(), ROWS_B)][site].clone();
        let (gateways, scale) = size.map_or((gateways, 1.0), |(g, s)| (g, s as f64 / 59.0));
        let mut placed = servers(&rows, scale);
        let needed = domain_requests(10.0 * placed.len() as f64, 3);
        for order in plan_capacity(&engine, &placed, needed, 256) {
            placed[order.index].server.held = Some(order.layers);
        }
        let servers: Vec<Server> = placed
            .iter()
            .map(|c| {
                let layers = c.server.held.unwrap();
                let room_mb = c.server.memory_mb - f64::from(layers.count()) * engine.layer_mb;
                Server {
                    holder: LayerHolder {
                        server: ServerKey::from_index(c.server.index as u32),
                        addr: ([10, 0, 0, c.server.index as u8], 80).into(),
                        domain: c.server.domain,
                        layers,
                        step_factor: c.server.step_factor,
                        prompt_factor: c.prompt_factor,
                        memory_share: 0.0,
                        takes_requests: true,
                    },
                    capacity: room_mb / engine.token_layer_mb(),
                    used: 0.0,
                    slow: 1.0,
                    asked: 0,
                }
            })
            .collect();
        let count = servers.len();
        let gateways = (0..gateways).map(|_| Gateway {
            trackers: vec![LoadTracker::new(at(0), 0.0); count],
            schedule: RequestSchedule::default(),
            own: vec![0.0; count],
            windows: vec![RoomWindow::default(); count],
            blocked: vec![0; count],
            is_cut: false,
        });
        Simulation {
            engine,
            servers,
            gateways: gateways.collect(),
            messages: Vec::new(),
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: 0,
        }
    }

    /// Lets gateways ask servers and exchange reports for one step.
    fn exchange(&mut self) {
        let now = at(self.now);
        let count = self.gateways.len();
        for g in 0..count {
            let mut is_news = false;
            let phase = self.now + g as u64 * 37 / 20 * 20;
            if phase.is_multiple_of(ASK_MS) {
                let gateway = &mut self.gateways[g];
                let others: Vec<u64> = (0..count as u64).filter(|o| *o != g as u64).collect();
                let known = gateway.trackers.iter().enumerate().map(|(i, t)| Candidate {
                    key: i,
                    known_at: t.known_at(),
                    is_assigned: is_assigned(i as u64 * 7_919, g as u64, &others),
                });
                for i in gateway
                    .schedule
                    .choose(now, known.collect(), count, &mut self.rng)
                {
                    let server = &mut self.servers[i];
                    server.asked += 1;
                    gateway.trackers[i].record_request(now);
                    let report = LoadReport::new(server.used / server.capacity, server.slow, now);
                    let knew = gateway.trackers[i]
                        .recent_report(now)
                        .is_some_and(LoadReport::is_slow);
                    gateway.trackers[i].record_report(report.unwrap());
                    is_news |= !knew && server.slow >= 2.0;
                }
            }
            if is_news {
                for to in (0..count)
                    .filter(|t| *t != g)
                    .choose_multiple(&mut self.rng, 8)
                {
                    self.send(g, to, true);
                }
            }
            if phase.is_multiple_of(ROUND_MS) {
                for to in (0..count)
                    .filter(|t| *t != g)
                    .choose_multiple(&mut self.rng, FANOUT)
                {
                    self.send(g, to, true);
                }
            }
        }
        let (due, later) = self.messages.drain(..).partition(|m| m.arrives <= self.now);
        self.messages = later;
        for m in due {
            for (i, report, age) in m.reports {
                let at = now - Duration::from_millis(age * 10);
                self.gateways[m.to].trackers[i].apply_report(now, LoadReport { at, ..report });
            }
            if m.is_call {
                self.send(m.to, m.from, false);
            }
        }
    }

    fn exchange_until(&mut self, end: u64) {
        while self.now < end {
            self.exchange();
            self.now += STEP_MS;
        }
    }

    fn is_slow(&self, gateway: &Gateway, server: usize) -> bool {
        let report = gateway.trackers[server].recent_report(at(self.now));
        report.is_some_and(LoadReport::is_slow)
    }

    fn send(&mut self, from: usize, to: usize, is_call: bool) {
        let now = at(self.now);
        if self.gateways[from].is_cut || self.gateways[to].is_cut {
            return;
        }
        let trackers = self.gateways[from].trackers.iter().enumerate();
        let known = trackers.filter_map(|(i, t)| Some((i, *t.recent_report(now)?)));
        let known = reports_to_share(now, known, MAX_REPORTS);
        self.sent += known.len();
        let age = |r: &LoadReport| now.ms_since(r.at).div_ceil(10);
        self.messages.push(Message {
            arrives: self.now + self.rng.random_range(STEP_MS..=DELAY_MS),
            from,
            to,
            is_call,
            reports: known.into_iter().map(|(i, r)| (i, r, age(&r))).collect(),
        });
    }

    /// Sends requests; returns how often servers refused for lack of memory.
    fn run(&mut self, way: Way) -> u32 {
        let tokens = self.engine.mean_prompt + self.engine.mean_answer;
        let memory: f64 = self.servers.iter().map(|s| s.capacity).sum();
        let peak = PEAK * memory / (tokens * f64::from(self.engine.layers));
        let per_step = peak / 1.55 * STEP_MS as f64 / HOLD_MS as f64;
        let count = self.gateways.len();
        let weight = |g: usize| 1.0 + 5.0 * (g / 3 % 4) as f64 / 3.0;
        let total: f64 = (0..count).map(weight).sum();
        let mut running: Vec<(u64, usize, Parts)> = Vec::new();
        let mut refused = 0;
        while self.now < END_MS {
            let now = at(self.now);
            self.exchange();
            let (ended, kept) = running.into_iter().partition(|r| r.0 <= self.now);
            running = kept;
            for (_, g, parts) in ended {
                self.add(g, &parts, -1.0);
            }
            let is_counted = u32::from(self.now >= START_MS);
            for g in 0..count {
                let phase = self.now as f64 / 13_000.0;
                let rate = per_step * weight(g) / total * (1.0 + 0.55 * (TAU * phase).sin());
                for _ in 0..2 {
                    if !self.rng.random_bool(rate / 2.0) {
                        continue;
                    }
                    for _ in 0..2 {
                        let Some(parts) = self.choose(g, way) else {
                            break;
                        };
                        let full = parts.iter().find(|(i, memory)| {
                            self.servers[*i].used + memory > self.servers[*i].capacity
                        });
                        let gateway = &mut self.gateways[g];
                        for (i, _) in &parts {
                            gateway.windows[*i].record_start(now);
                        }
                        if let Some((i, _)) = full {
                            refused += is_counted;
                            gateway.windows[*i].record_full(now, gateway.own[*i]);
                            gateway.blocked[*i] = self.now + BACKOFF_MS;
                            continue;
                        }
                        for (i, memory) in &parts {
                            gateway.windows[*i].record_accepted(*memory);
                        }
                        self.add(g, &parts, 1.0);
                        let hold = HOLD_MS as f64 * self.rng.random_range(0.4..1.6);
                        running.push((self.now + hold as u64, g, parts));
                        break;
                    }
                }
            }
            self.now += STEP_MS;
        }
        refused
    }

    fn add(&mut self, g: usize, parts: &[(usize, f64)], sign: f64) {
        let gateway = &mut self.gateways[g];
        for (i, memory) in parts {
            self.servers[*i].used += sign * memory;
            gateway.own[*i] += sign * memory;
            gateway.trackers[*i].record_use(at(self.now), gateway.own[*i]);
        }
    }

    /// Chooses the servers of a path, with the memory that the request needs at each.
    fn choose(&mut self, g: usize, way: Way) -> Option<Parts> {
        let now = at(self.now);
        let gateway = &self.gateways[g];
        let processes = self.gateways.len() as f64;
        let tokens = self.engine.mean_prompt + self.engine.mean_answer;
        let usable = self.servers.iter().enumerate().filter(|(i, s)| {
            let memory = tokens * f64::from(s.holder.layers.count());
            let need = RoomNeed {
                used: gateway.own[*i],
                memory,
                capacity: s.capacity,
                gateways: processes,
                rank: 0,
            };
            self.now >= gateway.blocked[*i] && gateway.windows[*i].admits(now, &need)
        });
        let holders = usable.map(|(i, s)| {
            let own = OwnUse {
                used: gateway.own[i],
                capacity: s.capacity,
                processes,
            };
            let memory_share = match way {
                Way::Scaled => own.scaled_share(),
                Way::Reports => gateway.trackers[i].memory_share(now, &own),
            };
            LayerHolder {
                memory_share,
                ..s.holder.clone()
            }
        });
        let holders: Vec<_> = holders.collect();
        let demand = RequestDemand {
            prompt: self.engine.mean_prompt,
            answer: self.engine.mean_answer,
            domain: (g % 3) as u32,
        };
        let path = choose_path(&self.engine, &holders, &demand, &mut self.rng)?;
        let find = |addr| {
            self.servers
                .iter()
                .position(|s| s.holder.addr == addr)
                .unwrap()
        };
        Some(
            path.parts
                .iter()
                .map(|p| (find(p.addr), tokens * f64::from(p.layers.count())))
                .collect(),
        )
    }
}

/// Guards against servers that refuse for lack of memory, as a gateway takes its own use for that of all. The
/// demand swings by 0.55 and differs sixfold between gateways; 0.8 of the memory is in use at the peak.
#[test]
fn memory_share_halves_refusals() {
    std::thread::scope(|scope| {
        for site in [0, 1] {
            scope.spawn(move || {
                let [scaled, reports] = [Way::Scaled, Way::Reports].map(|way| {
                    let runs = (1..=3).map(|seed| Simulation::new(site, None, seed).run(way));
                    runs.sum::<u32>()
                });
                println!("{}: refusals {scaled} before, {reports}", SITES[site].0);
                assert!(scaled > 150, "too little load");
                assert!(reports * 2 <= scaled, "{reports}, {scaled}");
            });
        }
    });
}

/// Guards against gateways that learn late that a server is slow, and against servers that are asked too often.
#[test]
fn report_slow_server_known() {
    for (site, size) in [(0, None), (1, None), (0, Some((68, 135)))] {
        let mut s = Simulation::new(site, size, 3);
        let mut worst = 0;
        for victim in 0..20 {
            s.exchange_until(s.now + 5_000 + 140 * victim as u64);
            let began = s.now;
            s.servers[victim].slow = 12.0;
            while !s.gateways.iter().all(|g| s.is_slow(g, victim)) {
                s.exchange_until(s.now + STEP_MS);
            }
            worst = worst.max(s.now - began);
        }
        let seconds = s.now as f64 / 1e3;
        let asked: u32 = s.servers.iter().map(|s| s.asked).sum();
        let asked = f64::from(asked) / s.servers.len() as f64 / seconds;
        let sent = s.sent as f64 / s.gateways.len() as f64 / seconds;
        println!(
            "{}: {} gateways, {} servers: known after {worst} ms, {asked:.2} asked, {sent:.0} sent",
            SITES[site].0,
            s.gateways.len(),
            s.servers.len()
        );
        assert!(worst <= 2_000, "{worst} ms");
        assert!(asked <= 1.2, "{asked} reports per server and second");
    }
}

/// Guards against a gateway that uses old reports of others once it is cut off, and against servers that nobody
/// else asks as they are assigned to that gateway.
#[test]
fn exchange_gateway_cut_off() {
    for site in [0, 1] {
        let mut s = Simulation::new(site, None, 5);
        s.exchange_until(5_000);
        s.gateways[0].is_cut = true;
        s.exchange_until(11_000);
        let known = |g: &Gateway| {
            let recent = g.trackers.iter().filter_map(|t| t.recent_report(at(s.now)));
            recent.count() as f64 / s.servers.len() as f64
        };
        let others = s.gateways[1..].iter().map(known).fold(1.0, f64::min);
        println!(
            "{}: {:.2} known, {others:.2} at others",
            SITES[site].0,
            known(&s.gateways[0])
        );
        assert!((0.01..0.5).contains(&known(&s.gateways[0])));
        assert!(others >= 0.9, "{others}");
    }
}

/// Guards against reports with missing, negative or huge values, and against reports that count for longer than
/// their age allows, as of a process that was paused.
#[test]
fn load_report_invalid_or_old() {
    for (share, slow) in [
        (f64::NAN, 1.0),
        (-0.1, 1.0),
        (f64::INFINITY, 1.0),
        (9.0, 1.0),
        (0.5, -1.0),
        (0.5, 1e9),
    ] {
        assert_eq!(LoadReport::new(share, slow, at(0)), None, "{share} {slow}");
    }
    let own = OwnUse {
        used: 10.0,
        capacity: 100.0,
        processes: 4.0,
    };
    let report = |share, ms| LoadReport::new(share, 1.0, at(ms)).unwrap();
    let mut tracker = LoadTracker::new(at(0), 5.0);
    tracker.record_use(at(1_000), 10.0);
    assert!(tracker.apply_report(at(1_200), report(0.5, 900)));
    assert!(
        !tracker.apply_report(at(1_200), report(0.1, 950)),
        "the same one, passed on"
    );
    assert!(
        !tracker.apply_report(at(1_200), report(0.1, 5_000)),
        "not made yet"
    );
    assert_eq!(tracker.memory_share(at(1_200), &own), 0.5 + 4.0 * 0.05);
    tracker.record_report(report(0.05, 1_300));
    assert_eq!(
        tracker.memory_share(at(1_300), &own),
        0.1,
        "at least the own use"
    );
    assert_eq!(
        tracker.memory_share(at(4_300), &own),
        0.4,
        "no recent report"
    );
}

/// Guards against a process that asks more than 8 times in a second, when it is alone, after a pause, or as all
/// reports are overdue; and against servers that nobody asks as their process has ended.
#[test]
fn choose_at_most_eight() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for is_assigned in [true, false] {
        let server = |key| Candidate {
            key,
            known_at: None,
            is_assigned,
        };
        let mut schedule = RequestSchedule::default();
        let mut asked = Vec::new();
        for ms in (0..5_000).chain(15_000..20_000).step_by(100) {
            let chosen = schedule.choose(at(ms), (0..100).map(server).collect(), 3, &mut rng);
            asked.extend(chosen.iter().map(|_| ms));
        }
        assert!(asked.len() >= 40, "{is_assigned} {}", asked.len());
        assert!(asked.windows(9).all(|w| w[8] - w[0] >= 1_000), "{asked:?}");
    }
}
