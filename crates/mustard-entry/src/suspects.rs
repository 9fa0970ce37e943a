//! Requests whose content crashes the servers that run them: strikes, suspects and quarantine.
//!
//! A content is what a request asks for, identified by its fingerprint: requests with the same
//! content are expected to crash servers alike. A strike says that a server died while it ran a
//! content. A content with strikes is suspect: new requests with it run isolated, that is, one at a
//! time in this process and without other suspect contents at the same servers. With enough
//! strikes it is quarantined: its requests are refused. A content that ran to its end, or that an
//! operator released, is cleared. Entry processes send each other their strikes and clearances;
//! `mustard_policy::quarantine` has the rules.

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
use mustard_proto::limits::{ClearedContent, Strike as WireStrike, Strikes};

use crate::app::Worker;

/// Failures of one server within this time count as one death.
const DEATH_WINDOW: Duration = Duration::from_secs(3);
/// The timeout of the message that sends strikes to one other entry process.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request whose server died waits for the strikes to reach the other entry processes.
/// It covers several round trips between failure domains.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(100);

/// The strikes and the suspect and quarantined contents that this process knows.
pub struct Suspects {
    state: Mutex<State>,
    /// Lets one suspect content run at a time, so that a death shows which content caused it.
    isolation: Arc<Semaphore>,
}

#[derive(Default)]
struct State {
    quarantine: Quarantine,
    /// The contents that run at each server, by VM.
    running: Map<String, Vec<Fingerprint>>,
    /// When each server died last, by VM, within [`DEATH_WINDOW`].
    recent_deaths: Map<String, Moment>,
}

impl Default for Suspects {
    fn default() -> Self {
        let state = State {
            quarantine: Quarantine::new(Settings::default()),
            ..State::default()
        };
        Suspects {
            state: Mutex::new(state),
            isolation: Arc::new(Semaphore::new(1)),
        }
    }
}

/// Counts a content as running at the servers of a chain until it is dropped.
pub struct RunGuard {
    suspects: Arc<Suspects>,
    names: Vec<String>,
    fingerprint: Fingerprint,
}

