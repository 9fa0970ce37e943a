//! Brings accepted changes to this process and hands them on to peers.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use ntex::util::join_all;
use rand::Rng;
use slog::{Logger, info, warn};
use tokio::time::{self, Instant};

use mustard_core::event::EventKind;
use mustard_core::ids::Seq;
use mustard_platform::PlatformError;
use mustard_platform::object::Objects;
use mustard_platform::table::Table;
use mustard_proto::catalogue::{Delta, Pull, Push};

use crate::errors::FetchError;
use crate::fetch::{self, Fetched};
use crate::peers::Peers;
use crate::store::Store;

/// The shortest time between two rounds.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Part of the interval that is drawn at random, to each side.
const JITTER: f64 = 0.25;
/// Doublings of the interval towards an ailing table.
const MAX_DOUBLINGS: u32 = 6;

/// How a process keeps its catalogue current.
#[derive(Clone, Debug)]
pub struct SyncOptions {
    poll: Duration,
    backoff: Duration,
    fanout: usize,
    sources: usize,
    batch: u64,
}

impl Default for SyncOptions {
    fn default() -> Self {
        SyncOptions {
            poll: Duration::from_secs(1),
            backoff: Duration::from_secs(3),
            fanout: 3,
            sources: 2,
            batch: 512,
        }
    }
}

impl SyncOptions {
    /// Sets the mean time between two reads of the table's head.
    #[must_use]
    pub fn poll(mut self, interval: Duration) -> Self {
        self.poll = interval;
        self
    }

    /// Sets the longest time between two reads of a table that does not answer.
    #[must_use]
    pub fn backoff(mut self, longest: Duration) -> Self {
        self.backoff = longest;
        self
    }

    /// Sets how many peers get new changes from this process.
    #[must_use]
    pub fn fanout(mut self, peers: usize) -> Self {
        self.fanout = peers;
        self
    }

    /// Sets how many peers are asked when the table does not answer.
    #[must_use]
    pub fn sources(mut self, peers: usize) -> Self {
        self.sources = peers;
        self
    }

    /// Sets how many changes are read one by one before the whole catalogue is read instead.
    #[must_use]
    pub fn batch(mut self, changes: u64) -> Self {
        self.batch = changes;
        self
    }
}

/// The synchronization of one process; it runs on one thread.
pub struct Syncer<T, O, P> {
    table: T,
    objects: O,
    peers: P,
    store: Arc<Store>,
    options: SyncOptions,
    log: Logger,
    failures: Cell<u32>,
    relayed: Cell<Seq>,
}

impl<T: Table, O: Objects, P: Peers> Syncer<T, O, P> {
    /// Creates the synchronization of `store`.
    pub fn new(
        table: T,
        objects: O,
        peers: P,
        store: Arc<Store>,
        options: SyncOptions,
        log: Logger,
    ) -> Self {
        let relayed = Cell::new(store.seq());
        Syncer {
            table,
            objects,
            peers,
            store,
            options,
            log,
            failures: Cell::new(0),
            relayed,
        }
    }

    /// Runs for ever.
    pub async fn run(&self) {
        let mut due = Instant::now();
        let mut last = None;
        loop {
            self.relay().await;
            if Instant::now() >= due {
                last = Some(Instant::now());
                due = Instant::now() + self.round().await;
                self.relay().await;
            }
            tokio::select! {
                () = time::sleep_until(due) => {}
                () = self.store.woken() => {
                    if self.store.is_behind() {
                        due = last.map_or(due, |at| due.min(at + MIN_PAUSE));
                    }
                }
            }
        }
    }

    /// Asks the table, or else peers, once; returns the time until the next round.
    pub async fn round(&self) -> Duration {
        let have = self.store.seq();
        let fetched = fetch::fetch(&self.table, &self.objects, have, self.options.batch).await;
        match fetched {
            Ok(fetched) => {
                self.take(fetched);
                self.table_up();
                self.next_poll()
            }
            Err(e) => {
                self.table_failed(&e);
                self.ask_peers().await;
                self.next_try(&e)
            }
        }
    }

