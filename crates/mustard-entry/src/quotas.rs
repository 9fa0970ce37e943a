//! Limits of catalogue entries over all entry processes, by short grants.
//!
//! Each catalogue entry has a grantor among the entry processes. The others ask it for grants
//! ahead of need; a request waits for an answer only if this process holds no grant at all.

use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use mustard_core::catalogue::{Catalogue, Entry};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::ids::{Incarnation, Seq};
use mustard_platform::vms::Vm;
use mustard_policy::limits::{
    Demand, Denied, Grant as Part, Grantor, Meter, Permit, Rule, grantor_of,
};
use mustard_proto::limits::{Grant, GrantAsk};

use crate::api::{ApiError, Result};
use crate::app::{Shared, Worker};

const ASK_LIMIT: Duration = Duration::from_millis(150);
/// How long a request waits for the first grant.
const FIRST_GRANT: Duration = Duration::from_millis(400);
/// How long a request waits for a further grant before it is refused.
const NEXT_GRANT: Duration = Duration::from_millis(25);
const FIRST_PAUSE: Duration = Duration::from_millis(3);
const LOOK_EVERY: Duration = Duration::from_secs(1);
const RENEW_EVERY: Duration = Duration::from_millis(20);

/// The grants held here and the limits granted from here.
#[derive(Default)]
pub struct Quotas {
    meters: Mutex<Map<String, Meter>>,
    grantors: Mutex<Map<String, Grantor>>,
    /// When the grantors were last looked through, and under which change.
    looked: Mutex<(Moment, Seq)>,
}

impl Quotas {
    /// Returns the meter of a catalogue entry under its limits in force.
    fn meter(&self, entry: &Entry) -> Meter {
        let rule = Rule::from(&entry.limits);
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        let meter = meters
            .entry(entry.name.clone())
            .or_insert_with(|| Meter::new(rule));
        meter.with(|holder| holder.set_rule(rule));
        meter.clone()
    }

    fn meters(&self) -> Vec<(String, Meter)> {
        let meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        meters.iter().map(|(n, m)| (n.clone(), m.clone())).collect()
    }

    fn forget(&self, entry: &str) {
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        meters.remove(entry);
        let mut grantors = self.grantors.lock().unwrap_or_else(PoisonError::into_inner);
        grantors.remove(entry);
    }

    /// Creates the grantor of an entry unless it exists.
    fn open(&self, now: Moment, entry: &str, rule: Rule) {
        let mut grantors = self.grantors.lock().unwrap_or_else(PoisonError::into_inner);
        if !grantors.contains_key(entry) {
            grantors.insert(entry.to_owned(), Grantor::new(rule, now));
        }
    }

    /// Tells whether the grantors should be looked through: after a change of the catalogue and
    /// from time to time, as entry processes come and go.
    fn is_due(&self, now: Moment, seq: Seq) -> bool {
        let mut looked = self.looked.lock().unwrap_or_else(PoisonError::into_inner);
        if looked.1 == seq && now.since(looked.0) < LOOK_EVERY {
            return false;
        }
        *looked = (now, seq);
        true
    }

    /// Grants a part of an entry's limits to a process.
    pub fn grant(&self, now: Moment, rule: Rule, ask: &GrantAsk, live: u32) -> Part {
        let mut grantors = self.grantors.lock().unwrap_or_else(PoisonError::into_inner);
        let grantor = grantors
            .entry(ask.entry.clone())
            .or_insert_with(|| Grantor::new(rule, now));
        grantor.set_rule(rule);
        grantor.ask(now, &ask.from, ask.want, ask.running, live)
    }
}

/// Takes a permit for one request under the limits of its catalogue entry.
///
/// # Errors
///
/// Returns when to come back if the limits are used up.
pub async fn permit(worker: &Rc<Worker>, entry: &Entry) -> Result<Permit> {
    let shared = &worker.shared;
    let meter = shared.quotas.meter(entry);
    let started = Instant::now();
    loop {
        let denied = match meter.begin(shared.process.now()) {
            Ok(permit) => return Ok(permit),
            Err(denied) => denied,
        };
        let patience = match denied {
            Denied::NoGrant => FIRST_GRANT,
            _ => NEXT_GRANT,
        };
        if started.elapsed() >= patience {
            return Err(refusal(denied));
        }
        renew(worker, &entry.name, &meter).await;
        sleep(FIRST_PAUSE).await;
    }
}

fn refusal(denied: Denied) -> ApiError {
    let (what, retry) = match denied {
        Denied::NoGrant => ("requests", FIRST_GRANT),
        Denied::Rate(retry) => ("requests per second", retry),
        Denied::Concurrency(retry) => ("requests in flight", retry),
    };
    ApiError::LimitUsed { what, retry }
}

