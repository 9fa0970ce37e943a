//! The product's policy: its decision code, called as an entry process calls it.

use std::collections::HashMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Incarnation, Layers};
use mustard_policy::admission::{Admission, Decision, Forecast, Offer, Progress, Settings, Ticket};
use mustard_policy::fleet::{Fleet, InFlight, LoadReport, Role, ServerInfo, ServerKey};
use mustard_policy::membership::{Membership, Observation, ReportedState, StateChange};
use mustard_policy::quarantine::{Quarantine, Standing, Strike};
use mustard_policy::retry::RetryBudget;
use mustard_policy::route::{Plan, Query, choose_plan};

use super::policy::{Action, Arrival, Policy, StepReport};
use super::scenario::{CustomerSpec, GROUPS, LAYERS_PER_GROUP, Scenario};

const MODEL: &str = "captions";
const LAYERS: u32 = GROUPS as u32 * LAYERS_PER_GROUP;
/// Retries earned by each first attempt.
const RETRY_SHARE: f64 = 0.2;
/// The most retries saved up, and the balance at the start.
const RETRY_RESERVE: f64 = 200.0;

/// A request that waits or runs.
struct OpenRequest {
    arrival: Arrival,
    ticket: Ticket,
    /// Empty while no attempt runs.
    chain: Vec<ServerKey>,
    /// Count the request at the servers of its chain until dropped.
    guards: Vec<InFlight>,
}

/// The product's policy for one entry process.
pub(crate) struct Product {
    fleet: Fleet,
    /// The key of each server, by its index in the scenario.
    keys: Vec<ServerKey>,
    /// The index of each server in the scenario, by its key.
    indexes: HashMap<ServerKey, usize>,
    customers: Vec<CustomerSpec>,
    admission: Admission,
    membership: Membership,
    quarantine: Quarantine,
    retries: RetryBudget,
    /// The requests that admission knows, by ticket.
    tickets: HashMap<Ticket, usize>,
    requests: HashMap<usize, OpenRequest>,
    rng: ChaCha8Rng,
}

