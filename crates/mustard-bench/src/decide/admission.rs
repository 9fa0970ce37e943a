//! Cost of admission by the number of waiting requests and of customers.

use std::hint::black_box;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;
use mustard_policy::admission::{Admission, Forecast, Offer, Settings};

use super::Cost;

/// Numbers of waiting requests, for ten customers.
const WAITING_COUNTS: [usize; 4] = [10, 100, 1_000, 5_000];
/// Numbers of customers, for four waiting requests each.
const CUSTOMER_COUNTS: [usize; 4] = [10, 100, 400, 1_200];
const NOW: Moment = Moment::from_millis(1_000);

fn random_offer(customers: usize, rng: &mut ChaCha8Rng) -> Offer {
    let customer = format!("customer-{}", rng.random_range(0..customers));
    let deadline = NOW + Duration::from_secs(rng.random_range(10..20));
    Offer::new(&customer, 1, Class::Deadline, 32, deadline)
}

/// Creates an admission queue with waiting requests of random customers.
pub(super) fn filled_admission(
    waiting: usize,
    customers: usize,
    rng: &mut ChaCha8Rng,
) -> Admission {
    let mut admission = Admission::new(Settings::default());
    for _ in 0..waiting {
        let _ = admission.offer(NOW, random_offer(customers, rng));
    }
    admission
}

/// Measures an offer followed by the start of one request.
pub(crate) fn measure_costs(rounds: u32, rng: &mut ChaCha8Rng) -> Vec<Cost> {
    let mut costs = Vec::new();
    for waiting in WAITING_COUNTS {
        costs.push(measure_cost(
            "admit, by waiting",
            waiting,
            waiting,
            10,
            rounds,
            rng,
        ));
    }
    for customers in CUSTOMER_COUNTS {
        let waiting = customers * 4;
        costs.push(measure_cost(
            "admit, by customers",
            customers,
            waiting,
            customers,
            rounds,
            rng,
        ));
    }
    costs
}

fn measure_cost(
    name: &'static str,
    size: usize,
    waiting: usize,
    customers: usize,
    rounds: u32,
    rng: &mut ChaCha8Rng,
) -> Cost {
    let mut admission = filled_admission(waiting, customers, rng);
    let prepare = |round: u32| {
        let now = NOW + Duration::from_micros(u64::from(round));
        (now, random_offer(customers, rng))
    };
    let decide = |(now, offer): (Moment, Offer)| {
        let _ = black_box(admission.offer(now, offer));
        let mut has_room = true;
        let decisions = admission.poll(now, |_| {
            std::mem::take(&mut has_room).then(|| Forecast::new(50_000.0, 20_000.0))
        });
        for (ticket, _) in decisions {
            admission.finish(ticket, now, 32);
        }
    };
    Cost::measure(name, size, rounds, prepare, decide)
}
