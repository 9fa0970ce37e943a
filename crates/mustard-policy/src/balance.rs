//! The choice among the servers of a plain service, whose requests each run on one server.
//!
//! Of two servers taken at random, the one that runs fewer requests of this gateway is chosen. Gateways
//! know only their own requests, so that a rule without chance, such as the first server with the fewest
//! requests, makes all gateways choose the same server while they send few requests each.

use std::time::Duration;

use rand::Rng;

use mustard_core::clock::Moment;

/// The weight of an answer in the mean of a server's answer times.
const ANSWER_WEIGHT: f64 = 0.2;
/// How long a mean is used after its last answer. A gateway that sends half a request per second to six
/// servers measures each of them about every 12 s. A server that was slow is tried again after this time.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(30);
/// A server counts as slower if its mean is longer by this factor. Means of few answers differ by chance,
/// and without a factor the fastest server of a service would get most requests.
const SLOWER_FACTOR: f64 = 2.0;
/// The least difference by which a server counts as slower. Timers of a gateway with a tenth of a core fire
/// late by about as much.
const MIN_DIFFERENCE: Duration = Duration::from_millis(10);
/// How often a slower server is chosen all the same, so that a single slow answer doesn't keep it out of use
/// until the answer expires.
const TRIAL_SHARE: f64 = 0.125;

/// The mean of the recent answer times of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    seconds: f64,
    measured_at: Option<Moment>,
}

impl AnswerTime {
    /// Records how long an answer took, or how long one took at least that was not waited for.
    pub fn record(&mut self, now: Moment, took: Duration) {
        let took = took.as_secs_f64();
        self.seconds = match self.get(now) {
            Some(mean) => {
                let mean = mean.as_secs_f64();
                mean + ANSWER_WEIGHT * (took - mean)
            }
            None => took,
        };
        self.measured_at = Some(now);
    }

    /// Returns the mean, unless the last answer is too old.
    pub fn get(&self, now: Moment) -> Option<Duration> {
        let measured_at = self.measured_at?;
        (now.since(measured_at) < MAX_ANSWER_AGE).then(|| Duration::from_secs_f64(self.seconds))
    }
}

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// What identifies the server.
    pub key: K,
    /// The requests of this gateway that it runs.
    pub running: u32,
    /// Whether it is in the gateway's own failure domain.
    pub is_near: bool,
    /// Its recent answer time, if it was measured; [`Duration::MAX`] after a fault.
    pub answer_time: Option<Duration>,
}

/// Chooses a server; `None` without candidates.
///
/// A server in another failure domain is chosen only if it runs fewer requests, or as many if the one in the own
/// domain has failed.
pub fn choose_server<K: Copy>(candidates: &[Candidate<K>], rng: &mut impl Rng) -> Option<K> {
    let near = choose_of_two(candidates, true, rng);
    let far = choose_of_two(candidates, false, rng);
    let chosen = match (near, far) {
        (Some(near), Some(far)) if far.running < near.running => far,
        (Some(near), Some(far))
            if far.running == near.running && has_failed(near) && !has_failed(far) =>
        {
            far
        }
        (Some(near), _) => near,
        (None, far) => far?,
    };
    Some(chosen.key)
}

/// Returns the better of two random candidates that are near or not near.
fn choose_of_two<'a, K>(
    candidates: &'a [Candidate<K>],
    is_near: bool,
    rng: &mut impl Rng,
) -> Option<&'a Candidate<K>> {
    let group: Vec<&Candidate<K>> = candidates.iter().filter(|c| c.is_near == is_near).collect();
    if group.len() < 2 {
        return group.first().copied();
    }
    let first = rng.random_range(0..group.len());
    let offset = rng.random_range(1..group.len());
    let (a, b) = (group[first], group[(first + offset) % group.len()]);
    if a.running == b.running && has_failed(a) != has_failed(b) {
        return Some(if has_failed(a) { b } else { a });
    }
    let is_tie = b.running == a.running;
    let prefers_b =
        b.running < a.running || (is_tie && is_slower(a, b) && rng.random::<f64>() >= TRIAL_SHARE);
    Some(if prefers_b { b } else { a })
}

fn has_failed<K>(candidate: &Candidate<K>) -> bool {
    candidate.answer_time == Some(Duration::MAX)
}

/// Returns whether a server answers more slowly than another one; false if either isn't measured.
fn is_slower<K>(server: &Candidate<K>, other: &Candidate<K>) -> bool {
    match (server.answer_time, other.answer_time) {
        (Some(time), Some(other)) => {
            time > other.saturating_add(MIN_DIFFERENCE)
                && time.as_secs_f64() > SLOWER_FACTOR * other.as_secs_f64()
        }
        _ => false,
    }
}
