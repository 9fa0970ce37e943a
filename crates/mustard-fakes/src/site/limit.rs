//! Checks that the clients of a server keep together to the limit that it names.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Arrival;

/// The time after a server first named a limit from which on it must be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The time after an answer that names the limit from which on its client must keep to it.
const KNOWN_TIME: Duration = Duration::from_millis(500);
/// The time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The requests in that time, as a multiple of those that the limit allows, and further ones.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Returns a description of each server process that got more requests than allowed in some time
/// from clients that it had told of its limit.
///
/// `client_of` returns the client that sent a request, or `None` if the request doesn't count.
pub fn find_excess(
    arrivals: &[Arrival],
    client_of: impl Fn(&Arrival) -> Option<usize>,
) -> Vec<String> {
    let mut groups: BTreeMap<(usize, u64), Vec<&Arrival>> = BTreeMap::new();
    for arrival in arrivals {
        let key = (arrival.server, arrival.incarnation);
        groups.entry(key).or_default().push(arrival);
    }
    let checked = groups.into_iter();
    checked
        .filter_map(|((server, _), arrivals)| find_excess_at(server, &arrivals, &client_of))
        .collect()
}

fn find_excess_at(
    server: usize,
    arrivals: &[&Arrival],
    client_of: &impl Fn(&Arrival) -> Option<usize>,
) -> Option<String> {
    let first_named = arrivals.iter().find(|a| a.limit.is_some())?.at;
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut counted: Vec<&Arrival> = Vec::new();
    for arrival in arrivals {
        let Some(client) = client_of(arrival) else {
            continue;
        };
        let knows = told
            .get(&client)
            .is_some_and(|t| arrival.at >= *t + KNOWN_TIME);
        if knows && arrival.at >= first_named + CONTACT_TIME {
            counted.push(arrival);
        }
        if arrival.limit.is_some() {
            told.entry(client).or_insert(arrival.at);
        }
    }
    for (i, last) in counted.iter().enumerate() {
        let from = last.at.checked_sub(WINDOW).unwrap_or(last.at);
        let window = counted[..=i].iter().filter(|a| a.at > from);
        let count = window.count();
        // The highest limit since shortly before, as clients learn of a lower one by the next answer.
        let known = from.checked_sub(KNOWN_TIME).unwrap_or(from);
        let named = arrivals.iter().filter(|a| a.at >= known && a.at <= last.at);
        let limit = named
            .map(|a| a.limit.unwrap_or(f64::INFINITY))
            .fold(0.0, f64::max);
        let allowed = FACTOR * limit * WINDOW.as_secs_f64() + SLACK;
        if count as f64 > allowed {
            return Some(format!(
                "server {server} with a limit of {limit} a second got {count} requests in 4 s, allowed {allowed:.1}"
            ));
        }
    }
    None
}