/// Renews grants before they run out, for ever.
pub async fn run(worker: Rc<Worker>) {
    loop {
        sleep(RENEW_EVERY).await;
        let catalogue = worker.shared.catalogue.current();
        stand_ready(&worker.shared, &catalogue);
        for (name, meter) in worker.shared.quotas.meters() {
            match catalogue.entry(&name) {
                Some(_) => renew_apart(&worker, name, meter),
                None => worker.shared.quotas.forget(&name),
            }
        }
    }
}

/// Creates the grantors that belong to this process, so that their limits are filled when the
/// first request comes.
fn stand_ready(shared: &Shared, catalogue: &Catalogue) {
    let now = shared.process.now();
    if !shared.quotas.is_due(now, catalogue.seq()) {
        return;
    }
    let peers = shared.servers.peers();
    for entry in catalogue.entries() {
        if grantor(shared, &entry.name, &peers).is_none() {
            shared
                .quotas
                .open(now, &entry.name, Rule::from(&entry.limits));
        }
    }
}

/// Asks the grantor in a task of its own if it is time to ask.
fn renew_apart(worker: &Rc<Worker>, entry: String, meter: Meter) {
    let now = worker.shared.process.now();
    // Most meters need nothing in most rounds, so the task is started for those that do.
    let Some(demand) = meter.with(|holder| holder.demand(now)) else {
        return;
    };
    let worker = Rc::clone(worker);
    ntex::rt::spawn(async move { ask(&worker, &entry, &meter, now, demand).await });
}

/// Asks the grantor if it is time to ask.
async fn renew(worker: &Rc<Worker>, entry: &str, meter: &Meter) {
    let now = worker.shared.process.now();
    if let Some(demand) = meter.with(|holder| holder.demand(now)) {
        ask(worker, entry, meter, now, demand).await;
    }
}

/// Asks the grantor for what a holder needed at `now`.
async fn ask(worker: &Rc<Worker>, entry: &str, meter: &Meter, now: Moment, demand: Demand) {
    let shared = &worker.shared;
    let Demand { want, running } = demand;
    let ask = GrantAsk {
        from: shared.process.name().to_owned(),
        entry: entry.to_owned(),
        want,
        running,
    };
    let peers = shared.servers.peers();
    let live = peers.len() as u32 + 1;
    match grantor(shared, entry, &peers) {
        None => {
            let Some(rule) = rule_of(shared, entry) else {
                return;
            };
            let part = shared.quotas.grant(now, rule, &ask, live);
            meter.with(|holder| holder.grant(now, part));
        }
        Some(peer) => {
            let answer = worker
                .client
                .call(peer.addr, Incarnation(0), ask, ASK_LIMIT)
                .await;
            match answer {
                Ok(grant) => meter.with(|holder| holder.grant(now, part_of(&grant))),
                Err(_) => {
                    let now = shared.process.now();
                    meter.with(|holder| holder.unreachable(now, live));
                }
            }
        }
    }
}

/// Returns the peer that grants an entry's limits, or none if this process does.
fn grantor<'a>(shared: &Shared, entry: &str, peers: &'a [Vm]) -> Option<&'a Vm> {
    let mut names: Vec<&str> = peers.iter().map(|vm| vm.name.as_str()).collect();
    names.push(shared.process.name());
    let chosen = grantor_of(entry, &names)?;
    peers.iter().find(|vm| vm.name == chosen)
}

/// Returns the limits in force of an entry.
pub fn rule_of(shared: &Shared, entry: &str) -> Option<Rule> {
    let catalogue = shared.catalogue.current();
    catalogue.entry(entry).map(|e| Rule::from(&e.limits))
}

/// Answers a process that asks for a grant; an entry unknown here grants nothing.
pub fn answer(shared: &Arc<Shared>, ask: &GrantAsk) -> Grant {
    let Some(rule) = rule_of(shared, &ask.entry) else {
        return Grant::default();
    };
    let live = shared.servers.peers().len() as u32 + 1;
    let part = shared.quotas.grant(shared.process.now(), rule, ask, live);
    Grant {
        requests: part.requests,
        slots: part.slots,
        valid_ms: part.valid.as_millis() as u64,
        retry_ms: part.retry.as_millis() as u64,
    }
}

fn part_of(grant: &Grant) -> Part {
    Part {
        requests: grant.requests,
        slots: grant.slots,
        valid: Duration::from_millis(grant.valid_ms),
        retry: Duration::from_millis(grant.retry_ms),
    }
}