impl Product {
    /// Creates the policy of one entry process.
    pub(crate) fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut fleet = Fleet::default();
        let mut keys = Vec::new();
        for (i, server) in scenario.servers.iter().enumerate() {
            let first = server.group as u32 * LAYERS_PER_GROUP;
            keys.push(fleet.upsert(ServerInfo {
                vm: i.to_string(),
                addr: ([127, 0, 0, 1], i as u16).into(),
                domain: server.domain.to_string(),
                incarnation: Incarnation(1),
                role: Role::Stage {
                    model: MODEL.into(),
                    layers: Layers::new(first, first + LAYERS_PER_GROUP),
                    accelerator: server.accelerator.name.into(),
                },
            }));
        }
        let indexes = keys.iter().enumerate().map(|(i, k)| (*k, i)).collect();
        let mut membership = Membership::new();
        for i in 0..keys.len() {
            let observation = Observation::Heartbeat(Incarnation(1), ReportedState::Ready);
            membership.observe(Moment(0), &i.to_string(), observation);
        }
        Product {
            fleet,
            keys,
            indexes,
            customers: scenario.customers.clone(),
            admission: Admission::new(Settings::default()),
            membership,
            quarantine: Quarantine::default(),
            retries: RetryBudget::new(RETRY_SHARE, RETRY_RESERVE),
            tickets: HashMap::new(),
            requests: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a change of a server's membership state to the fleet.
    fn apply_change(&self, change: Option<StateChange>) {
        let Some(change) = change else { return };
        let server = self.fleet.find(&change.vm).and_then(|k| self.fleet.get(k));
        if let Some(server) = server {
            server.stats().set_state(change.state);
        }
    }

    /// Counts a planned request at its servers; returns the chain.
    fn start_plan(&mut self, id: usize, plan: &Plan) -> Vec<usize> {
        let chain: Vec<ServerKey> = plan.servers().collect();
        let guards = plan.start_request(&self.fleet);
        if let Some(request) = self.requests.get_mut(&id) {
            request.chain.clone_from(&chain);
            request.guards = guards;
        }
        chain.iter().map(|k| self.indexes[k]).collect()
    }

    /// Returns the servers that run other suspects if this content is a suspect too, so that two
    /// suspects don't share a server.
    fn servers_of_suspects(&self, now: Moment, content: u64) -> Vec<ServerKey> {
        let standing = |c: u64| self.quarantine.standing(now, Fingerprint(c.into()));
        if standing(content) != Standing::Suspect {
            return Vec::new();
        }
        self.requests
            .values()
            .filter(|r| r.arrival.content != content)
            .filter(|r| standing(r.arrival.content) == Standing::Suspect)
            .flat_map(|r| r.chain.iter().copied())
            .collect()
    }

    /// Updates the estimates of servers and links with a measured step.
    fn update_estimates(&self, now: Moment, request: &OpenRequest, step: &StepReport) {
        for (i, key) in request.chain.iter().enumerate() {
            let Some(server) = self.fleet.get(*key) else {
                continue;
            };
            let stats = server.stats();
            if step.positions == 1 {
                stats.observe_step(now, step.stages_us[i] as f32);
            } else {
                let decode_us = stats.step_us(now, stats.work(now));
                let prefill_us = (step.stages_us[i] as f32 - decode_us).max(0.0);
                stats.observe_prefill(prefill_us / step.positions as f32);
            }
            let running = step.loads[i];
            stats.report(
                now,
                LoadReport {
                    running,
                    ..LoadReport::default()
                },
            );
        }
        if step.positions == 1 {
            let links_us = step.total_us - step.stages_us.iter().sum::<f64>();
            let first_server = request.chain.first().and_then(|k| self.fleet.get(*k));
            let entry_us = first_server.map_or(0.0, |s| s.stats().round_trip_us());
            let slots: Vec<usize> = request.chain.iter().map(|k| k.index()).collect();
            let links_us = links_us as f32 - entry_us;
            self.fleet.links().observe_chain(&slots, links_us);
        }
    }
}

impl Policy for Product {
    fn on_arrival(&mut self, now: u64, arrival: &Arrival) -> bool {
        let now = Moment(now);
        let content = Fingerprint(arrival.content.into());
        if let Standing::Quarantined(_) = self.quarantine.standing(now, content) {
            return false;
        }
        let customer = &self.customers[arrival.customer];
        let deadline = Moment(arrival.deadline);
        let offer = Offer::new(
            &customer.name,
            customer.share,
            customer.class,
            arrival.tokens,
            deadline,
        );
        let Ok(ticket) = self.admission.offer(now, offer) else {
            return false;
        };
        self.retries.record_attempt();
        self.tickets.insert(ticket, arrival.id);
        let request = OpenRequest {
            arrival: arrival.clone(),
            ticket,
            chain: Vec::new(),
            guards: Vec::new(),
        };
        self.requests.insert(arrival.id, request);
        true
    }

    fn poll(&mut self, now: u64) -> Vec<(usize, Action)> {
        let now = Moment(now);
        let mut actions = Vec::new();
        // Each plan counts at its servers at once, or all requests of one poll would choose the same
        // servers.
        let mut plans: HashMap<Ticket, (Plan, Vec<InFlight>)> = HashMap::new();
        let (fleet, requests, tickets) = (&self.fleet, &self.requests, &self.tickets);
        let rng = &mut self.rng;
        let max_token_us = self.admission.max_token_us();
        let decisions = self.admission.poll(now, |ticket| {
            let arrival = &requests.get(tickets.get(&ticket)?)?.arrival;
            let query = Query::new(MODEL, LAYERS, arrival.prompt, arrival.tokens)
                .max_token_us(max_token_us);
            let plan = choose_plan(fleet, &query, now, rng).ok()?;
            let forecast = Forecast::from(&plan);
            let guards = plan.start_request(fleet);
            plans.insert(ticket, (plan, guards));
            Some(forecast)
        });
        for (ticket, decision) in decisions {
            let Some(&id) = self.tickets.get(&ticket) else {
                continue;
            };
            let plan = plans.remove(&ticket);
            match (decision, plan) {
                (Decision::Run, Some((plan, guards))) => {
                    drop(guards);
                    let chain = self.start_plan(id, &plan);
                    actions.push((id, Action::Run(chain)));
                }
                _ => {
                    self.tickets.remove(&ticket);
                    self.requests.remove(&id);
                    actions.push((id, Action::Refuse));
                }
            }
        }
        actions
    }

