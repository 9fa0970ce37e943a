//! The driver's ports, implemented over the network.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout, timeout_at};

use mustard_core::fingerprint::{Fingerprint, KeyHash};
use mustard_core::ids::{Epoch, RequestId, Seq};
use mustard_net::CallError;
use mustard_policy::fleet::{Fleet, ServerKey};
use mustard_policy::quarantine::Standing;
use mustard_policy::route::{Query, choose_plan};
use mustard_policy::separation::reserved_elsewhere;
use mustard_proto::Refusal;
use mustard_proto::agent::Heartbeat;
use mustard_proto::step::{Cancel, Output, Step};

use crate::admission::{AdmittedRequest, build_chain};
use crate::app::Worker;
use crate::driver::{AttemptDenial, Chain, ChainRequest, NoChain, Ports};
use crate::metric;
use crate::suspects::{self, Broadcast, RunGuard};

/// The timeout of a heartbeat that shows, after a step timed out, whether an agent still answers.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// The timeout of one cancellation message.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
const CANCEL_ATTEMPTS: u32 = 2;
/// The number of servers that died while they ran a content, from which on a running request is
/// retried only in isolation. A single death is more likely the fault of the server itself.
const DEATHS_TO_ISOLATE: usize = 2;
/// When a caller should retry if no chain can be chosen.
const NO_CHAIN_RETRY: Duration = Duration::from_millis(500);

/// The catalogue entry and key under which one request runs, with its content and deadline.
pub struct RequestScope {
    /// The name of the catalogue entry.
    pub entry: String,
    /// The digest of the caller's bearer key.
    pub bearer_key: KeyHash,
    /// The digest of the content.
    pub fingerprint: Fingerprint,
    /// When the whole answer must be delivered.
    pub deadline: Instant,
}

/// The ports of one completion request, over the connections of one worker thread.
pub struct NetPorts {
    worker: Rc<Worker>,
    scope: RequestScope,
    admitted: RefCell<AdmittedRequest>,
    tokens: u32,
    attempts: Cell<u32>,
    isolation: RefCell<Option<OwnedSemaphorePermit>>,
    run_guard: RefCell<Option<RunGuard>>,
    broadcast: RefCell<Broadcast>,
}

impl NetPorts {
    /// Creates the ports of an admitted request that generates `tokens` tokens.
    ///
    /// `isolation` is the permit to run isolated from other suspect contents; a request whose
    /// content was suspect before admission has it already.
    pub fn new(
        worker: Rc<Worker>,
        scope: RequestScope,
        admitted: AdmittedRequest,
        isolation: Option<OwnedSemaphorePermit>,
        tokens: u32,
    ) -> Self {
        NetPorts {
            worker,
            scope,
            admitted: RefCell::new(admitted),
            tokens,
            attempts: Cell::new(0),
            isolation: RefCell::new(isolation),
            run_guard: RefCell::new(None),
            broadcast: RefCell::default(),
        }
    }

    /// Records that the request was answered completely, which clears a suspect content.
    pub fn finish(self) {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        if shared.suspects.standing(now, self.scope.fingerprint) == Standing::Suspect {
            shared.suspects.clear(now, self.scope.fingerprint);
        }
        self.admitted.into_inner().finish(self.tokens);
    }

    /// Waits until no other suspect content runs isolated in this process, if at least
    /// [`DEATHS_TO_ISOLATE`] servers died while they ran the content of this request.
    ///
    /// After the first death the requests that ran in the server's batch are retried at once.
    async fn ensure_isolated(&self) -> Result<(), AttemptDenial> {
        let shared = &self.worker.shared;
        let isolated = self.isolation.borrow().is_some();
        let now = shared.process.now();
        let deaths = shared.suspects.death_count(now, self.scope.fingerprint);
        if isolated || deaths < DEATHS_TO_ISOLATE {
            return Ok(());
        }
        *self.run_guard.borrow_mut() = None;
        let permit = timeout_at(self.scope.deadline, shared.suspects.acquire_isolation()).await;
        *self.isolation.borrow_mut() = permit.map_err(|_| AttemptDenial::DeadlinePassed)?;
        Ok(())
    }