    /// Hands changes that came into force since the last call to a few peers.
    pub async fn relay(&self) {
        let changes = match self.store.delta(self.relayed.get()) {
            Delta::Changes(changes) => changes,
            // Peers as far behind as this are better served by the table.
            Delta::Whole(snapshot) => return self.relayed.set(snapshot.seq),
        };
        let Some(last) = changes.last() else { return };
        self.relayed.set(last.seq);
        let confirmed_ms = self.store.confirm().age_ms();
        let to = self.peers.pick(self.options.fanout);
        let pushes = to.iter().map(|peer| {
            let push = Push {
                changes: changes.clone(),
                confirmed_ms,
            };
            self.push(peer, push)
        });
        join_all(pushes).await;
    }

    async fn push(&self, peer: &P::Id, push: Push) {
        let result = match self.peers.push(peer, push).await {
            Ok(pushed) => {
                let process = self.store.process();
                process.observe(process.tick(), pushed.seq);
                "ok"
            }
            Err(_) => "failed",
        };
        metrics::counter!("mustard_catalogue_pushes_total", "result" => result).increment(1);
    }

    async fn ask_peers(&self) {
        let from = self.peers.pick(self.options.sources);
        let pulls = from.iter().map(|peer| self.pull(peer));
        join_all(pulls).await;
    }

    async fn pull(&self, peer: &P::Id) {
        let after = self.store.seq();
        let result = match self.peers.pull(peer, Pull { after }).await {
            Ok(pulled) => {
                match pulled.delta {
                    Delta::Changes(changes) => drop(self.store.apply(&changes)),
                    Delta::Whole(snapshot) => drop(self.store.adopt(snapshot)),
                }
                self.store.confirm().by_peer(pulled.confirmed_ms);
                "ok"
            }
            Err(_) => "failed",
        };
        metrics::counter!("mustard_catalogue_pulls_total", "result" => result).increment(1);
    }

    fn take(&self, fetched: Fetched) {
        match fetched {
            Fetched::Current => {}
            Fetched::Changes(changes) => drop(self.store.apply(&changes)),
            Fetched::Whole(snapshot) => {
                let seq = snapshot.seq;
                if self.store.adopt(snapshot) {
                    info!(self.log, "catalogue: Whole catalogue read."; "seq" => seq.0);
                }
            }
        }
    }

    fn table_up(&self) {
        self.store.confirm().by_table();
        metrics::counter!("mustard_catalogue_rounds_total", "result" => "ok").increment(1);
        if self.failures.replace(0) > 0 {
            info!(self.log, "catalogue: Table answers again.");
            self.emit_state(true);
        }
    }

    fn table_failed(&self, e: &FetchError) {
        metrics::counter!("mustard_catalogue_rounds_total", "result" => "failed").increment(1);
        let before = self.failures.get();
        self.failures.set(before.saturating_add(1));
        if before == 0 {
            warn!(self.log, "catalogue: Table does not answer, asking peers."; "error" => %e);
            self.emit_state(false);
        }
    }

    fn emit_state(&self, up: bool) {
        let service = "table".to_owned();
        self.store
            .process()
            .emit(None, EventKind::PlatformState { service, up });
    }

    fn next_poll(&self) -> Duration {
        let poll = if self.store.is_behind() {
            self.options.poll / 8
        } else {
            self.options.poll
        };
        jittered(poll).max(MIN_PAUSE)
    }

    fn next_try(&self, e: &FetchError) -> Duration {
        let doublings = self.failures.get().saturating_sub(1).min(MAX_DOUBLINGS);
        let wait = self.options.poll.saturating_mul(1 << doublings);
        let asked = match e {
            FetchError::Platform(PlatformError::Unavailable { retry_ms, .. }) => {
                Duration::from_millis(*retry_ms)
            }
            _ => Duration::ZERO,
        };
        jittered(wait.max(asked).min(self.options.backoff)).max(MIN_PAUSE)
    }
}

fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}
