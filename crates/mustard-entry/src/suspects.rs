//! Requests that harm the servers that run them: strikes, suspects and quarantine.

use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::rt::JoinHandle;
use slog::warn;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::event::EventKind;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::Incarnation;
use mustard_platform::vms::Vm;
use mustard_policy::quarantine::{Clearance, Quarantine, Settings, Standing, Strike};
use mustard_proto::limits::{Cleared, Strike as Sent, Strikes};

use crate::app::Worker;

/// Failures of one server within this time count as one death.
const ONE_DEATH: Duration = Duration::from_secs(3);
const SHARE_LIMIT: Duration = Duration::from_secs(1);
/// How long a draft waits for its strikes to reach the other processes before it goes on: some
/// round trips between failure domains.
const BROADCAST_LIMIT: Duration = Duration::from_millis(100);

/// What is known about harmful contents.
pub struct Suspects {
    state: Mutex<State>,
    /// Suspects run one at a time, so that a death shows which of them caused it.
    apart: Arc<Semaphore>,
}

#[derive(Default)]
struct State {
    quarantine: Quarantine,
    /// The contents that run at each server.
    running: Map<String, Vec<Fingerprint>>,
    deaths: Map<String, Moment>,
}

impl Default for Suspects {
    fn default() -> Self {
        let state = State {
            quarantine: Quarantine::new(Settings::default()),
            ..State::default()
        };
        Suspects {
            state: Mutex::new(state),
            apart: Arc::new(Semaphore::new(1)),
        }
    }
}

/// Counts a content at the servers of a chain; dropping it ends the count.
pub struct Exposure {
    suspects: Arc<Suspects>,
    names: Vec<String>,
    fingerprint: Fingerprint,
}

impl Drop for Exposure {
    fn drop(&mut self) {
        let mut state = self.suspects.lock();
        for name in &self.names {
            let Some(running) = state.running.get_mut(name) else {
                continue;
            };
            if let Some(i) = running.iter().position(|f| *f == self.fingerprint) {
                running.swap_remove(i);
            }
            if running.is_empty() {
                state.running.remove(name);
            }
        }
    }
}

