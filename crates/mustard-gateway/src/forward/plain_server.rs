//! Chooses a server of a plain service; the policy is [`balance`](mustard_policy::balance).

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_policy::balance::{Candidate, choose_server};

use crate::app::App;
use crate::fleet::{Server, ServerKey};

/// How long after the end of a server's backoff its fault counts in the choice, unless it answered since.
const FAULT_MEMORY: Duration = Duration::from_secs(8);

/// Chooses a server of a service among those that a filter admits.
pub(super) fn choose_plain_server(
    app: &App,
    service: &str,
    now: Moment,
    is_admitted: impl Fn(ServerKey, &Server) -> bool,
) -> Option<ServerKey> {
    let fleet = app.fleet.borrow();
    let servers = fleet.iter();
    let servers = servers.filter(|(key, s)| s.entry.service == service && is_admitted(*key, s));
    let candidates: Vec<Candidate<ServerKey>> = servers
        .map(|(key, s)| Candidate {
            key,
            running: s.running,
            is_near: s.entry.domain == app.node.domain,
            answer_time: answer_time(s, now),
        })
        .collect();
    choose_server(&candidates, &mut *app.rng.borrow_mut())
}

/// Returns the recent answer time of a server, which is the longest possible one after a fault.
fn answer_time(server: &Server, now: Moment) -> Option<Duration> {
    let until = server.backoff.until();
    if until > Moment::default() && now.since(until) < FAULT_MEMORY {
        return Some(Duration::MAX);
    }
    server.answer_time.get(now)
}
