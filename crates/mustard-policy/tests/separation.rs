//! Suspect contents of several entry processes run on different servers.

#![allow(clippy::unwrap_used)]

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Incarnation, Layers};
use mustard_policy::fleet::{Fleet, Role, ServerInfo, ServerKey, State};
use mustard_policy::quarantine::{Quarantine, Standing, Strike};
use mustard_policy::separation::reserved_elsewhere;

const MODEL: &str = "captions";
const NOW: Moment = Moment::from_millis(1_000);
const LETHAL_CONTENT: Fingerprint = Fingerprint(7);
const PROCESSES: [&str; 2] = ["entry-0", "entry-1"];
const REPLICAS: usize = 5;

fn fleet(replicas: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for stage in 0..2 {
        for i in 0..replicas {
            fleet.upsert(ServerInfo {
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

/// Returns the servers of a group at which the process `own_name` may run suspect contents.
fn usable_servers(
    fleet: &Fleet,
    group: usize,
    own_name: &str,
    processes: &[&str],
) -> Vec<ServerKey> {
    let reserved = reserved_elsewhere(fleet, MODEL, own_name, processes);
    let servers = fleet.groups(MODEL)[group].servers.iter().copied();
    servers.filter(|key| !reserved.contains(key)).collect()
}

#[test]
fn reserve_disjoint_shares() {
    let fleet = fleet(REPLICAS);
    for group in 0..2 {
        let shares = PROCESSES.map(|own| usable_servers(&fleet, group, own, &PROCESSES));
        assert!(shares.iter().all(|s| !s.is_empty()));
        assert!(shares[0].iter().all(|key| !shares[1].contains(key)));
        assert_eq!(shares[0].len() + shares[1].len(), REPLICAS);
    }
}

#[test]
fn reserve_with_own_servers_dead() {
    let fleet = fleet(REPLICAS);
    for key in usable_servers(&fleet, 0, PROCESSES[0], &PROCESSES) {
        fleet.get(key).unwrap().stats().set_state(State::Dead);
    }
    let is_ready = |key: &ServerKey| fleet.get(*key).unwrap().stats().state() == State::Ready;
    let shares = PROCESSES.map(|own| usable_servers(&fleet, 0, own, &PROCESSES));
    let ready = shares.map(|s| s.into_iter().filter(is_ready).collect::<Vec<_>>());
    assert!(ready.iter().all(|s| !s.is_empty()));
    assert!(ready[0].iter().all(|key| !ready[1].contains(key)));
}

#[test]
fn reserve_alone() {
    let fleet = fleet(REPLICAS);
    assert_eq!(
        usable_servers(&fleet, 0, PROCESSES[0], &PROCESSES[..1]).len(),
        REPLICAS
    );
}

/// A request: its content, the entry process that drives it, and the server that runs it now.
struct Request {
    content: Fingerprint,
    process: usize,
    server: Option<ServerKey>,
    steps_left: u32,
}

/// Two entry processes with one content that kills its servers and four harmless ones.
struct Simulation {
    rng: ChaCha8Rng,
    fleet: Fleet,
    divided: bool,
    quarantines: [Quarantine; 2],
    requests: Vec<Request>,
    deaths: usize,
}

impl Simulation {
    fn new(seed: u64, divided: bool) -> Self {
        let request = |i: usize| Request {
            content: match i {
                0 => LETHAL_CONTENT,
                _ => Fingerprint(100 + i as u128),
            },
            process: i % 2,
            server: None,
            steps_left: 8,
        };
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet: fleet(REPLICAS),
            divided,
            quarantines: Default::default(),
            requests: (0..5).map(request).collect(),
            deaths: 0,
        }
    }

    /// Counts the strikes against a request's content that its entry process knows.
    fn count_strikes(&self, request: &Request) -> usize {
        let strikes = self.quarantines[request.process].strikes(NOW);
        strikes
            .iter()
            .filter(|s| s.content.fingerprint == request.content)
            .count()
    }

    /// Chooses a server for a request; `None` if the request has to wait.
    fn choose(&mut self, i: usize) -> Option<ServerKey> {
        let request = &self.requests[i];
        let is_separated = self.count_strikes(request) >= 2;
        let process = request.process;
        let is_suspect = |r: &&Request| {
            let standing = self.quarantines[process].standing(NOW, r.content);
            r.process == process && r.content != request.content && standing != Standing::Clear
        };
        let others: Vec<&Request> = self.requests.iter().filter(is_suspect).collect();
        if is_separated
            && others
                .iter()
                .any(|r| r.server.is_some() && self.count_strikes(r) >= 2)
        {
            return None;
        }
        let ready: Vec<ServerKey> = self.fleet.groups(MODEL)[0]
            .servers
            .iter()
            .copied()
            .filter(|k| self.fleet.get(*k).unwrap().stats().state() == State::Ready)
            .collect();
        let mut allowed = ready.clone();
        if is_separated {
            allowed.retain(|k| !others.iter().any(|r| r.server == Some(*k)));
        }
        if is_separated && self.divided {
            let reserved = reserved_elsewhere(&self.fleet, MODEL, PROCESSES[process], &PROCESSES);
            let is_own = |k: &&ServerKey| !reserved.contains(k);
            let own: Vec<ServerKey> = allowed.iter().filter(is_own).copied().collect();
            // This process's servers that run other suspects become free again, so the request
            // waits for them.
            if !own.is_empty() || others.iter().any(|r| r.server.is_some()) {
                allowed = own;
            }
        }
        allowed.choose(&mut self.rng).copied()
    }

    /// Kills a server, and records at both processes the strikes against the contents that ran
    /// there.
    fn kill(&mut self, server: ServerKey) {
        self.deaths += 1;
        let dead = self.fleet.get(server).unwrap();
        dead.stats().set_state(State::Dead);
        let vm = dead.info().vm.clone();
        let runs_there = |r: &&Request| r.server == Some(server);
        let running: Vec<Fingerprint> = self
            .requests
            .iter()
            .filter(runs_there)
            .map(|r| r.content)
            .collect();
        let strikes: Vec<Strike> = self.quarantines[0].strikes_for_death(NOW, &vm, &running);
        for quarantine in &mut self.quarantines {
            for strike in &strikes {
                quarantine.record_strike(NOW, strike);
            }
        }
        for request in &mut self.requests {
            if request.server == Some(server) {
                request.server = None;
            }
        }
    }

    /// Returns the number of servers that died until the lethal content was quarantined, and
    /// whether a harmless one was quarantined.
    fn run(mut self) -> (usize, bool) {
        while self.deaths < REPLICAS {
            let mut indices: Vec<usize> = (0..self.requests.len()).collect();
            indices.shuffle(&mut self.rng);
            for i in indices {
                if self.requests[i].server.is_none() && self.requests[i].steps_left > 0 {
                    self.requests[i].server = self.choose(i);
                }
            }
            for i in 1..self.requests.len() {
                if self.requests[i].server.is_none() {
                    continue;
                }
                let step = self.rng.random_range(0..3).min(self.requests[i].steps_left);
                self.requests[i].steps_left -= step;
                if self.requests[i].steps_left == 0 {
                    let content = self.requests[i].content;
                    self.requests[i].server = None;
                    self.quarantines.iter_mut().for_each(|q| {
                        q.clear(NOW, content);
                    });
                }
            }
            if let Some(server) = self.requests[0].server {
                self.kill(server);
            }
            let is_quarantined =
                |q: &Quarantine, c| matches!(q.standing(NOW, c), Standing::Quarantined(_));
            if self.requests[1..]
                .iter()
                .any(|r| is_quarantined(&self.quarantines[0], r.content))
            {
                return (self.deaths, true);
            }
            if is_quarantined(&self.quarantines[0], LETHAL_CONTENT) {
                break;
            }
        }
        (self.deaths, false)
    }
}

/// A content that kills its servers runs among harmless ones of two processes. It has to be
/// quarantined before all servers are dead, and no harmless one may be.
#[test]
fn separate_lethal_among_harmless() {
    for seed in 0..20_000 {
        let (deaths, harmless_quarantined) = Simulation::new(seed, true).run();
        assert!(
            deaths < REPLICAS && !harmless_quarantined,
            "seed {seed}: {deaths} deaths"
        );
    }
}
