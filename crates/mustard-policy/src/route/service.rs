//! Choice of a server of a plain service.

use rand::Rng;

use mustard_core::clock::Moment;

use super::errors::{Result, RouteError};
use crate::fleet::{Fleet, Server, ServerKey, State};

/// The largest random surcharge on a server's cost, as a share of it; it spreads the calls of
/// entry processes with the same view.
const JITTER: f32 = 0.05;

/// Chooses the server with the least predicted time for a call.
///
/// Suspect servers are used only if there is no other.
///
/// # Errors
///
/// Returns [`RouteError::NoService`] if no server is available.
pub fn choose_service(
    fleet: &Fleet,
    service: &str,
    exclude: &[ServerKey],
    now: Moment,
    rng: &mut impl Rng,
) -> Result<ServerKey> {
    let mut best: Option<(bool, f32, ServerKey)> = None;
    for &key in fleet.service(service) {
        let Some(server) = fleet.get(key).filter(|_| !exclude.contains(&key)) else {
            continue;
        };
        let suspect = match server.stats().state() {
            State::Ready => false,
            State::Suspect => true,
            State::Leaving | State::Dead => continue,
        };
        let cost = call_cost(server, now) * (1.0 + JITTER * rng.random::<f32>());
        let better = best.is_none_or(|(s, c, _)| (suspect, cost) < (s, c));
        if better {
            best = Some((suspect, cost, key));
        }
    }
    best.map(|(_, _, key)| key).ok_or(RouteError::NoService)
}

/// Predicts the time of one more call at a server, in microseconds.
fn call_cost(server: &Server, now: Moment) -> f32 {
    let stats = server.stats();
    let work = stats.work(now) / stats.weight();
    stats.round_trip_us() + stats.call_us() * (work + 1.0)
}