impl Suspects {
    /// Tells how a content may run.
    pub fn standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        self.lock().quarantine.standing(now, fingerprint)
    }

    /// Waits until no other suspect runs here.
    pub async fn apart(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.apart).acquire_owned().await.ok()
    }

    /// Returns the number of servers that died under a content.
    pub fn deaths(&self, now: Moment, fingerprint: Fingerprint) -> usize {
        let strikes = self.lock().quarantine.strikes(now);
        let own = |strike: &&Strike| strike.fingerprint == fingerprint;
        strikes.iter().filter(own).count()
    }

    /// Returns the strikes that count.
    pub fn strikes(&self, now: Moment) -> Vec<Strike> {
        self.lock().quarantine.strikes(now)
    }

    /// Returns the servers at which other suspects run.
    pub fn occupied(&self, now: Moment, fingerprint: Fingerprint) -> Vec<String> {
        let state = self.lock();
        let other = |f: &Fingerprint| {
            *f != fingerprint && state.quarantine.standing(now, *f) != Standing::Clear
        };
        let names = state.running.iter().filter(|(_, r)| r.iter().any(other));
        names.map(|(name, _)| name.clone()).collect()
    }

    /// Counts a content at the servers of a chain.
    pub fn expose(self: &Arc<Self>, names: &[String], fingerprint: Fingerprint) -> Exposure {
        let mut state = self.lock();
        for name in names {
            let running = state.running.entry(name.clone()).or_default();
            running.push(fingerprint);
        }
        Exposure {
            suspects: Arc::clone(self),
            names: names.to_vec(),
            fingerprint,
        }
    }

    /// Takes in that a server died while it ran contents, of all entry processes; returns the
    /// strikes to share, none if the death is known already.
    pub fn died(&self, now: Moment, vm: &str, contents: &[Fingerprint]) -> Vec<Strike> {
        let mut state = self.lock();
        state.deaths.retain(|_, at| now.since(*at) < ONE_DEATH);
        if state.deaths.contains_key(vm) {
            return Vec::new();
        }
        state.deaths.insert(vm.to_owned(), now);
        state.quarantine.blame(now, vm, contents)
    }

    /// Takes in strikes; returns the contents that became quarantined by them.
    pub fn take(&self, now: Moment, strikes: &[Strike]) -> Vec<Fingerprint> {
        let mut state = self.lock();
        let newly = strikes
            .iter()
            .filter(|strike| state.quarantine.strike(now, strike));
        newly.map(|strike| strike.fingerprint).collect()
    }

    /// Clears a content that ran to its end or that an operator set free.
    pub fn clear(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        self.lock().quarantine.clear(now, fingerprint)
    }

    /// Takes in contents that another process cleared.
    pub fn take_cleared(&self, now: Moment, cleared: impl Iterator<Item = Clearance>) {
        let mut state = self.lock();
        cleared.for_each(|c| state.quarantine.take(now, c));
    }

    /// Returns the contents that were cleared lately.
    pub fn cleared(&self, now: Moment) -> Vec<Clearance> {
        self.lock().quarantine.clearances(now).collect()
    }

    /// Returns the quarantined contents with the VMs whose servers died under them.
    pub fn list(&self, now: Moment) -> Vec<(Fingerprint, Vec<String>)> {
        let state = self.lock();
        let own =
            |(f, vms): (Fingerprint, Vec<&str>)| (f, vms.into_iter().map(str::to_owned).collect());
        state.quarantine.list(now).map(own).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The strikes of a death on their way to the other entry processes.
#[derive(Default)]
pub struct Broadcast(Vec<JoinHandle<()>>);

impl Broadcast {
    /// Waits until every other process was told or did not answer in time.
    pub async fn end(self) {
        let all = async {
            for told in self.0 {
                let _ = told.await;
            }
        };
        // A process that did not answer is logged by the task that tells it.
        let _ = timeout(BROADCAST_LIMIT, all).await;
    }
}

/// Takes in that a server died while it ran contents, and shares the strikes.
pub fn note_death(worker: &Rc<Worker>, vm: &str, contents: &[Fingerprint]) -> Broadcast {
    let shared = &worker.shared;
    let strikes = shared.suspects.died(shared.process.now(), vm, contents);
    if strikes.is_empty() {
        return Broadcast::default();
    }
    warn!(shared.log, "suspects: Server died with requests running.";
        "agent" => vm, "contents" => strikes.len());
    note_strikes(worker, &strikes);
    let message = message_of(shared.process.now(), &strikes, &[]);
    let tell = |peer: Vm| {
        let (client, message) = (worker.client.clone(), message.clone());
        let log = shared.log.clone();
        ntex::rt::spawn(async move {
            let told = client.call(peer.addr, Incarnation(0), message, SHARE_LIMIT);
            if let Err(e) = told.await {
                warn!(log, "suspects: Peer was not told of strikes.";
                    "peer" => peer.name, "error" => %e);
            }
        })
    };
    Broadcast(shared.servers.peers().into_iter().map(tell).collect())
}

/// Returns the message of all strikes that count here.
pub fn all_strikes(worker: &Worker) -> Strikes {
    let suspects = &worker.shared.suspects;
    let now = worker.shared.process.now();
    message_of(now, &suspects.strikes(now), &suspects.cleared(now))
}

/// Takes in the strikes of another entry process.
pub fn take_strikes(worker: &Worker, message: Strikes) {
    let now = worker.shared.process.now();
    let cleared = message.cleared.into_iter().map(|c| Clearance {
        fingerprint: c.fingerprint,
        at: now - Duration::from_millis(c.age_ms),
    });
    worker.shared.suspects.take_cleared(now, cleared);
    let strikes = message.strikes.into_iter().map(|s| strike_of(now, s));
    let strikes: Vec<_> = strikes.collect();
    note_strikes(worker, &strikes);
}

/// Takes in strikes and tells of contents that became quarantined.
pub fn note_strikes(worker: &Worker, strikes: &[Strike]) {
    let shared = &worker.shared;
    for fingerprint in shared.suspects.take(shared.process.now(), strikes) {
        let fingerprint = fingerprint.to_string();
        warn!(shared.log, "suspects: Content is quarantined."; "content" => &fingerprint);
        metrics::counter!("mustard_entry_quarantined_total").increment(1);
        let event = EventKind::Quarantined { fingerprint };
        shared.process.emit(None, event);
    }
}

fn message_of(now: Moment, strikes: &[Strike], cleared: &[Clearance]) -> Strikes {
    let cleared = cleared.iter().map(|c| Cleared {
        fingerprint: c.fingerprint,
        age_ms: now.ms_since(c.at),
    });
    Strikes {
        strikes: strikes.iter().map(|s| sent_of(now, s)).collect(),
        cleared: cleared.collect(),
    }
}

fn sent_of(now: Moment, strike: &Strike) -> Sent {
    Sent {
        age_ms: now.ms_since(strike.at),
        fingerprint: strike.fingerprint,
        vm: strike.vm.clone(),
        shared: strike.shared,
    }
}

/// Returns a strike of another process in the terms of the policy.
fn strike_of(now: Moment, sent: Sent) -> Strike {
    Strike {
        at: now - Duration::from_millis(sent.age_ms),
        fingerprint: sent.fingerprint,
        vm: sent.vm,
        shared: sent.shared,
    }
}
