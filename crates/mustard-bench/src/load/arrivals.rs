//! When requests arrive and what they ask for.

use std::f64::consts::TAU;
use std::time::Duration;

use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Args;

/// Bursts within one run of [`Scenario::DeadlineWeek`].
const BURSTS: f64 = 4.0;
/// The length of a burst as a share of the time from the start of one to the start of the next.
const BURST_SHARE: f64 = 0.2;
/// The rate within a burst, as a multiple of the mean.
const BURST_FACTOR: f64 = 3.5;
/// Requests of one classroom, which arrive within [`CLASS_SPREAD_SECONDS`].
const CLASS_SIZE: usize = 24;
const CLASS_SPREAD_SECONDS: f64 = 2.0;

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Scenario {
    /// At a constant mean rate.
    Steady,
    /// In bursts, as before press deadlines, with a slowly varying rate between them.
    DeadlineWeek,
    /// In groups: a whole classroom sends its requests within two seconds.
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

/// A scheduled request.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Its index among all arrivals.
    pub(crate) number: usize,
    /// When it is due, from the start of the run.
    pub(crate) offset: Duration,
    /// What it asks for.
    pub(crate) kind: Kind,
    /// A random number that makes its prompt or idempotency key differ from others.
    pub(crate) salt: u32,
}

/// Draws all arrivals of a run and returns them in order of time.
pub(crate) fn schedule(args: &Args) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut times = match args.scenario {
        Scenario::Classroom => draw_classroom_times(args, &mut rng),
        scenario => draw_poisson_times(args, scenario, &mut rng),
    };
    times.sort_by(f64::total_cmp);
    let mut arrivals = Vec::with_capacity(times.len());
    for (number, at) in times.into_iter().enumerate() {
        arrivals.push(Arrival {
            number,
            offset: Duration::from_secs_f64(at),
            kind: draw_kind(args, &mut rng),
            salt: rng.random(),
        });
    }
    arrivals
}

fn draw_kind(args: &Args, rng: &mut ChaCha8Rng) -> Kind {
    let draw: f64 = rng.random();
    if draw < args.bookings {
        Kind::Booking
    } else if draw < args.bookings + args.reads {
        Kind::Read
    } else {
        Kind::Draft
    }
}

/// Draws a Poisson process of varying rate by thinning one that has the highest rate throughout.
fn draw_poisson_times(args: &Args, scenario: Scenario, rng: &mut ChaCha8Rng) -> Vec<f64> {
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

/// Returns the rate at a point of the run, from 0 at its start to 1 at its end.
fn rate_at(args: &Args, scenario: Scenario, progress: f64) -> f64 {
    if scenario != Scenario::DeadlineWeek {
        return args.rate;
    }
    let in_burst = (progress * BURSTS).fract() > 1.0 - BURST_SHARE;
    if in_burst {
        return args.rate * BURST_FACTOR;
    }
    // The lower rate between bursts keeps the mean over the whole run at the requested rate.
    let quiet = args.rate * (1.0 - BURST_SHARE * BURST_FACTOR) / (1.0 - BURST_SHARE);
    quiet * (1.0 + 0.3 * (progress * TAU).sin())
}

/// Draws a start for each classroom and spreads its requests after it.
fn draw_classroom_times(args: &Args, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let seconds = args.seconds as f64;
    let count = (args.rate * seconds / CLASS_SIZE as f64).round().max(1.0) as usize;
    let mut times = Vec::with_capacity(count * CLASS_SIZE);
    for _ in 0..count {
        let start = rng.random::<f64>() * (seconds - CLASS_SPREAD_SECONDS).max(0.0);
        times.extend((0..CLASS_SIZE).map(|_| start + rng.random::<f64>() * CLASS_SPREAD_SECONDS));
    }
    times
}
