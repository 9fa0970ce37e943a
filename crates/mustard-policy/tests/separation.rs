//! Suspects of several entry processes keep off each other's servers.

#![allow(clippy::unwrap_used)]

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Incarnation, Layers};
use mustard_policy::fleet::{Facts, Fleet, Role, ServerKey, State};
use mustard_policy::quarantine::{Quarantine, Standing, Strike};
use mustard_policy::separation::reserved_elsewhere;

const MODEL: &str = "captions";
const NOW: Moment = Moment::from_millis(1_000);
const KILLER: Fingerprint = Fingerprint(7);
const ENTRIES: [&str; 2] = ["entry-0", "entry-1"];
const REPLICAS: usize = 5;

fn fleet(replicas: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for stage in 0..2 {
        for i in 0..replicas {
            fleet.upsert(Facts {
                vm: format!("vm-{stage}-{i}"),
                addr: ([127, 0, 0, 1], 7_000).into(),
                domain: "a".into(),
                incarnation: Incarnation(1),
                role: Role::Stage {
                    model: MODEL.into(),
                    layers: Layers::new(stage * 16, stage * 16 + 16),
                    accelerator: "small".into(),
                },
            });
        }
    }
    fleet
}

fn usable(fleet: &Fleet, group: usize, own: &str, entries: &[&str]) -> Vec<ServerKey> {
    let reserved = reserved_elsewhere(fleet, MODEL, own, entries);
    let servers = fleet.groups(MODEL)[group].servers.iter().copied();
    servers.filter(|key| !reserved.contains(key)).collect()
}

#[test]
fn reserve_disjoint_shares() {
    let fleet = fleet(REPLICAS);
    for group in 0..2 {
        let shares = ENTRIES.map(|own| usable(&fleet, group, own, &ENTRIES));
        assert!(shares.iter().all(|s| !s.is_empty()));
        assert!(shares[0].iter().all(|key| !shares[1].contains(key)));
        assert_eq!(shares[0].len() + shares[1].len(), REPLICAS);
    }
}

#[test]
fn reserve_with_own_servers_dead() {
    let fleet = fleet(REPLICAS);
    for key in usable(&fleet, 0, ENTRIES[0], &ENTRIES) {
        fleet.get(key).unwrap().live().set_state(State::Dead);
    }
    let is_ready = |key: &ServerKey| fleet.get(*key).unwrap().live().state() == State::Ready;
    let shares = ENTRIES.map(|own| usable(&fleet, 0, own, &ENTRIES));
    let ready = shares.map(|s| s.into_iter().filter(is_ready).collect::<Vec<_>>());
    assert!(ready.iter().all(|s| !s.is_empty()));
    assert!(ready[0].iter().all(|key| !ready[1].contains(key)));
}

#[test]
fn reserve_alone() {
    let fleet = fleet(REPLICAS);
    assert_eq!(usable(&fleet, 0, ENTRIES[0], &ENTRIES[..1]).len(), REPLICAS);
}

/// One content on its way: the entry process that drives it, and the server that runs it.
struct Flow {
    content: Fingerprint,
    entry: usize,
    server: Option<ServerKey>,
    left: u32,
}

/// Two entry processes with a killing content and four innocent ones.
struct World {
    rng: ChaCha8Rng,
    fleet: Fleet,
    divided: bool,
    quarantines: [Quarantine; 2],
    flows: Vec<Flow>,
    deaths: usize,
}

