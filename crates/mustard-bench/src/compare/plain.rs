//! Plain policies to compare with.

use std::collections::{HashMap, VecDeque};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_policy::quarantine::Strike;

use super::policy::{Action, Arrival, Policy, Seen};
use super::scenario::{ENTRIES, GROUPS, Scenario};

const MAX_ATTEMPTS: u32 = 3;

/// How a server of a group is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pick {
    Random,
    RoundRobin,
    LeastInFlight,
}

#[derive(Debug)]
struct Run {
    chain: Vec<usize>,
    attempts: u32,
}

/// Picks servers group by group, and starts requests in order of arrival.
pub(crate) struct Plain {
    pick: Pick,
    /// The most requests that run at once.
    cap: usize,
    groups: Vec<Vec<usize>>,
    up: Vec<bool>,
    in_flight: Vec<u32>,
    next: Vec<usize>,
    waiting: VecDeque<Arrival>,
    running: HashMap<usize, Run>,
    rng: ChaCha8Rng,
}

impl Plain {
    /// Creates a policy that starts every request on arrival.
    pub(crate) fn new(scenario: &Scenario, pick: Pick, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut groups = vec![Vec::new(); GROUPS];
        for (i, server) in scenario.servers.iter().enumerate() {
            groups[server.group].push(i);
        }
        // Entry processes know the servers in orders of their own.
        for group in &mut groups {
            group.shuffle(&mut rng);
        }
        Plain {
            pick,
            cap: usize::MAX,
            groups,
            up: vec![true; scenario.servers.len()],
            in_flight: vec![0; scenario.servers.len()],
            next: vec![0; GROUPS],
            waiting: VecDeque::new(),
            running: HashMap::new(),
            rng,
        }
    }

    /// Creates a policy that runs two full batches per server at most, and keeps the others in
    /// order of arrival.
    pub(crate) fn first_come(scenario: &Scenario, seed: u64) -> Self {
        let batches: usize = scenario.servers.iter().map(|s| s.accelerator.batch).sum();
        Plain {
            cap: 2 * batches / ENTRIES,
            ..Plain::new(scenario, Pick::LeastInFlight, seed)
        }
    }

    fn chain(&mut self, exclude: Option<usize>) -> Option<Vec<usize>> {
        let mut chain = Vec::with_capacity(GROUPS);
        for group in 0..GROUPS {
            chain.push(self.server(group, exclude)?);
        }
        Some(chain)
    }

    fn server(&mut self, group: usize, exclude: Option<usize>) -> Option<usize> {
        let usable = |s: &usize| self.up[*s] && Some(*s) != exclude;
        let servers: Vec<usize> = self.groups[group].iter().copied().filter(usable).collect();
        if servers.is_empty() {
            return None;
        }
        let i = match self.pick {
            Pick::Random => self.rng.random_range(0..servers.len()),
            Pick::RoundRobin => {
                self.next[group] += 1;
                self.next[group] % servers.len()
            }
            Pick::LeastInFlight => {
                let offset = self.rng.random_range(0..servers.len());
                let turned = |i: &usize| (i + offset) % servers.len();
                let load = |i: &usize| (self.in_flight[servers[*i]], turned(i));
                (0..servers.len()).min_by_key(load)?
            }
        };
        Some(servers[i])
    }

    fn begin(&mut self, id: usize, chain: &[usize], attempts: u32) {
        for &s in chain {
            self.in_flight[s] += 1;
        }
        let chain = chain.to_vec();
        self.running.insert(id, Run { chain, attempts });
    }

    fn end(&mut self, id: usize) -> Option<Run> {
        let run = self.running.remove(&id)?;
        for &s in &run.chain {
            self.in_flight[s] -= 1;
        }
        Some(run)
    }
}

impl Policy for Plain {
    fn arrive(&mut self, _now: u64, arrival: &Arrival) -> bool {
        self.waiting.push_back(arrival.clone());
        true
    }

    fn poll(&mut self, now: u64) -> Vec<(usize, Action)> {
        let mut actions = Vec::new();
        while self.running.len() < self.cap {
            let Some(arrival) = self.waiting.pop_front() else {
                break;
            };
            if arrival.deadline <= now {
                actions.push((arrival.id, Action::Refuse));
                continue;
            }
            match self.chain(None) {
                Some(chain) => {
                    self.begin(arrival.id, &chain, 1);
                    actions.push((arrival.id, Action::Run(chain)));
                }
                None => actions.push((arrival.id, Action::Refuse)),
            }
        }
        actions
    }

    fn token(&mut self, _now: u64, _id: usize, _seen: &Seen) -> bool {
        true
    }

    fn failed(
        &mut self,
        _now: u64,
        id: usize,
        server: usize,
        _delivered: u32,
    ) -> Option<Vec<usize>> {
        let run = self.end(id)?;
        if run.attempts == MAX_ATTEMPTS {
            return None;
        }
        let chain = self.chain(Some(server))?;
        self.begin(id, &chain, run.attempts + 1);
        Some(chain)
    }

    fn died(&mut self, _now: u64, _server: usize, _running: &[usize]) -> Vec<Strike> {
        Vec::new()
    }

    fn hear(&mut self, _now: u64, _strike: &Strike) {}

    fn ended(&mut self, _now: u64, id: usize, _whole: bool) {
        self.waiting.retain(|a| a.id != id);
        self.end(id);
    }

    fn heartbeat(&mut self, _now: u64, server: usize, up: bool, _load: u32) {
        self.up[server] = up;
    }
}
