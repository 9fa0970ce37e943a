//! The driver's ports over the network.

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
use mustard_policy::route::{Query, choose};
use mustard_policy::separation::reserved_elsewhere;
use mustard_proto::Refusal;
use mustard_proto::agent::Heartbeat;
use mustard_proto::step::{Cancel, Output, Step};

use crate::admit::{Admitted, chain_of};
use crate::app::Worker;
use crate::drive::{Chain, NoChain, Ports, Veto, Want};
use crate::metric;
use crate::suspects::{self, Broadcast, Exposure};

const PROBE_LIMIT: Duration = Duration::from_millis(150);
const CANCEL_LIMIT: Duration = Duration::from_secs(2);
const CANCEL_TRIES: u32 = 2;
const DEATHS_TO_SUSPECT: usize = 2;
const RETRY: Duration = Duration::from_millis(500);

/// What one draft may use, under which entry of the catalogue.
pub struct Rights {
    /// The name of the catalogue entry.
    pub entry: String,
    /// The digest of the caller's key.
    pub key: KeyHash,
    /// The digest of the content.
    pub fingerprint: Fingerprint,
    /// When the whole answer must be there.
    pub deadline: Instant,
}

/// Reaches the agents for one draft through the connections of one worker thread.
pub struct NetPorts {
    worker: Rc<Worker>,
    rights: Rights,
    admitted: RefCell<Admitted>,
    tokens: u32,
    attempts: Cell<u32>,
    apart: RefCell<Option<OwnedSemaphorePermit>>,
    exposure: RefCell<Option<Exposure>>,
    broadcast: RefCell<Broadcast>,
}

impl NetPorts {
    /// Creates the ports of an admitted draft of `tokens` tokens.
    ///
    /// A draft whose content is suspect already holds the permit to run apart from others.
    pub fn new(
        worker: Rc<Worker>,
        rights: Rights,
        admitted: Admitted,
        apart: Option<OwnedSemaphorePermit>,
        tokens: u32,
    ) -> Self {
        NetPorts {
            worker,
            rights,
            admitted: RefCell::new(admitted),
            tokens,
            attempts: Cell::new(0),
            apart: RefCell::new(apart),
            exposure: RefCell::new(None),
            broadcast: RefCell::default(),
        }
    }

    /// Takes in that the draft was answered whole.
    pub fn finish(self) {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        if shared.suspects.standing(now, self.rights.fingerprint) == Standing::Suspect {
            shared.suspects.clear(now, self.rights.fingerprint);
        }
        self.admitted.into_inner().finish(self.tokens);
    }

    /// Waits until no other suspect runs, if servers died under this draft more than once.
    ///
    /// One death is more likely the server's own; the rest of its batch goes on at once.
    async fn run_apart(&self) -> Result<(), Veto> {
        let shared = &self.worker.shared;
        let alone = self.apart.borrow().is_some();
        let now = shared.process.now();
        let deaths = shared.suspects.deaths(now, self.rights.fingerprint);
        if alone || deaths < DEATHS_TO_SUSPECT {
            return Ok(());
        }
        *self.exposure.borrow_mut() = None;
        let permit = timeout_at(self.rights.deadline, shared.suspects.apart()).await;
        *self.apart.borrow_mut() = permit.map_err(|_| Veto::Late)?;
        Ok(())
    }

    fn chosen(&self, want: &Want) -> Result<Chain, NoChain> {
        let none = |held| NoChain { retry: RETRY, held };
        let first = self.admitted.borrow_mut().chain();
        if let (Some(first), None) = (first, &*self.apart.borrow()) {
            return Ok(first);
        }
        let shared = &self.worker.shared;
        let fleet = shared.servers.view();
        let now = shared.process.now();
        let mut avoid: Vec<ServerKey> = want.avoid.iter().filter_map(|n| fleet.find(n)).collect();
        let plan = |avoid: &[ServerKey]| {
            let query =
                Query::new(&want.model, want.layers, want.positions, self.tokens).exclude(avoid);
            choose(&fleet, &query, now, &mut rand::rng()).ok()
        };
        if self.apart.borrow().is_none() {
            let chain = plan(&avoid).and_then(|p| chain_of(&fleet, &p));
            return chain.ok_or(none(false));
        }
        let occupied = shared.suspects.occupied(now, self.rights.fingerprint);
        avoid.extend(occupied.iter().filter_map(|n| fleet.find(n)));
        let mut reserved = self.reserved_elsewhere(&fleet, &want.model);
        reserved.extend_from_slice(&avoid);
        // Servers that other suspects of this process hold come free again; those that failed
        // under this draft may not.
        let spare = || occupied.is_empty().then(|| plan(&avoid)).flatten();
        let found = plan(&reserved).or_else(spare);
        let chain = found.and_then(|p| chain_of(&fleet, &p));
        chain.ok_or(none(!occupied.is_empty()))
    }

    /// Returns the servers that other entry processes use for their suspects.
    fn reserved_elsewhere(&self, fleet: &Fleet, model: &str) -> Vec<ServerKey> {
        let shared = &self.worker.shared;
        let peers = shared.servers.peers();
        let own = shared.process.name();
        let entries: Vec<&str> = peers
            .iter()
            .map(|vm| vm.name.as_str())
            .chain([own])
            .collect();
        reserved_elsewhere(fleet, model, own, &entries)
    }
}

impl Ports for NetPorts {
    fn choose(&self, want: &Want) -> Result<Chain, NoChain> {
        let chain = self.chosen(want)?;
        let suspects = &self.worker.shared.suspects;
        // The earlier attempt's count ends first.
        *self.exposure.borrow_mut() = None;
        let exposure = suspects.expose(&chain.names, self.rights.fingerprint);
        *self.exposure.borrow_mut() = Some(exposure);
        Ok(chain)
    }

