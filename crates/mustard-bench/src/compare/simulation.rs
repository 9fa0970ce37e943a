//! Discrete-event simulation of servers, each with a queue and a service-time function.
//!
//! Times are in microseconds since the start of the run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::arrivals::{self, Request};
use super::bound;
use super::policy::{Action, Policy, StepReport};
use super::scenario::{ENTRIES, Fault, Scenario, ServerSpec};
use super::state::{Event, RequestState, Server, Step};
use super::tally::{Outcome, Tally};

/// The time between two polls of all policies.
const POLL_INTERVAL_US: u64 = 5_000;
const HEARTBEAT_INTERVAL_US: u64 = 500_000;
/// The time after which a server killed by a request is up again.
const RESTART_DELAY_US: u64 = 2_000_000;
/// The time that a strike takes to the other entry processes.
const GOSSIP_DELAY_US: u64 = 2_000;
/// The most positions that a batch prefills, unless its first prefill alone has more.
const PREFILL_BUDGET: u32 = 192;

/// A simulation of one scenario under one policy.
pub(crate) struct Simulation<'a> {
    scenario: &'a Scenario,
    requests: Vec<Request>,
    policies: Vec<Box<dyn Policy>>,
    servers: Vec<Server>,
    /// The state of each request, by index.
    states: Vec<RequestState>,
    /// Pending events with their times; the sequence number keeps events of one time in order.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// The sequence number of the newest event.
    event_seq: u64,
    now: u64,
    rng: ChaCha8Rng,
    tally: Tally,
}

impl<'a> Simulation<'a> {
    /// Prepares a simulation with one policy for each entry process.
    pub(crate) fn new(
        scenario: &'a Scenario,
        requests: &[Request],
        policies: Vec<Box<dyn Policy>>,
        seed: u64,
    ) -> Self {
        let server = |spec: &ServerSpec| Server {
            spec: *spec,
            queue: VecDeque::new(),
            batch: Vec::new(),
            load: 0,
            incarnation: 0,
            up: true,
            slowdown: 1.0,
        };
        Simulation {
            scenario,
            requests: requests.to_vec(),
            policies,
            servers: scenario.servers.iter().map(server).collect(),
            states: Vec::new(),
            events: BinaryHeap::new(),
            event_seq: 0,
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tally: Tally::new(scenario),
        }
    }

