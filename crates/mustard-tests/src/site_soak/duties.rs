//! Checks that gateways keep to what servers said of themselves, stop running poison contents and
//! prompts with poison segments, and keep together to the limits that servers name.
//!
//! Each duty excuses a gateway that was disturbed: killed, stopped or frozen, or cut off from what the
//! duty depends on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mustard_fakes::site::{Arrival, Ledger, Notice, find_excess};

/// How long after an answer that says so a leaving server may still receive requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// How long after a refusal with a pause requests may still be under way to the server.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// The requests that may reach a server in the rest of the pause.
const MAX_SLIPPED: usize = 2;
/// The time without disturbance after which a gateway must know what the others know.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The ends of servers after which a content must be refused.
const MAX_ENDS: usize = 3;
/// The ends of servers after which requests with a segment are counted.
const MAX_SEGMENT_ENDS: usize = 5;
/// The retries of such a content, and the requests with such a segment, that may reach servers later on.
const MAX_RETRIES: usize = 3;

/// What a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disturbed {
    /// A gateway's process.
    Gateway(usize),
    /// The way from all gateways to a server.
    WayTo(usize),
    /// The store, or the way to it.
    Store,
}

/// The disturbances of a soak.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    spans: Vec<(Disturbed, Instant, Instant)>,
}

impl Record {
    /// Adds a disturbance that may last until a time.
    pub(super) fn add(&mut self, what: Disturbed, from: Instant, until: Instant) {
        self.spans.push((what, from, until));
    }

    fn has(&self, what: Disturbed, from: Instant, until: Instant) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|(w, begin, end)| *w == what && *begin <= until && *end >= from)
    }

    /// Tells whether a gateway was without disturbance for the contact time before a moment.
    fn is_in_touch(&self, gateway: usize, at: Instant) -> bool {
        let from = at.checked_sub(CONTACT_TIME).unwrap_or(at);
        !self.has(Disturbed::Gateway(gateway), from, at) && !self.has(Disturbed::Store, from, at)
    }
}

/// Returns the id of a request, from which [`gateway_of`] tells the gateway that it was sent to.
pub(super) fn request_id(kind: char, gateway: usize, number: u64) -> String {
    format!("{kind}{gateway}-{number:06}")
}

fn gateway_of(id: &str) -> Option<usize> {
    id.get(1..)?.split_once('-')?.0.parse().ok()
}

/// Returns a description of each duty that a gateway has neglected.
pub(super) fn find_neglected(ledger: &Ledger, record: &Record) -> Vec<String> {
    let mut found = find_notices_ignored(ledger, record);
    found.extend(find_poison_runs(ledger, record));
    found.extend(find_segment_runs(ledger, record));
    let in_touch = |a: &Arrival| gateway_of(&a.id).filter(|g| record.is_in_touch(*g, a.at));
    found.extend(find_excess(&ledger.arrivals, in_touch));
    found
}

/// Finds requests to server processes that wanted none, by what they had told the same gateway.
fn find_notices_ignored(ledger: &Ledger, record: &Record) -> Vec<String> {
    let mut groups: BTreeMap<(usize, usize, u64), Vec<&Arrival>> = BTreeMap::new();
    for arrival in &ledger.arrivals {
        if let Some(gateway) = gateway_of(&arrival.id) {
            let key = (gateway, arrival.server, arrival.incarnation);
            groups.entry(key).or_default().push(arrival);
        }
    }
    let mut found = Vec::new();
    for ((gateway, server, _), arrivals) in groups {
        let is_excused = |from, until| {
            record.has(Disturbed::Gateway(gateway), from, until)
                || record.has(Disturbed::WayTo(server), from, until)
        };
        for told in &arrivals {
            match told.notice {
                Notice::None => {}
                Notice::Leaving => {
                    let late = arrivals.iter().find(|a| a.at > told.at + DRAIN_TIME);
                    if let Some(late) = late.filter(|late| !is_excused(told.at, late.at)) {
                        found.push(format!(
                            "{} reached server {server} that was leaving",
                            late.id
                        ));
                        break;
                    }
                }
                Notice::Pause(pause) => {
                    let (from, until) = (told.at + IN_FLIGHT_TIME, told.at + pause);
                    let slipped = arrivals.iter().filter(|a| a.at > from && a.at < until);
                    let slipped = slipped.count();
                    if slipped > MAX_SLIPPED && !is_excused(told.at, told.at + pause) {
                        found.push(format!(
                            "{slipped} requests of gateway {gateway} reached server {server} in its pause"
                        ));
                        break;
                    }
                }
            }
        }
    }
    found
}

/// Finds poison contents that gateways in touch let run although they had ended enough servers.
fn find_poison_runs(ledger: &Ledger, record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for kind in POISON_KINDS {
        let mut ends = ledger.ended.iter().filter(|e| e.id.starts_with(kind));
        let Some(last_allowed) = ends.nth(MAX_ENDS - 1) else {
            continue;
        };
        let is_late = |a: &&Arrival| {
            a.id.starts_with(kind)
                && a.at > last_allowed.at + CONTACT_TIME
                && gateway_of(&a.id).is_some_and(|g| record.is_in_touch(g, a.at))
        };
        let late = ledger.arrivals.iter().filter(is_late).count();
        if late > MAX_RETRIES {
            found.push(format!(
                "poison content {kind} was sent to servers {late} times more"
            ));
        }
    }
    found
}

/// Finds poison segments with which gateways in touch let requests run although servers had ended
/// under them often enough.
fn find_segment_runs(ledger: &Ledger, record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for segment in POISON_SEGMENTS {
        let has_segment = |s: &Option<String>| s.as_deref() == Some(segment);
        let mut ends = ledger.ended.iter().filter(|e| has_segment(&e.segment));
        let Some(last_allowed) = ends.nth(MAX_SEGMENT_ENDS - 1) else {
            continue;
        };
        let is_late = |a: &&Arrival| {
            has_segment(&a.poison_segment)
                && a.at > last_allowed.at + CONTACT_TIME
                && gateway_of(&a.id).is_some_and(|g| record.is_in_touch(g, a.at))
        };
        let late: Vec<_> = ledger.arrivals.iter().filter(is_late).collect();
        if late.len() > MAX_RETRIES {
            let describe = |a: &&Arrival| {
                let after = a.at.duration_since(last_allowed.at);
                format!("{} after {} ms", a.id, after.as_millis())
            };
            let list: Vec<String> = late.iter().map(describe).collect();
            found.push(format!(
                "requests with segment {segment} were sent to servers {} times more: {}",
                late.len(),
                list.join(", ")
            ));
        }
    }
    found
}

/// The first letters of the ids of requests with poison contents: streams and bookings.
pub(super) const POISON_KINDS: [char; 2] = ['p', 'q'];
/// The first letter of the ids of requests with poison segments.
pub(super) const SEGMENT_KIND: char = 'g';
/// The poison segments.
pub(super) const POISON_SEGMENTS: [&str; 2] = ["dead0a", "dead0b"];