    fn find_chain(&self, chain_request: &ChainRequest) -> Result<Chain, NoChain> {
        let no_chain = |occupied| NoChain {
            retry: NO_CHAIN_RETRY,
            occupied,
        };
        let admitted_chain = self.admitted.borrow_mut().take_chain();
        if let (Some(chain), None) = (admitted_chain, &*self.isolation.borrow()) {
            return Ok(chain);
        }
        let shared = &self.worker.shared;
        let fleet = shared.servers.view();
        let now = shared.process.now();
        let mut avoid: Vec<ServerKey> = chain_request
            .avoid
            .iter()
            .filter_map(|n| fleet.find(n))
            .collect();
        let plan = |avoid: &[ServerKey]| {
            let query = Query::new(
                &chain_request.model,
                chain_request.layers,
                chain_request.positions,
                self.tokens,
            )
            .exclude(avoid);
            choose_plan(&fleet, &query, now, &mut rand::rng()).ok()
        };
        if self.isolation.borrow().is_none() {
            let chain = plan(&avoid).and_then(|p| build_chain(&fleet, &p));
            return chain.ok_or(no_chain(false));
        }
        let occupied_names = shared
            .suspects
            .occupied_servers(now, self.scope.fingerprint);
        avoid.extend(occupied_names.iter().filter_map(|n| fleet.find(n)));
        let mut reserved = self.reserved_elsewhere(&fleet, &chain_request.model);
        reserved.extend_from_slice(&avoid);
        // Reserved servers are used only as the last resort. If other suspect contents occupy
        // servers, the request waits instead, because those become free again; servers that failed
        // under this request may not.
        let plan_on_reserved = || occupied_names.is_empty().then(|| plan(&avoid)).flatten();
        let found = plan(&reserved).or_else(plan_on_reserved);
        let chain = found.and_then(|p| build_chain(&fleet, &p));
        chain.ok_or(no_chain(!occupied_names.is_empty()))
    }

    /// Returns the servers that are reserved for suspect contents of other entry processes.
    fn reserved_elsewhere(&self, fleet: &Fleet, model: &str) -> Vec<ServerKey> {
        let shared = &self.worker.shared;
        let peers = shared.servers.peers();
        let this_process = shared.process.name();
        let entry_processes: Vec<&str> = peers
            .iter()
            .map(|vm| vm.name.as_str())
            .chain([this_process])
            .collect();
        reserved_elsewhere(fleet, model, this_process, &entry_processes)
    }
}

impl Ports for NetPorts {
    fn choose_chain(&self, chain_request: &ChainRequest) -> Result<Chain, NoChain> {
        let chain = self.find_chain(chain_request)?;
        let suspects = &self.worker.shared.suspects;
        // The guard of the earlier attempt is dropped before the new one is created.
        *self.run_guard.borrow_mut() = None;
        let run_guard = suspects.track_running(&chain.names, self.scope.fingerprint);
        *self.run_guard.borrow_mut() = Some(run_guard);
        Ok(chain)
    }

    async fn run_step(
        &self,
        chain: &Chain,
        step: Step,
        limit: Duration,
    ) -> Result<Output, CallError> {
        let first_hop = &chain.hops[0];
        let client = &self.worker.client;
        let started = Instant::now();
        let result = client
            .call(first_hop.addr, first_hop.incarnation, step, limit)
            .await;
        metric::record_step(started.elapsed(), result.is_ok());
        if let Err(error) = &result {
            metric::count_failed_attempt(failure_reason(error));
        }
        result
    }

    async fn probe_agents(&self, chain: &Chain) -> Vec<String> {
        let mut probes = Vec::new();
        for (hop, name) in chain.hops.iter().zip(&chain.names) {
            let client = self.worker.client.clone();
            let (addr, incarnation) = (hop.addr, hop.incarnation);
            let from = self.worker.shared.process.name().to_owned();
            let probe = ntex::rt::spawn(async move {
                let heartbeat = Heartbeat { from };
                client
                    .call(addr, incarnation, heartbeat, PROBE_TIMEOUT)
                    .await
            });
            probes.push((name, probe));
        }
        let mut silent = Vec::new();
        for (name, probe) in probes {
            if !matches!(probe.await, Ok(Ok(_))) {
                silent.push(name.clone());
            }
        }
        silent
    }