impl World {
    fn new(seed: u64, divided: bool) -> Self {
        let flow = |i: usize| Flow {
            content: match i {
                0 => KILLER,
                _ => Fingerprint(100 + i as u128),
            },
            entry: i % 2,
            server: None,
            left: 8,
        };
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet: fleet(REPLICAS),
            divided,
            quarantines: Default::default(),
            flows: (0..5).map(flow).collect(),
            deaths: 0,
        }
    }

    fn died_under(&self, flow: &Flow) -> usize {
        let strikes = self.quarantines[flow.entry].strikes(NOW);
        strikes
            .iter()
            .filter(|s| s.fingerprint == flow.content)
            .count()
    }

    fn choose(&mut self, i: usize) -> Option<ServerKey> {
        let flow = &self.flows[i];
        let is_apart = self.died_under(flow) >= 2;
        let entry = flow.entry;
        let is_suspect = |f: &&Flow| {
            let standing = self.quarantines[entry].standing(NOW, f.content);
            f.entry == entry && f.content != flow.content && standing != Standing::Clear
        };
        let others: Vec<&Flow> = self.flows.iter().filter(is_suspect).collect();
        if is_apart
            && others
                .iter()
                .any(|f| f.server.is_some() && self.died_under(f) >= 2)
        {
            return None;
        }
        let live: Vec<ServerKey> = self.fleet.groups(MODEL)[0]
            .servers
            .iter()
            .copied()
            .filter(|k| self.fleet.get(*k).unwrap().live().state() == State::Ready)
            .collect();
        let mut open = live.clone();
        if is_apart {
            open.retain(|k| !others.iter().any(|f| f.server == Some(*k)));
        }
        if is_apart && self.divided {
            let reserved = reserved_elsewhere(&self.fleet, MODEL, ENTRIES[entry], &ENTRIES);
            let own = |k: &&ServerKey| !reserved.contains(k);
            let own: Vec<ServerKey> = open.iter().filter(own).copied().collect();
            // While own suspects run, their servers come free again.
            if !own.is_empty() || others.iter().any(|f| f.server.is_some()) {
                open = own;
            }
        }
        open.choose(&mut self.rng).copied()
    }

    /// Kills the server of the killing content and takes the strikes to both processes.
    fn kill(&mut self, server: ServerKey) {
        self.deaths += 1;
        let dead = self.fleet.get(server).unwrap();
        dead.live().set_state(State::Dead);
        let vm = dead.facts().vm.clone();
        let there = |f: &&Flow| f.server == Some(server);
        let running: Vec<Fingerprint> =
            self.flows.iter().filter(there).map(|f| f.content).collect();
        let strikes: Vec<Strike> = self.quarantines[0].blame(NOW, &vm, &running);
        for quarantine in &mut self.quarantines {
            for strike in &strikes {
                quarantine.strike(NOW, strike);
            }
        }
        for flow in &mut self.flows {
            if flow.server == Some(server) {
                flow.server = None;
            }
        }
    }

    /// Returns the servers that died until the killing content was quarantined, and whether an
    /// innocent one was too.
    fn run(mut self) -> (usize, bool) {
        while self.deaths < REPLICAS {
            let mut order: Vec<usize> = (0..self.flows.len()).collect();
            order.shuffle(&mut self.rng);
            for i in order {
                if self.flows[i].server.is_none() && self.flows[i].left > 0 {
                    self.flows[i].server = self.choose(i);
                }
            }
            for i in 1..self.flows.len() {
                if self.flows[i].server.is_none() {
                    continue;
                }
                let step = self.rng.random_range(0..3).min(self.flows[i].left);
                self.flows[i].left -= step;
                if self.flows[i].left == 0 {
                    let content = self.flows[i].content;
                    self.flows[i].server = None;
                    self.quarantines.iter_mut().for_each(|q| {
                        q.clear(NOW, content);
                    });
                }
            }
            if let Some(server) = self.flows[0].server {
                self.kill(server);
            }
            let is_out = |q: &Quarantine, f| matches!(q.standing(NOW, f), Standing::Quarantined(_));
            if self.flows[1..]
                .iter()
                .any(|f| is_out(&self.quarantines[0], f.content))
            {
                return (self.deaths, true);
            }
            if is_out(&self.quarantines[0], KILLER) {
                break;
            }
        }
        (self.deaths, false)
    }
}

/// A killing content among innocent ones of two processes leaves servers alive, and no innocent
/// one is refused.
#[test]
fn divide_killer_among_innocents() {
    for seed in 0..20_000 {
        let (deaths, innocent) = World::new(seed, true).run();
        assert!(
            deaths < REPLICAS && !innocent,
            "seed {seed}: {deaths} deaths"
        );
    }
}