    async fn step(&self, chain: &Chain, step: Step, limit: Duration) -> Result<Output, CallError> {
        let first = &chain.hops[0];
        let client = &self.worker.client;
        let started = Instant::now();
        let result = client
            .call(first.addr, first.incarnation, step, limit)
            .await;
        metric::step(started.elapsed(), result.is_ok());
        if let Err(error) = &result {
            metric::attempt_failed(reason_of(error));
        }
        result
    }

    async fn probe(&self, chain: &Chain) -> Vec<String> {
        let mut probes = Vec::new();
        for (hop, name) in chain.hops.iter().zip(&chain.names) {
            let client = self.worker.client.clone();
            let (addr, life) = (hop.addr, hop.incarnation);
            let from = self.worker.shared.process.name().to_owned();
            let ask = ntex::rt::spawn(async move {
                let ask = Heartbeat { from };
                client.call(addr, life, ask, PROBE_LIMIT).await
            });
            probes.push((name, ask));
        }
        let mut silent = Vec::new();
        for (name, ask) in probes {
            if !matches!(ask.await, Ok(Ok(_))) {
                silent.push(name.clone());
            }
        }
        silent
    }

    fn cancel(&self, chain: &Chain, request: RequestId, epoch: Epoch) {
        for hop in &chain.hops {
            let client = self.worker.client.clone();
            let (addr, life) = (hop.addr, hop.incarnation);
            let pass = self.worker.shared.gate.enter_always();
            ntex::rt::spawn(async move {
                // A planned stop waits until the agents know.
                let _pass = pass;
                for _ in 0..CANCEL_TRIES {
                    let message = Cancel { request, epoch };
                    let done = client.call(addr, life, message, CANCEL_LIMIT).await;
                    if matches!(done, Ok(()) | Err(CallError::Refused(_))) {
                        return;
                    }
                }
            });
        }
    }

    fn learn(&self, chain: &Chain, positions: u32, took: Duration, output: &Output) {
        let shared = &self.worker.shared;
        for (stage, load) in &output.loads {
            if let Some(key) = chain.planned.keys.get(*stage as usize) {
                shared.servers.loaded(*key, load);
            }
        }
        if positions == 1 {
            let fleet = shared.servers.view();
            learn_links(&fleet, &chain.planned.keys, shared.process.now(), took);
            return;
        }
        for key in &chain.planned.keys {
            shared.servers.worked(*key);
        }
    }

    fn blame(&self, agent: &str, error: &CallError) {
        self.worker.shared.servers.failed(agent, error);
        let contents = contents_at_death(error);
        if !contents.is_empty() {
            *self.broadcast.borrow_mut() = suspects::note_death(&self.worker, agent, contents);
        }
    }

    async fn allow(&self) -> Result<(), Veto> {
        let shared = &self.worker.shared;
        let attempt = self.attempts.get() + 1;
        self.attempts.set(attempt);
        match attempt {
            1 => shared.retries.earn(),
            _ if !shared.retries.spend() => return Err(Veto::Budget),
            _ => {}
        }
        // A caller that is refused here may come back through another process at once.
        let broadcast = self.broadcast.take();
        broadcast.end().await;
        self.run_apart().await?;
        let now = shared.process.now();
        let standing = shared.suspects.standing(now, self.rights.fingerprint);
        if matches!(standing, Standing::Quarantined(_)) {
            return Err(Veto::Quarantined);
        }
        let catalogue = shared.catalogue.current();
        match catalogue.find(&self.rights.key, &self.rights.entry) {
            Some(_) => Ok(()),
            None => Err(Veto::Revoked),
        }
    }

    fn on_time(&self, delivered: u32) -> bool {
        self.admitted.borrow().progress(delivered)
    }

    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool {
        let store = &self.worker.shared.catalogue;
        timeout(limit, store.catch_up(seq, limit))
            .await
            .unwrap_or(false)
    }
}

/// Shares out the time that a decode step spent outside its servers over the chain's links.
fn learn_links(
    fleet: &mustard_policy::fleet::Fleet,
    keys: &[ServerKey],
    now: mustard_core::clock::Moment,
    took: Duration,
) {
    let mut known = 0.0;
    let mut slots = Vec::with_capacity(keys.len());
    for key in keys {
        let Some(server) = fleet.get(*key) else {
            return;
        };
        let live = server.live();
        known += live.step_us(now, live.work(now));
        if slots.is_empty() {
            known += live.entry_us();
        }
        slots.push(key.index());
    }
    let outside = took.as_micros() as f32 - known;
    fleet.links().observe_path(&slots, outside);
}

/// Returns the request contents that ran on a server when it died, none if the failure shows no
/// death.
fn contents_at_death(error: &CallError) -> &[Fingerprint] {
    match error {
        CallError::Refused(refusal) => match origin_of(refusal) {
            Refusal::ServerFailed { suspects, .. } => suspects,
            _ => &[],
        },
        _ => &[],
    }
}

fn reason_of(error: &CallError) -> &'static str {
    match error {
        CallError::NotSent(_) => "not_sent",
        CallError::Lost(_) => "lost",
        CallError::TimedOut(_) => "timed_out",
        CallError::Status(_) | CallError::Proto(_) => "bad_answer",
        CallError::Refused(refusal) => origin_of(refusal).name(),
    }
}

fn origin_of(refusal: &Refusal) -> &Refusal {
    match refusal {
        Refusal::NextFailed { cause, .. } => origin_of(cause),
        own => own,
    }
}
