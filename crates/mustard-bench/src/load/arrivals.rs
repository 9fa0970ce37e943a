//! When requests arrive and what they ask for.

use std::f64::consts::TAU;
use std::time::Duration;

use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Args;

/// Bursts of a deadline week within one run.
const BURSTS: f64 = 4.0;
/// The length of a burst as a part of the time between two.
const BURST_PART: f64 = 0.2;
/// The rate within a burst, as a multiple of the mean.
const BURST_FACTOR: f64 = 3.5;
/// Requests of one classroom, which arrive within [`CLASS_SPREAD`].
const CLASS_SIZE: usize = 24;
const CLASS_SPREAD: f64 = 2.0;

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Scenario {
    /// At a constant mean rate.
    Steady,
    /// In bursts before press deadlines, with a slow swell between them.
    DeadlineWeek,
    /// In groups: a whole classroom asks within two seconds.
    Classroom,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A streamed draft.
    Draft,
    /// A booking, which must not run twice.
    Booking,
    /// A status read.
    Read,
}

/// One request to come.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Its place among all arrivals.
    pub(crate) number: usize,
    /// When it is due, counted from the start.
    pub(crate) after: Duration,
    /// What it asks for.
    pub(crate) kind: Kind,
    /// Distinguishes its prompt or key from every other.
    pub(crate) salt: u32,
}

/// Returns all arrivals of a run in order.
pub(crate) fn schedule(args: &Args) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut times = match args.scenario {
        Scenario::Classroom => classes(args, &mut rng),
        scenario => thinned(args, scenario, &mut rng),
    };
    times.sort_by(f64::total_cmp);
    let mut arrivals = Vec::with_capacity(times.len());
    for (number, at) in times.into_iter().enumerate() {
        arrivals.push(Arrival {
            number,
            after: Duration::from_secs_f64(at),
            kind: kind(args, &mut rng),
            salt: rng.random(),
        });
    }
    arrivals
}

fn kind(args: &Args, rng: &mut ChaCha8Rng) -> Kind {
    let draw: f64 = rng.random();
    if draw < args.bookings {
        Kind::Booking
    } else if draw < args.bookings + args.reads {
        Kind::Read
    } else {
        Kind::Draft
    }
}

/// Draws a Poisson process of varying rate by thinning one of the highest rate.
fn thinned(args: &Args, scenario: Scenario, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let seconds = args.seconds as f64;
    let highest = args.rate * BURST_FACTOR;
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / highest;
        if at >= seconds {
            return times;
        }
        if rng.random::<f64>() * highest < rate_at(args, scenario, at / seconds) {
            times.push(at);
        }
    }
}

fn rate_at(args: &Args, scenario: Scenario, part: f64) -> f64 {
    if scenario != Scenario::DeadlineWeek {
        return args.rate;
    }
    let in_burst = (part * BURSTS).fract() > 1.0 - BURST_PART;
    if in_burst {
        return args.rate * BURST_FACTOR;
    }
    // The quiet part keeps the mean over the whole run at the rate asked for.
    let quiet = args.rate * (1.0 - BURST_PART * BURST_FACTOR) / (1.0 - BURST_PART);
    quiet * (1.0 + 0.3 * (part * TAU).sin())
}

fn classes(args: &Args, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let seconds = args.seconds as f64;
    let count = (args.rate * seconds / CLASS_SIZE as f64).round().max(1.0) as usize;
    let mut times = Vec::with_capacity(count * CLASS_SIZE);
    for _ in 0..count {
        let begins = rng.random::<f64>() * (seconds - CLASS_SPREAD).max(0.0);
        times.extend((0..CLASS_SIZE).map(|_| begins + rng.random::<f64>() * CLASS_SPREAD));
    }
    times
}
