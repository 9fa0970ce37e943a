//! The product's policy, as an entry process drives it.

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
use mustard_policy::route::{Plan, Query, choose};

use super::policy::{Action, Arrival, Policy, Seen};
use super::scenario::{CustomerSpec, GROUP_LAYERS, GROUPS, Scenario};

const MODEL: &str = "captions";
const LAYERS: u32 = GROUPS as u32 * GROUP_LAYERS;
const RETRY_SHARE: f64 = 0.2;
const RETRY_RESERVE: f64 = 200.0;

struct Flight {
    arrival: Arrival,
    ticket: Ticket,
    chain: Vec<ServerKey>,
    guards: Vec<InFlight>,
}

/// Drives the product's decision code for one entry process.
pub(crate) struct Product {
    fleet: Fleet,
    keys: Vec<ServerKey>,
    slots: HashMap<ServerKey, usize>,
    customers: Vec<CustomerSpec>,
    admission: Admission,
    membership: Membership,
    quarantine: Quarantine,
    retries: RetryBudget,
    tickets: HashMap<Ticket, usize>,
    flights: HashMap<usize, Flight>,
    rng: ChaCha8Rng,
}

impl Product {
    /// Creates the policy of one entry process.
    pub(crate) fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut fleet = Fleet::default();
        let mut keys = Vec::new();
        for (i, server) in scenario.servers.iter().enumerate() {
            let first = server.group as u32 * GROUP_LAYERS;
            keys.push(fleet.upsert(ServerInfo {
                vm: i.to_string(),
                addr: ([127, 0, 0, 1], i as u16).into(),
                domain: server.domain.to_string(),
                incarnation: Incarnation(1),
                role: Role::Stage {
                    model: MODEL.into(),
                    layers: Layers::new(first, first + GROUP_LAYERS),
                    accelerator: server.accelerator.name.into(),
                },
            }));
        }
        let slots = keys.iter().enumerate().map(|(i, k)| (*k, i)).collect();
        let mut membership = Membership::new();
        for i in 0..keys.len() {
            let observation = Observation::Heartbeat(Incarnation(1), ReportedState::Ready);
            membership.observe(Moment(0), &i.to_string(), observation);
        }
        Product {
            fleet,
            keys,
            slots,
            customers: scenario.customers.clone(),
            admission: Admission::new(Settings::default()),
            membership,
            quarantine: Quarantine::default(),
            retries: RetryBudget::new(RETRY_SHARE, RETRY_RESERVE),
            tickets: HashMap::new(),
            flights: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn apply(&self, change: Option<StateChange>) {
        let Some(change) = change else { return };
        let server = self.fleet.find(&change.vm).and_then(|k| self.fleet.get(k));
        if let Some(server) = server {
            server.stats().set_state(change.state);
        }
    }

    fn run(&mut self, id: usize, plan: &Plan) -> Vec<usize> {
        let chain: Vec<ServerKey> = plan.servers().collect();
        let guards = plan.start_request(&self.fleet);
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.chain.clone_from(&chain);
            flight.guards = guards;
        }
        chain.iter().map(|k| self.slots[k]).collect()
    }

    /// Leaves out servers that run other suspects, for a request that is suspect itself.
    fn apart(&self, now: Moment, content: u64) -> Vec<ServerKey> {
        let standing = |c: u64| self.quarantine.standing(now, Fingerprint(c.into()));
        if standing(content) != Standing::Suspect {
            return Vec::new();
        }
        self.flights
            .values()
            .filter(|f| f.arrival.content != content)
            .filter(|f| standing(f.arrival.content) == Standing::Suspect)
            .flat_map(|f| f.chain.iter().copied())
            .collect()
    }

    fn learn(&self, now: Moment, flight: &Flight, seen: &Seen) {
        for (i, key) in flight.chain.iter().enumerate() {
            let Some(server) = self.fleet.get(*key) else {
                continue;
            };
            let stats = server.stats();
            if seen.positions == 1 {
                stats.observe_step(now, seen.stages_us[i] as f32);
            } else {
                let step = stats.step_us(now, stats.work(now));
                let prefill = (seen.stages_us[i] as f32 - step).max(0.0);
                stats.observe_prefill(prefill / seen.positions as f32);
            }
            let running = seen.loads[i];
            stats.report(
                now,
                LoadReport {
                    running,
                    ..LoadReport::default()
                },
            );
        }
        if seen.positions == 1 {
            let links = seen.total_us - seen.stages_us.iter().sum::<f64>();
            let entry = flight.chain.first().and_then(|k| self.fleet.get(*k));
            let entry = entry.map_or(0.0, |s| s.stats().round_trip_us());
            let slots: Vec<usize> = flight.chain.iter().map(|k| k.index()).collect();
            let links = links as f32 - entry;
            self.fleet.links().observe_chain(&slots, links);
        }
    }
}