    /// Runs to the end and returns what was counted.
    pub(crate) fn run(mut self) -> Tally {
        self.states
            .resize_with(self.requests.len(), RequestState::default);
        for i in 0..self.requests.len() {
            self.schedule(self.requests[i].arrived_at, Event::RequestArrived(i));
            self.schedule(self.requests[i].deadline, Event::Deadline(i));
        }
        for (i, (at, _)) in self.scenario.faults.iter().enumerate() {
            self.schedule((at * 1e6) as u64, Event::Fault(i));
        }
        self.schedule(0, Event::Poll);
        self.schedule(0, Event::Heartbeat);
        let end = arrivals::end_us(self.scenario);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self.tally
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_seq += 1;
        self.events.push(Reverse((at, self.event_seq, event)));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrived(id) => self.handle_arrival(id),
            Event::StepArrived { server, step } => self.enqueue_step(server, step),
            Event::BatchDone {
                server,
                incarnation,
            } => self.finish_batch(server, incarnation),
            Event::TokenArrived { step } => self.handle_token(step),
            Event::AttemptFailed { server, step } => self.handle_failure(server, step),
            Event::Deadline(id) => self.handle_deadline(id),
            Event::Poll => self.poll_all(),
            Event::Heartbeat => self.send_heartbeats(),
            Event::Fault(i) => self.inject_fault(i),
            Event::Restart(server) => self.servers[server].up = true,
        }
    }

    fn handle_arrival(&mut self, id: usize) {
        let entry = self.rng.random_range(0..ENTRIES);
        self.states[id].entry = entry;
        let arrival = self.requests[id].arrival(id);
        if !self.policies[entry].on_arrival(self.now, &arrival) {
            self.end_request(id, Outcome::Refused);
            return;
        }
        self.poll_policy(entry);
    }

    fn poll_all(&mut self) {
        for entry in 0..ENTRIES {
            self.poll_policy(entry);
        }
        self.schedule(self.now + POLL_INTERVAL_US, Event::Poll);
    }

    fn poll_policy(&mut self, entry: usize) {
        for (id, action) in self.policies[entry].poll(self.now) {
            if self.states[id].ended {
                continue;
            }
            match action {
                Action::Run(chain) => self.start_attempt(id, chain),
                Action::Refuse => self.end_request(id, Outcome::Refused),
            }
        }
    }

    /// Starts an attempt, whose first step prefills the prompt and the tokens delivered so far.
    fn start_attempt(&mut self, id: usize, chain: Vec<usize>) {
        for &s in &chain {
            self.servers[s].load += 1;
        }
        let state = &mut self.states[id];
        state.chain = chain;
        state.attempt += 1;
        let positions = self.requests[id].prompt + state.delivered;
        self.send_step(id, positions);
    }

    /// Sends a step of these positions from the entry process to the first stage.
    fn send_step(&mut self, id: usize, positions: u32) {
        let state = &mut self.states[id];
        state.sent_at = self.now;
        let step = Step {
            id,
            attempt: state.attempt,
            stage: 0,
            positions,
            arrived_at: 0,
        };
        let server = state.chain[0];
        self.forward_step(step, server, self.scenario.links[0][0]);
    }

    /// Sends a step to a server over a link, given by its round trip and its time per position.
    fn forward_step(&mut self, mut step: Step, server: usize, link: (f64, f64)) {
        let prefill_us = if step.positions > 1 {
            link.1 * f64::from(step.positions)
        } else {
            0.0
        };
        step.arrived_at = self.now + (link.0 / 2.0 + prefill_us) as u64;
        self.schedule(step.arrived_at, Event::StepArrived { server, step });
    }

    /// Returns the round trip and the time per position between two servers.
    fn link(&self, from: usize, to: usize) -> (f64, f64) {
        let domain = |s: usize| self.servers[s].spec.domain;
        self.scenario.links[domain(from)][domain(to)]
    }

    /// Tells whether the step's attempt still runs.
    fn is_current(&self, step: &Step) -> bool {
        let state = &self.states[step.id];
        !state.ended && state.attempt == step.attempt
    }

    /// Queues a step that arrives at a server, or fails its attempt if the server is down.
    fn enqueue_step(&mut self, server: usize, step: Step) {
        if !self.is_current(&step) {
            return;
        }
        if !self.servers[server].up {
            self.report_failure(server, step);
            return;
        }
        self.servers[server].queue.push_back(step);
        self.start_batch(server);
    }

    /// Starts a batch of queued steps, unless the server is down or already runs one.
    fn start_batch(&mut self, server: usize) {
        if !self.servers[server].up || !self.servers[server].batch.is_empty() {
            return;
        }
        let accelerator = self.servers[server].spec.accelerator;
        let mut positions = 0;
        while self.servers[server].batch.len() < accelerator.max_batch {
            let Some(step) = self.servers[server].queue.pop_front() else {
                break;
            };
            if !self.is_current(&step) {
                continue;
            }
            let prefill = if step.positions > 1 {
                step.positions
            } else {
                0
            };
            if positions > 0 && positions + prefill > PREFILL_BUDGET {
                self.servers[server].queue.push_front(step);
                break;
            }
            positions += prefill;
            self.servers[server].batch.push(step);
        }
        let s = &self.servers[server];
        if s.batch.is_empty() {
            return;
        }
        let steps = s.batch.len() as f64;
        let batch_us = accelerator.base_us
            + accelerator.step_us * steps
            + accelerator.position_us * f64::from(positions);
        let (at, incarnation) = (self.now + (batch_us * s.slowdown) as u64, s.incarnation);
        self.schedule(
            at,
            Event::BatchDone {
                server,
                incarnation,
            },
        );
    }

    /// Ends a batch, or kills the server if a poison request is in the batch.
    fn finish_batch(&mut self, server: usize, incarnation: u32) {
        if self.servers[server].incarnation != incarnation {
            return;
        }
        let is_poison = |s: &Step| self.requests[s.id].is_poison;
        if self.servers[server].batch.iter().any(is_poison) {
            self.kill_server(server);
            self.schedule(self.now + RESTART_DELAY_US, Event::Restart(server));
            return;
        }
        let batch = std::mem::take(&mut self.servers[server].batch);
        for step in batch {
            if self.is_current(&step) {
                self.finish_stage(server, step);
            }
        }
        self.start_batch(server);
    }

    /// Forwards a step to its next stage; the last stage sends the token to the entry process.
    fn finish_stage(&mut self, server: usize, mut step: Step) {
        let state = &mut self.states[step.id];
        state.stages_us[step.stage] = (self.now - step.arrived_at) as f64;
        step.stage += 1;
        if step.stage < state.chain.len() {
            let next = state.chain[step.stage];
            let link = self.link(server, next);
            self.forward_step(step, next, link);
            return;
        }
        let return_us = self.return_us(&step, step.stage - 1);
        self.schedule(self.now + return_us, Event::TokenArrived { step });
    }

    /// Returns the time from a stage back to the entry process, through the stages before it.
    fn return_us(&self, step: &Step, stage: usize) -> u64 {
        let chain = &self.states[step.id].chain;
        let pairs = chain[..=stage].windows(2);
        let links_us: f64 = pairs.map(|w| self.link(w[0], w[1]).0).sum();
        ((links_us + self.scenario.links[0][0].0) / 2.0) as u64
    }

    fn handle_token(&mut self, step: Step) {
        if !self.is_current(&step) {
            return;
        }
        let id = step.id;
        let loads = self.states[id]
            .chain
            .iter()
            .map(|&s| self.servers[s].load)
            .collect();
        let state = &mut self.states[id];
        state.delivered += 1;
        if state.delivered == 1 {
            self.tally.record_first_token(&self.requests[id], self.now);
        } else {
            self.tally.record_gap(self.now - state.token_at, self.now);
        }
        if let Some(at) = state.failed_at.take() {
            self.tally.record_recovery(self.now - at);
        }
        state.token_at = self.now;
        let report = StepReport {
            delivered: state.delivered,
            positions: step.positions,
            total_us: (self.now - state.sent_at) as f64,
            stages_us: state.stages_us[..state.chain.len()].to_vec(),
            loads,
        };
        let (entry, delivered) = (state.entry, state.delivered);
        let on_time = self.policies[entry].on_token(self.now, id, &report);
        if delivered == self.requests[id].tokens {
            self.end_request(id, Outcome::Answered);
        } else if on_time {
            self.send_step(id, 1);
        } else {
            self.end_request(id, Outcome::Cancelled);
        }
    }

    /// Schedules the moment at which the entry process learns of a failed step.
    fn report_failure(&mut self, server: usize, step: Step) {
        let return_us = self.return_us(&step, step.stage);
        self.schedule(self.now + return_us, Event::AttemptFailed { server, step });
    }

    fn handle_failure(&mut self, server: usize, step: Step) {
        if !self.is_current(&step) {
            return;
        }
        let id = step.id;
        self.release_chain(id);
        let state = &mut self.states[id];
        state.failed_at.get_or_insert(self.now);
        let (entry, delivered) = (state.entry, state.delivered);
        match self.policies[entry].on_failure(self.now, id, server, delivered) {
            Some(chain) => self.start_attempt(id, chain),
            None => self.end_request(id, Outcome::Failed),
        }
    }

    /// Takes a server down: entry processes exchange strikes against the contents that ran there, and
    /// the attempts that had steps there fail.
    fn kill_server(&mut self, server: usize) {
        let s = &mut self.servers[server];
        s.up = false;
        s.incarnation += 1;
        let running = std::mem::take(&mut s.batch);
        let queued = std::mem::take(&mut s.queue);
        for entry in 0..ENTRIES {
            let is_own = |s: &&Step| self.states[s.id].entry == entry && self.is_current(s);
            let ids: Vec<usize> = running.iter().filter(is_own).map(|s| s.id).collect();
            if ids.is_empty() {
                continue;
            }
            let at = self.now + GOSSIP_DELAY_US;
            let strikes = self.policies[entry].on_death(self.now, server, &ids);
            for strike in strikes {
                for other in (0..ENTRIES).filter(|o| *o != entry) {
                    self.policies[other].on_strike(at, &strike);
                }
            }
        }
        for step in running.into_iter().chain(queued) {
            if self.is_current(&step) {
                self.report_failure(server, step);
            }
        }
    }

    fn inject_fault(&mut self, i: usize) {
        match self.scenario.faults[i].1 {
            Fault::Slow(server, factor) => self.servers[server].slowdown = factor,
            Fault::Dead(server) => self.kill_server(server),
        }
    }

    fn send_heartbeats(&mut self) {
        for entry in 0..ENTRIES {
            for server in 0..self.servers.len() {
                let (up, load) = (self.servers[server].up, self.servers[server].load);
                self.policies[entry].on_heartbeat(self.now, server, up, load);
            }
        }
        self.schedule(self.now + HEARTBEAT_INTERVAL_US, Event::Heartbeat);
    }

    fn handle_deadline(&mut self, id: usize) {
        if !self.states[id].ended && self.requests[id].arrived_at <= self.now {
            self.end_request(id, Outcome::Late);
        }
    }

    /// Takes the request off the servers of its chain.
    fn release_chain(&mut self, id: usize) {
        for s in std::mem::take(&mut self.states[id].chain) {
            self.servers[s].load -= 1;
        }
    }

    fn end_request(&mut self, id: usize, outcome: Outcome) {
        self.release_chain(id);
        let state = &mut self.states[id];
        state.ended = true;
        let entry = state.entry;
        let request = &self.requests[id];
        let work = bound::work(self.scenario, request.prompt, request.tokens);
        self.tally.record_outcome(request, work, self.now, outcome);
        self.policies[entry].on_end(self.now, id, outcome == Outcome::Answered);
        if outcome != Outcome::Refused {
            self.poll_policy(entry);
        }
    }
}