    fn on_token(&mut self, now: u64, id: usize, step: &StepReport) -> bool {
        let now = Moment(now);
        let Some(request) = self.requests.get(&id) else {
            return true;
        };
        self.update_estimates(now, request, step);
        let ticket = request.ticket;
        self.admission.record_progress(ticket, now, step.delivered) == Progress::OnTime
    }

    fn on_failure(
        &mut self,
        now: u64,
        id: usize,
        server: usize,
        delivered: u32,
    ) -> Option<Vec<usize>> {
        let now = Moment(now);
        let key = self.keys[server];
        let vm = server.to_string();
        let change = self.membership.observe(now, &vm, Observation::Unreachable);
        self.apply_change(change);
        let request = self.requests.get_mut(&id)?;
        request.guards.clear();
        request.chain.clear();
        let arrival = request.arrival.clone();
        let content = Fingerprint(arrival.content.into());
        let quarantined = matches!(
            self.quarantine.standing(now, content),
            Standing::Quarantined(_)
        );
        if quarantined || !self.retries.try_spend() {
            return None;
        }
        let mut exclude = self.servers_of_suspects(now, arrival.content);
        exclude.push(key);
        let prompt = arrival.prompt + delivered;
        let tokens = arrival.tokens.saturating_sub(delivered).max(1);
        let query = Query::new(MODEL, LAYERS, prompt, tokens).exclude(&exclude);
        let plan = choose_plan(&self.fleet, &query, now, &mut self.rng).or_else(|_| {
            let query = Query::new(MODEL, LAYERS, prompt, tokens);
            choose_plan(&self.fleet, &query, now, &mut self.rng)
        });
        Some(self.start_plan(id, &plan.ok()?))
    }

    fn on_death(&mut self, now: u64, server: usize, running: &[usize]) -> Vec<Strike> {
        let now = Moment(now);
        let vm = server.to_string();
        let change = self.membership.observe(now, &vm, Observation::Unreachable);
        self.apply_change(change);
        let running: Vec<Fingerprint> = running
            .iter()
            .filter_map(|id| self.requests.get(id))
            .map(|r| Fingerprint(r.arrival.content.into()))
            .collect();
        let strikes = self.quarantine.strikes_for_death(now, &vm, &running);
        for strike in &strikes {
            self.quarantine.record_strike(now, strike);
        }
        strikes
    }

    fn on_strike(&mut self, now: u64, strike: &Strike) {
        self.quarantine.record_strike(Moment(now), strike);
    }

    fn on_end(&mut self, now: u64, id: usize, answered: bool) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.tickets.remove(&request.ticket);
        if answered {
            let content = Fingerprint(request.arrival.content.into());
            self.quarantine.clear(Moment(now), content);
            let tokens = request.arrival.tokens;
            self.admission.finish(request.ticket, Moment(now), tokens);
        } else {
            self.admission.abandon(request.ticket);
        }
    }

    fn on_heartbeat(&mut self, now: u64, server: usize, up: bool, load: u32) {
        if let Some(s) = self.fleet.get(self.keys[server]) {
            let report = LoadReport {
                running: load,
                ..LoadReport::default()
            };
            s.stats().report(Moment(now), report);
        }
        let now = Moment(now);
        let observation = if up {
            Observation::Heartbeat(Incarnation(1), ReportedState::Ready)
        } else {
            Observation::HeartbeatMissed
        };
        let change = self
            .membership
            .observe(now, &server.to_string(), observation);
        self.apply_change(change);
    }
}