impl Policy for Product {
    fn arrive(&mut self, now: u64, arrival: &Arrival) -> bool {
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
        let flight = Flight {
            arrival: arrival.clone(),
            ticket,
            chain: Vec::new(),
            guards: Vec::new(),
        };
        self.flights.insert(arrival.id, flight);
        true
    }

    fn poll(&mut self, now: u64) -> Vec<(usize, Action)> {
        let now = Moment(now);
        let mut actions = Vec::new();
        // Plans are counted as they are made, so that one poll does not herd.
        let mut plans: HashMap<Ticket, (Plan, Vec<InFlight>)> = HashMap::new();
        let (fleet, flights, tickets) = (&self.fleet, &self.flights, &self.tickets);
        let rng = &mut self.rng;
        let max_token_us = self.admission.max_token_us();
        let decisions = self.admission.poll(now, |ticket| {
            let arrival = &flights.get(tickets.get(&ticket)?)?.arrival;
            let query = Query::new(MODEL, LAYERS, arrival.prompt, arrival.tokens)
                .max_token_us(max_token_us);
            let plan = choose(fleet, &query, now, rng).ok()?;
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
                    let chain = self.run(id, &plan);
                    actions.push((id, Action::Run(chain)));
                }
                _ => {
                    self.tickets.remove(&ticket);
                    self.flights.remove(&id);
                    actions.push((id, Action::Refuse));
                }
            }
        }
        actions
    }

    fn token(&mut self, now: u64, id: usize, seen: &Seen) -> bool {
        let now = Moment(now);
        let Some(flight) = self.flights.get(&id) else {
            return true;
        };
        self.learn(now, flight, seen);
        let ticket = flight.ticket;
        self.admission.record_progress(ticket, now, seen.delivered) == Progress::OnTime
    }

    fn failed(&mut self, now: u64, id: usize, server: usize, delivered: u32) -> Option<Vec<usize>> {
        let now = Moment(now);
        let key = self.keys[server];
        let vm = server.to_string();
        let change = self.membership.observe(now, &vm, Observation::Unreachable);
        self.apply(change);
        let flight = self.flights.get_mut(&id)?;
        flight.guards.clear();
        flight.chain.clear();
        let arrival = flight.arrival.clone();
        let content = Fingerprint(arrival.content.into());
        let banned = matches!(
            self.quarantine.standing(now, content),
            Standing::Quarantined(_)
        );
        if banned || !self.retries.try_spend() {
            return None;
        }
        let mut exclude = self.apart(now, arrival.content);
        exclude.push(key);
        let prompt = arrival.prompt + delivered;
        let tokens = arrival.tokens.saturating_sub(delivered).max(1);
        let query = Query::new(MODEL, LAYERS, prompt, tokens).exclude(&exclude);
        let plan = choose(&self.fleet, &query, now, &mut self.rng).or_else(|_| {
            let query = Query::new(MODEL, LAYERS, prompt, tokens);
            choose(&self.fleet, &query, now, &mut self.rng)
        });
        Some(self.run(id, &plan.ok()?))
    }

    fn died(&mut self, now: u64, server: usize, running: &[usize]) -> Vec<Strike> {
        let now = Moment(now);
        let vm = server.to_string();
        let change = self.membership.observe(now, &vm, Observation::Unreachable);
        self.apply(change);
        let running: Vec<Fingerprint> = running
            .iter()
            .filter_map(|id| self.flights.get(id))
            .map(|f| Fingerprint(f.arrival.content.into()))
            .collect();
        let strikes = self.quarantine.strikes_for_death(now, &vm, &running);
        for strike in &strikes {
            self.quarantine.record_strike(now, strike);
        }
        strikes
    }

    fn hear(&mut self, now: u64, strike: &Strike) {
        self.quarantine.record_strike(Moment(now), strike);
    }

    fn ended(&mut self, now: u64, id: usize, whole: bool) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.tickets.remove(&flight.ticket);
        if whole {
            let content = Fingerprint(flight.arrival.content.into());
            self.quarantine.clear(Moment(now), content);
            let tokens = flight.arrival.tokens;
            self.admission.finish(flight.ticket, Moment(now), tokens);
        } else {
            self.admission.abandon(flight.ticket);
        }
    }

    fn heartbeat(&mut self, now: u64, server: usize, up: bool, load: u32) {
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
        self.apply(change);
    }
}