impl Drop for RunGuard {
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
    /// Returns whether a content is clear, suspect or quarantined.
    pub fn standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        self.lock().quarantine.standing(now, fingerprint)
    }

    /// Waits until no other suspect content runs isolated in this process; others wait until the
    /// permit is dropped.
    pub async fn acquire_isolation(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.isolation).acquire_owned().await.ok()
    }

    /// Returns the number of servers that died while they ran a content.
    pub fn death_count(&self, now: Moment, fingerprint: Fingerprint) -> usize {
        let strikes = self.lock().quarantine.strikes(now);
        let same_content = |strike: &&Strike| strike.content.fingerprint == fingerprint;
        strikes.iter().filter(same_content).count()
    }

    /// Returns the strikes that have not expired.
    pub fn strikes(&self, now: Moment) -> Vec<Strike> {
        self.lock().quarantine.strikes(now)
    }

    /// Returns the servers at which other suspect contents run, by VM.
    pub fn occupied_servers(&self, now: Moment, fingerprint: Fingerprint) -> Vec<String> {
        let state = self.lock();
        let other = |f: &Fingerprint| {
            *f != fingerprint && state.quarantine.standing(now, *f) != Standing::Clear
        };
        let names = state.running.iter().filter(|(_, r)| r.iter().any(other));
        names.map(|(name, _)| name.clone()).collect()
    }

    /// Counts a content as running at the servers of a chain until the guard is dropped.
    pub fn track_running(self: &Arc<Self>, names: &[String], fingerprint: Fingerprint) -> RunGuard {
        let mut state = self.lock();
        for name in names {
            let running = state.running.entry(name.clone()).or_default();
            running.push(fingerprint);
        }
        RunGuard {
            suspects: Arc::clone(self),
            names: names.to_vec(),
            fingerprint,
        }
    }

    /// Records that a server died while it ran `contents`, which may come from requests of other
    /// entry processes too.
    ///
    /// Returns the strikes to record and to send to the other entry processes; empty if the death
    /// is known already.
    pub fn record_death(&self, now: Moment, vm: &str, contents: &[Fingerprint]) -> Vec<Strike> {
        let mut state = self.lock();
        state
            .recent_deaths
            .retain(|_, at| now.since(*at) < DEATH_WINDOW);
        if state.recent_deaths.contains_key(vm) {
            return Vec::new();
        }
        state.recent_deaths.insert(vm.to_owned(), now);
        state.quarantine.strikes_for_death(now, vm, contents)
    }

    /// Records strikes; returns the contents that became quarantined by them.
    pub fn record_strikes(&self, now: Moment, strikes: &[Strike]) -> Vec<Fingerprint> {
        let mut state = self.lock();
        let quarantined = strikes
            .iter()
            .filter(|strike| state.quarantine.record_strike(now, strike));
        quarantined
            .map(|strike| strike.content.fingerprint)
            .collect()
    }

    /// Clears a content that ran to its end or that an operator released; returns whether it had
    /// strikes.
    pub fn clear(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        self.lock().quarantine.clear(now, fingerprint)
    }

    /// Records contents that another entry process cleared.
    pub fn record_clearances(&self, now: Moment, cleared: impl Iterator<Item = Clearance>) {
        let mut state = self.lock();
        cleared.for_each(|c| state.quarantine.apply_clearance(now, c));
    }

    /// Returns the recently cleared contents, to be sent to other processes.
    pub fn clearances(&self, now: Moment) -> Vec<Clearance> {
        self.lock().quarantine.clearances(now).collect()
    }

    /// Returns the quarantined contents with the VMs whose servers died while they ran them.
    pub fn list_quarantined(&self, now: Moment) -> Vec<(Fingerprint, Vec<String>)> {
        let state = self.lock();
        let to_owned_names =
            |(f, vms): (Fingerprint, Vec<&str>)| (f, vms.into_iter().map(str::to_owned).collect());
        state
            .quarantine
            .quarantined(now)
            .map(to_owned_names)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The tasks that send the strikes of a death to the other entry processes.
#[derive(Default)]
pub struct Broadcast(Vec<JoinHandle<()>>);

impl Broadcast {
    /// Waits until every other process has answered or failed to, or until the broadcast timeout.
    pub async fn wait(self) {
        let all = async {
            for task in self.0 {
                let _ = task.await;
            }
        };
        // After the timeout the tasks go on; each logs a failure itself.
        let _ = timeout(BROADCAST_TIMEOUT, all).await;
    }
}

/// Records that a server died while it ran `contents`, and sends the strikes to the other entry
/// processes. Returns the sending tasks, to be waited for.
pub fn report_death(worker: &Rc<Worker>, vm: &str, contents: &[Fingerprint]) -> Broadcast {
    let shared = &worker.shared;
    let strikes = shared
        .suspects
        .record_death(shared.process.now(), vm, contents);
    if strikes.is_empty() {
        return Broadcast::default();
    }
    warn!(shared.log, "suspects: Server died with requests running.";
        "agent" => vm, "contents" => strikes.len());
    record_strikes(worker, &strikes);
    let message = strikes_message(shared.process.now(), &strikes, &[]);
    let send_to = |peer: Vm| {
        let (client, message) = (worker.client.clone(), message.clone());
        let log = shared.log.clone();
        ntex::rt::spawn(async move {
            let delivery = client.call(peer.addr, Incarnation(0), message, SHARE_TIMEOUT);
            if let Err(e) = delivery.await {
                warn!(log, "suspects: Strikes were not delivered to another entry process.";
                    "peer" => peer.name, "error" => %e);
            }
        })
    };
    Broadcast(shared.servers.peers().into_iter().map(send_to).collect())
}

/// Returns a message with all strikes and clearances that this process knows and that have not
/// expired.
pub fn all_strikes(worker: &Worker) -> Strikes {
    let suspects = &worker.shared.suspects;
    let now = worker.shared.process.now();
    strikes_message(now, &suspects.strikes(now), &suspects.clearances(now))
}

/// Records the strikes and clearances of another entry process.
pub fn receive_strikes(worker: &Worker, message: Strikes) {
    let now = worker.shared.process.now();
    let cleared = message.cleared.into_iter().map(|c| Clearance {
        content: c.fingerprint.into(),
        at: now - Duration::from_millis(c.age_ms),
    });
    worker.shared.suspects.record_clearances(now, cleared);
    let strikes = message
        .strikes
        .into_iter()
        .map(|s| strike_from_wire(now, s));
    let strikes: Vec<_> = strikes.collect();
    record_strikes(worker, &strikes);
}

/// Records strikes; logs, counts and emits an event for each content that became quarantined.
pub fn record_strikes(worker: &Worker, strikes: &[Strike]) {
    let shared = &worker.shared;
    for fingerprint in shared
        .suspects
        .record_strikes(shared.process.now(), strikes)
    {
        let fingerprint = fingerprint.to_string();
        warn!(shared.log, "suspects: Content is quarantined."; "content" => &fingerprint);
        metrics::counter!("mustard_entry_quarantined_total").increment(1);
        let event = EventKind::Quarantined { fingerprint };
        shared.process.emit(None, event);
    }
}

fn strikes_message(now: Moment, strikes: &[Strike], cleared: &[Clearance]) -> Strikes {
    let cleared = cleared.iter().map(|c| ClearedContent {
        fingerprint: c.content.fingerprint,
        age_ms: now.ms_since(c.at),
    });
    Strikes {
        strikes: strikes.iter().map(|s| strike_to_wire(now, s)).collect(),
        cleared: cleared.collect(),
    }
}

fn strike_to_wire(now: Moment, strike: &Strike) -> WireStrike {
    WireStrike {
        age_ms: now.ms_since(strike.at),
        fingerprint: strike.content.fingerprint,
        vm: strike.vm.clone(),
        shared: strike.shared,
    }
}

/// Converts a strike of another process, whose age is relative to now.
fn strike_from_wire(now: Moment, wire: WireStrike) -> Strike {
    Strike {
        at: now - Duration::from_millis(wire.age_ms),
        content: wire.fingerprint.into(),
        vm: wire.vm,
        shared: wire.shared,
    }
}
