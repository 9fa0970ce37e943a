//! The requests of a scenario, drawn before it runs so that every policy gets the same ones.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::bound;
use super::policy::Arrival;
use super::scenario::{CustomerSpec, PROMPT, Scenario, TOKENS};

/// The time over which the requests of a burst spread, in seconds.
const BURST_SPREAD: f64 = 0.2;
const KILLER_CONTENT: u64 = u64::MAX;

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// When it arrives, in microseconds.
    pub(crate) at: u64,
    pub(crate) deadline: u64,
    pub(crate) customer: usize,
    pub(crate) prompt: u32,
    pub(crate) tokens: u32,
    pub(crate) content: u64,
    /// Whether it kills each server that runs it.
    pub(crate) kills: bool,
}

impl Request {
    /// Returns what a policy sees of the request.
    pub(crate) fn arrival(&self, id: usize) -> Arrival {
        Arrival {
            id,
            customer: self.customer,
            content: self.content,
            prompt: self.prompt,
            tokens: self.tokens,
            deadline: self.deadline,
        }
    }
}

/// Returns the time at which every request of a scenario is over, in microseconds.
pub(crate) fn end(scenario: &Scenario) -> u64 {
    let last = scenario.customers.iter().map(|c| c.deadline_ms).max();
    (scenario.seconds * 1e6) as u64 + last.unwrap_or(0) * 1_000 + 1_000
}

/// Draws the requests of a scenario, in order of arrival.
pub(crate) fn draw(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let capacity = bound::capacity(scenario, 0.0);
    let mut requests = Vec::new();
    let mut at = 0.0;
    while at < scenario.seconds {
        let phase = scenario.phases.iter().rev().find(|p| p.at <= at);
        let rate = capacity * phase.map_or(1.0, |p| p.factor);
        at += -f64::ln(1.0 - rng.random::<f64>()) / rate;
        let customer = pick(&scenario.customers, &mut rng);
        requests.push(request(scenario, at, customer, &mut rng));
    }
    for burst in &scenario.bursts {
        for _ in 0..burst.count {
            let at = burst.at + BURST_SPREAD * rng.random::<f64>();
            requests.push(request(scenario, at, 0, &mut rng));
        }
    }
    if let Some(every) = scenario.killer_every {
        let mut at = scenario.warmup;
        while at < scenario.seconds {
            let mut killer = request(scenario, at, 0, &mut rng);
            (killer.kills, killer.content) = (true, KILLER_CONTENT);
            requests.push(killer);
            at += every;
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}

fn pick(customers: &[CustomerSpec], rng: &mut ChaCha8Rng) -> usize {
    let mut draw = rng.random::<f64>();
    for (i, customer) in customers.iter().enumerate() {
        draw -= customer.part;
        if draw < 0.0 {
            return i;
        }
    }
    0
}

fn request(scenario: &Scenario, at: f64, customer: usize, rng: &mut ChaCha8Rng) -> Request {
    let at = (at * 1e6) as u64;
    Request {
        at,
        deadline: at + scenario.customers[customer].deadline_ms * 1_000,
        customer,
        prompt: rng.random_range(PROMPT),
        tokens: rng.random_range(TOKENS),
        content: rng.random::<u64>() >> 1,
        kills: false,
    }
}
