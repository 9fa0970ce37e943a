//! Enforces the limits of catalogue entries across all entry processes by short-lived grants.
//!
//! A grant lets one entry process admit a number of requests, and have a number of them in flight,
//! for a short time. Each catalogue entry has one grantor among the entry processes, which divides
//! the limits. In every process a holder keeps the grants of a catalogue entry and issues a permit
//! for each request. Holders ask for grants before they need them, so a caller's request waits only
//! if the grant of this process is missing or used up. `mustard_policy::limits` has the rules.

use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use mustard_core::catalogue::{Catalogue, Entry};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::ids::{Incarnation, Seq};
use mustard_platform::vms::Vm;
use mustard_policy::limits::{
    Demand, Denied, FIRST_GRANT_WAIT, Grant as PolicyGrant, GrantLimits, Grantor, Permit,
    SharedHolder, grantor_of,
};
use mustard_proto::limits::{Grant, GrantRequest};

use crate::api::{ApiError, Result};
use crate::app::{Shared, Worker};

/// The timeout of one request for a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(150);
/// The pause before a caller's request tries again to get a permit.
const RETRY_PAUSE: Duration = Duration::from_millis(3);
/// How often grantors are checked while the catalogue does not change.
const GRANTOR_INTERVAL: Duration = Duration::from_secs(1);
/// How often grants are checked for renewal.
const RENEW_INTERVAL: Duration = Duration::from_millis(20);

/// The grants held by this process and the grantors that it runs.
#[derive(Default)]
pub struct Quotas {
    holders: Mutex<Map<String, SharedHolder>>,
    grantors: Mutex<Map<String, Grantor>>,
    /// When the grantors were last checked, and at which catalogue change.
    last_check: Mutex<(Moment, Seq)>,
}

impl Quotas {
    /// Returns the holder of a catalogue entry's grants, with the limits in force; creates it if
    /// necessary.
    fn holder(&self, entry: &Entry) -> SharedHolder {
        let limits = GrantLimits::from(&entry.limits);
        let mut holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
        let holder = holders
            .entry(entry.name.clone())
            .or_insert_with(|| SharedHolder::new(limits));
        holder.with(|h| h.set_limits(limits));
        holder.clone()
    }

    fn holders(&self) -> Vec<(String, SharedHolder)> {
        let holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
        holders
            .iter()
            .map(|(n, h)| (n.clone(), h.clone()))
            .collect()
    }

    fn remove_entry(&self, entry: &str) {
        let mut holders = self.holders.lock().unwrap_or_else(PoisonError::into_inner);
        holders.remove(entry);
        let mut grantors = self.grantors.lock().unwrap_or_else(PoisonError::into_inner);
        grantors.remove(entry);
    }

    /// Creates the grantor of a catalogue entry unless it exists.
    fn ensure_grantor(&self, now: Moment, entry: &str, limits: GrantLimits) {
        let mut grantors = self.grantors.lock().unwrap_or_else(PoisonError::into_inner);
        if !grantors.contains_key(entry) {
            grantors.insert(entry.to_owned(), Grantor::new(limits, now));
        }
    }

    /// Returns whether the grantors should be checked: after a change of the catalogue, and
    /// periodically because entry processes join and leave.
    fn is_check_due(&self, now: Moment, seq: Seq) -> bool {
        let mut last_check = self
            .last_check
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last_check.1 == seq && now.since(last_check.0) < GRANTOR_INTERVAL {
            return false;
        }
        *last_check = (now, seq);
        true
    }

    /// Grants a part of a catalogue entry's limits to the asking process, one of `process_count`
    /// live entry processes.
    pub fn grant(
        &self,
        now: Moment,
        limits: GrantLimits,
        request: &GrantRequest,
        process_count: u32,
    ) -> PolicyGrant {
        let mut grantors = self.grantors.lock().unwrap_or_else(PoisonError::into_inner);
        let grantor = grantors
            .entry(request.entry.clone())
            .or_insert_with(|| Grantor::new(limits, now));
        grantor.set_limits(limits);
        grantor.ask(
            now,
            &request.from,
            request.want,
            request.running,
            process_count,
        )
    }
}

/// Acquires a permit for one request under the limits of its catalogue entry, and waits for a grant
/// if necessary.
///
/// # Errors
///
/// Returns when to retry if the limits are used up.
pub async fn acquire_permit(worker: &Rc<Worker>, entry: &Entry) -> Result<Permit> {
    let shared = &worker.shared;
    let holder = shared.quotas.holder(entry);
    let arrived = shared.process.now();
    loop {
        let now = shared.process.now();
        let denied = match holder.acquire(now) {
            Ok(permit) => return Ok(permit),
            Err(denied) => denied,
        };
        if !holder.with(|h| h.should_wait(denied, arrived, now)) {
            return Err(limit_error(denied));
        }
        renew(worker, &entry.name, &holder).await;
        sleep(RETRY_PAUSE).await;
    }
}

fn limit_error(denied: Denied) -> ApiError {
    let (what, retry) = match denied {
        Denied::NoGrant => ("requests", FIRST_GRANT_WAIT),
        Denied::Rate(retry) => ("requests per second", retry),
        Denied::Concurrency(retry) => ("requests in flight", retry),
    };
    ApiError::LimitUsed { what, retry }
}

