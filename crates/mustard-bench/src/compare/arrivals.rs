//! The requests of a scenario, generated before it runs so that every policy gets the same ones.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::bound;
use super::policy::Arrival;
use super::scenario::{ANSWER_TOKENS, CustomerSpec, PROMPT_POSITIONS, Scenario};

/// The time over which the requests of a burst are spread.
const BURST_SPREAD_S: f64 = 0.2;
/// The content of every poison request; all other contents are below 2^63.
const POISON_CONTENT: u64 = u64::MAX;

/// A request of the simulated load; times are in microseconds since the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrived_at: u64,
    pub(crate) deadline: u64,
    /// The index of the customer in the scenario.
    pub(crate) customer: usize,
    /// The length of the prompt, in positions.
    pub(crate) prompt: u32,
    /// The length of the answer, in tokens.
    pub(crate) tokens: u32,
    /// Stands for the request's content; only poison requests share one.
    pub(crate) content: u64,
    /// Whether it kills every server that runs it.
    pub(crate) is_poison: bool,
}

impl Request {
    /// Returns the part of the request that a policy sees.
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

/// Returns a time after the last deadline of a scenario, in microseconds since its start.
pub(crate) fn end_us(scenario: &Scenario) -> u64 {
    let longest = scenario.customers.iter().map(|c| c.deadline_ms).max();
    (scenario.seconds * 1e6) as u64 + longest.unwrap_or(0) * 1_000 + 1_000
}

/// Generates the requests of a scenario, in order of arrival.
///
/// The base load is a Poisson process whose rate is the scenario's load factor times the capacity.
pub(crate) fn generate_requests(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let capacity = bound::capacity(scenario, 0.0);
    let mut requests = Vec::new();
    let mut at_s = 0.0;
    while at_s < scenario.seconds {
        let phase = scenario.phases.iter().rev().find(|p| p.start_s <= at_s);
        let rate = capacity * phase.map_or(1.0, |p| p.factor);
        at_s += -f64::ln(1.0 - rng.random::<f64>()) / rate;
        let customer = draw_customer(&scenario.customers, &mut rng);
        requests.push(draw_request(scenario, at_s, customer, &mut rng));
    }
    for burst in &scenario.bursts {
        for _ in 0..burst.count {
            let at_s = burst.at_s + BURST_SPREAD_S * rng.random::<f64>();
            requests.push(draw_request(scenario, at_s, 0, &mut rng));
        }
    }
    if let Some(interval_s) = scenario.poison_interval_s {
        let mut at_s = scenario.warmup_s;
        while at_s < scenario.seconds {
            let mut poison = draw_request(scenario, at_s, 0, &mut rng);
            (poison.is_poison, poison.content) = (true, POISON_CONTENT);
            requests.push(poison);
            at_s += interval_s;
        }
    }
    requests.sort_by_key(|r| r.arrived_at);
    requests
}

/// Draws the index of a customer by its fraction of the load.
fn draw_customer(customers: &[CustomerSpec], rng: &mut ChaCha8Rng) -> usize {
    let mut remainder = rng.random::<f64>();
    for (i, customer) in customers.iter().enumerate() {
        remainder -= customer.fraction;
        if remainder < 0.0 {
            return i;
        }
    }
    0
}

fn draw_request(scenario: &Scenario, at_s: f64, customer: usize, rng: &mut ChaCha8Rng) -> Request {
    let arrived_at = (at_s * 1e6) as u64;
    Request {
        arrived_at,
        deadline: arrived_at + scenario.customers[customer].deadline_ms * 1_000,
        customer,
        prompt: rng.random_range(PROMPT_POSITIONS),
        tokens: rng.random_range(ANSWER_TOKENS),
        content: rng.random::<u64>() >> 1,
        is_poison: false,
    }
}
