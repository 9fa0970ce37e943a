//! Simple policies that the product's policy is compared with.

use std::collections::{HashMap, VecDeque};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_policy::quarantine::Strike;

use super::policy::{Action, Arrival, Policy, StepReport};
use super::scenario::{ENTRIES, GROUPS, Scenario};

/// Attempts at a request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// How to choose a server of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Selection {
    Random,
    RoundRobin,
    LeastInFlight,
}

/// A request that runs.
#[derive(Debug)]
struct RunningRequest {
    chain: Vec<usize>,
    /// Attempts so far, including this one.
    attempts: u32,
}

/// Chooses servers group by group and starts requests in order of arrival.
pub(crate) struct Baseline {
    selection: Selection,
    /// The most requests that run at once.
    max_running: usize,
    /// The servers of each group.
    groups: Vec<Vec<usize>>,
    /// Whether a server is up, by its index.
    up: Vec<bool>,
    /// This process's running requests over each server.
    in_flight: Vec<u32>,
    /// The round-robin position in each group.
    next: Vec<usize>,
    waiting: VecDeque<Arrival>,
    running: HashMap<usize, RunningRequest>,
    rng: ChaCha8Rng,
}

impl Baseline {
    /// Creates a policy that starts every request on arrival.
    pub(crate) fn new(scenario: &Scenario, selection: Selection, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut groups = vec![Vec::new(); GROUPS];
        for (i, server) in scenario.servers.iter().enumerate() {
            groups[server.group].push(i);
        }
        // Each entry process knows the servers in a different order.
        for group in &mut groups {
            group.shuffle(&mut rng);
        }
        Baseline {
            selection,
            max_running: usize::MAX,
            groups,
            up: vec![true; scenario.servers.len()],
            in_flight: vec![0; scenario.servers.len()],
            next: vec![0; GROUPS],
            waiting: VecDeque::new(),
            running: HashMap::new(),
            rng,
        }
    }

    /// Creates a policy that runs at most two full batches per server and queues the other
    /// requests in order of arrival.
    pub(crate) fn first_come(scenario: &Scenario, seed: u64) -> Self {
        let batches: usize = scenario
            .servers
            .iter()
            .map(|s| s.accelerator.max_batch)
            .sum();
        Baseline {
            max_running: 2 * batches / ENTRIES,
            ..Baseline::new(scenario, Selection::LeastInFlight, seed)
        }
    }

    /// Chooses a chain; returns `None` if a group has no usable server.
    fn choose_chain(&mut self, exclude: Option<usize>) -> Option<Vec<usize>> {
        let mut chain = Vec::with_capacity(GROUPS);
        for group in 0..GROUPS {
            chain.push(self.choose_server(group, exclude)?);
        }
        Some(chain)
    }

    fn choose_server(&mut self, group: usize, exclude: Option<usize>) -> Option<usize> {
        let usable = |s: &usize| self.up[*s] && Some(*s) != exclude;
        let servers: Vec<usize> = self.groups[group].iter().copied().filter(usable).collect();
        if servers.is_empty() {
            return None;
        }
        let i = match self.selection {
            Selection::Random => self.rng.random_range(0..servers.len()),
            Selection::RoundRobin => {
                self.next[group] += 1;
                self.next[group] % servers.len()
            }
            Selection::LeastInFlight => {
                let offset = self.rng.random_range(0..servers.len());
                let rotated = |i: &usize| (i + offset) % servers.len();
                let load = |i: &usize| (self.in_flight[servers[*i]], rotated(i));
                (0..servers.len()).min_by_key(load)?
            }
        };
        Some(servers[i])
    }

    /// Records an attempt as running.
    fn record_start(&mut self, id: usize, chain: &[usize], attempts: u32) {
        for &s in chain {
            self.in_flight[s] += 1;
        }
        let chain = chain.to_vec();
        self.running.insert(id, RunningRequest { chain, attempts });
    }

    /// Removes a running request and frees its servers.
    fn remove_running(&mut self, id: usize) -> Option<RunningRequest> {
        let request = self.running.remove(&id)?;
        for &s in &request.chain {
            self.in_flight[s] -= 1;
        }
        Some(request)
    }
}

impl Policy for Baseline {
    fn on_arrival(&mut self, _now: u64, arrival: &Arrival) -> bool {
        self.waiting.push_back(arrival.clone());
        true
    }

    fn poll(&mut self, now: u64) -> Vec<(usize, Action)> {
        let mut actions = Vec::new();
        while self.running.len() < self.max_running {
            let Some(arrival) = self.waiting.pop_front() else {
                break;
            };
            if arrival.deadline <= now {
                actions.push((arrival.id, Action::Refuse));
                continue;
            }
            match self.choose_chain(None) {
                Some(chain) => {
                    self.record_start(arrival.id, &chain, 1);
                    actions.push((arrival.id, Action::Run(chain)));
                }
                None => actions.push((arrival.id, Action::Refuse)),
            }
        }
        actions
    }

    fn on_token(&mut self, _now: u64, _id: usize, _step: &StepReport) -> bool {
        true
    }

    fn on_failure(
        &mut self,
        _now: u64,
        id: usize,
        server: usize,
        _delivered: u32,
    ) -> Option<Vec<usize>> {
        let request = self.remove_running(id)?;
        if request.attempts == MAX_ATTEMPTS {
            return None;
        }
        let chain = self.choose_chain(Some(server))?;
        self.record_start(id, &chain, request.attempts + 1);
        Some(chain)
    }

    fn on_death(&mut self, _now: u64, _server: usize, _running: &[usize]) -> Vec<Strike> {
        Vec::new()
    }

    fn on_strike(&mut self, _now: u64, _strike: &Strike) {}

    fn on_end(&mut self, _now: u64, id: usize, _answered: bool) {
        self.waiting.retain(|a| a.id != id);
        self.remove_running(id);
    }

    fn on_heartbeat(&mut self, _now: u64, server: usize, up: bool, _load: u32) {
        self.up[server] = up;
    }
}