    fn cancel_attempt(&self, chain: &Chain, request: RequestId, epoch: Epoch) {
        for hop in &chain.hops {
            let client = self.worker.client.clone();
            let (addr, incarnation) = (hop.addr, hop.incarnation);
            let guard = self.worker.shared.gate.admit_always();
            ntex::rt::spawn(async move {
                // Keeps a planned stop of this process waiting until the agents are told.
                let _guard = guard;
                for _ in 0..CANCEL_ATTEMPTS {
                    let message = Cancel { request, epoch };
                    let done = client
                        .call(addr, incarnation, message, CANCEL_TIMEOUT)
                        .await;
                    if matches!(done, Ok(()) | Err(CallError::Refused(_))) {
                        return;
                    }
                }
            });
        }
    }

    fn record_step(&self, chain: &Chain, positions: u32, took: Duration, output: &Output) {
        let shared = &self.worker.shared;
        for (stage, load) in &output.loads {
            if let Some(key) = chain.plan.keys.get(*stage as usize) {
                shared.servers.record_load(*key, load);
            }
        }
        if positions == 1 {
            let fleet = shared.servers.view();
            record_link_delay(&fleet, &chain.plan.keys, shared.process.now(), took);
            return;
        }
        for key in &chain.plan.keys {
            shared.servers.record_success(*key);
        }
    }

    fn report_failure(&self, agent: &str, error: &CallError) {
        self.worker.shared.servers.record_failure(agent, error);
        let contents = contents_at_death(error);
        if !contents.is_empty() {
            *self.broadcast.borrow_mut() = suspects::report_death(&self.worker, agent, contents);
        }
    }

    async fn permit_attempt(&self) -> Result<(), AttemptDenial> {
        let shared = &self.worker.shared;
        let attempt = self.attempts.get() + 1;
        self.attempts.set(attempt);
        match attempt {
            1 => shared.retries.record_attempt(),
            _ if !shared.retries.try_spend() => return Err(AttemptDenial::Budget),
            _ => {}
        }
        // A caller that is refused here may retry through another entry process at once, which
        // must know the strikes by then.
        let broadcast = self.broadcast.take();
        broadcast.wait().await;
        self.ensure_isolated().await?;
        let now = shared.process.now();
        let standing = shared.suspects.standing(now, self.scope.fingerprint);
        if matches!(standing, Standing::Quarantined(_)) {
            return Err(AttemptDenial::Quarantined);
        }
        let catalogue = shared.catalogue.current();
        match catalogue.find(&self.scope.bearer_key, &self.scope.entry) {
            Some(_) => Ok(()),
            None => Err(AttemptDenial::Revoked),
        }
    }

    fn record_progress(&self, delivered: u32) -> bool {
        self.admitted.borrow().record_progress(delivered)
    }

    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool {
        let store = &self.worker.shared.catalogue;
        timeout(limit, store.catch_up(seq, limit))
            .await
            .unwrap_or(false)
    }
}

/// Attributes the time that a decode step did not spend at its servers, by their estimates, to the
/// links of the chain.
fn record_link_delay(
    fleet: &mustard_policy::fleet::Fleet,
    keys: &[ServerKey],
    now: mustard_core::clock::Moment,
    took: Duration,
) {
    let mut servers_us = 0.0;
    let mut slots = Vec::with_capacity(keys.len());
    for key in keys {
        let Some(server) = fleet.get(*key) else {
            return;
        };
        let stats = server.stats();
        servers_us += stats.step_us(now, stats.work(now));
        if slots.is_empty() {
            servers_us += stats.round_trip_us();
        }
        slots.push(key.index());
    }
    let links_us = took.as_micros() as f32 - servers_us;
    fleet.links().observe_chain(&slots, links_us);
}

/// Returns the contents that ran on a server when it died, as its agent reports them; empty if the
/// error is not the death of a server.
fn contents_at_death(error: &CallError) -> &[Fingerprint] {
    match error {
        CallError::Refused(refusal) => match root_cause(refusal) {
            Refusal::ServerFailed { suspects, .. } => suspects,
            _ => &[],
        },
        _ => &[],
    }
}

fn failure_reason(error: &CallError) -> &'static str {
    match error {
        CallError::NotSent(_) | CallError::NoListener(_) => "not_sent",
        CallError::Lost(_) => "lost",
        CallError::TimedOut(_) => "timed_out",
        CallError::Status(_) | CallError::Proto(_) => "bad_answer",
        CallError::Refused(refusal) => root_cause(refusal).name(),
    }
}

fn root_cause(refusal: &Refusal) -> &Refusal {
    match refusal {
        Refusal::NextFailed { cause, .. } => root_cause(cause),
        innermost => innermost,
    }
}