/// Renews grants before they run out; never returns.
pub async fn renew_grants(worker: Rc<Worker>) {
    loop {
        sleep(RENEW_INTERVAL).await;
        let catalogue = worker.shared.catalogue.current();
        create_grantors(&worker.shared, &catalogue);
        for (name, holder) in worker.shared.quotas.holders() {
            match catalogue.entry(&name) {
                Some(_) => spawn_renewal(&worker, name, holder),
                None => worker.shared.quotas.remove_entry(&name),
            }
        }
    }
}

/// Creates the grantors that this process has to run, before the first request comes, so that their
/// token buckets are full by then.
fn create_grantors(shared: &Shared, catalogue: &Catalogue) {
    let now = shared.process.now();
    if !shared.quotas.is_check_due(now, catalogue.seq()) {
        return;
    }
    let peers = shared.servers.peers();
    for entry in catalogue.entries() {
        if remote_grantor(shared, &entry.name, &peers).is_none() {
            shared
                .quotas
                .ensure_grantor(now, &entry.name, GrantLimits::from(&entry.limits));
        }
    }
}

/// Requests a grant in a separate task if one is due.
fn spawn_renewal(worker: &Rc<Worker>, entry: String, holder: SharedHolder) {
    let now = worker.shared.process.now();
    // Most holders need no grant in most rounds, so a task is started only for those that do.
    let Some(demand) = holder.with(|h| h.next_demand(now)) else {
        return;
    };
    let worker = Rc::clone(worker);
    ntex::rt::spawn(async move { request_grant(&worker, &entry, &holder, now, demand).await });
}

/// Requests a grant if one is due.
async fn renew(worker: &Rc<Worker>, entry: &str, holder: &SharedHolder) {
    let now = worker.shared.process.now();
    if let Some(demand) = holder.with(|h| h.next_demand(now)) {
        request_grant(worker, entry, holder, now, demand).await;
    }
}

/// Requests the grant that a holder needed at `now` from the grantor, in this process or in another
/// one. If the other one does not answer, the holder falls back to an even part of the limits.
async fn request_grant(
    worker: &Rc<Worker>,
    entry: &str,
    holder: &SharedHolder,
    now: Moment,
    demand: Demand,
) {
    let shared = &worker.shared;
    let Demand { want, running } = demand;
    let request = GrantRequest {
        from: shared.process.name().to_owned(),
        entry: entry.to_owned(),
        want,
        running,
    };
    let peers = shared.servers.peers();
    let process_count = peers.len() as u32 + 1;
    match remote_grantor(shared, entry, &peers) {
        None => {
            let Some(limits) = current_limits(shared, entry) else {
                return;
            };
            let granted = shared.quotas.grant(now, limits, &request, process_count);
            holder.with(|h| h.add_grant(now, granted));
        }
        Some(peer) => {
            let answer = worker
                .client
                .call(peer.addr, Incarnation(0), request, GRANT_TIMEOUT)
                .await;
            match answer {
                Ok(grant) => holder.with(|h| h.add_grant(now, grant_from_wire(&grant))),
                Err(_) => {
                    let now = shared.process.now();
                    holder.with(|h| h.use_fallback(now, process_count));
                }
            }
        }
    }
}

/// Returns the other entry process that runs the grantor of a catalogue entry; `None` if this
/// process does.
fn remote_grantor<'a>(shared: &Shared, entry: &str, peers: &'a [Vm]) -> Option<&'a Vm> {
    let mut names: Vec<&str> = peers.iter().map(|vm| vm.name.as_str()).collect();
    names.push(shared.process.name());
    let chosen = grantor_of(entry, &names)?;
    peers.iter().find(|vm| vm.name == chosen)
}

/// Returns the limits in force of a catalogue entry; `None` if the catalogue does not have it.
pub fn current_limits(shared: &Shared, entry: &str) -> Option<GrantLimits> {
    let catalogue = shared.catalogue.current();
    catalogue.entry(entry).map(|e| GrantLimits::from(&e.limits))
}

/// Answers an entry process that requests a grant; the grant is empty if the catalogue in force
/// does not have the catalogue entry.
pub fn answer_grant_request(shared: &Arc<Shared>, request: &GrantRequest) -> Grant {
    let Some(limits) = current_limits(shared, &request.entry) else {
        return Grant::default();
    };
    let process_count = shared.servers.peers().len() as u32 + 1;
    let granted = shared
        .quotas
        .grant(shared.process.now(), limits, request, process_count);
    Grant {
        requests: granted.requests,
        slots: granted.slots,
        valid_ms: granted.valid_for.as_millis() as u64,
        retry_ms: granted.retry_after.as_millis() as u64,
    }
}

fn grant_from_wire(grant: &Grant) -> PolicyGrant {
    PolicyGrant {
        requests: grant.requests,
        slots: grant.slots,
        valid_for: Duration::from_millis(grant.valid_ms),
        retry_after: Duration::from_millis(grant.retry_ms),
    }
}
