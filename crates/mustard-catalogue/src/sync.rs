//! Fetches accepted changes in rounds and pushes them on to peers.
//!
//! A round reads the changes that this process lacks from the table, or pulls them from a few peers
//! if the table does not answer. Rounds follow each other at the poll interval, with backoff while
//! the table does not answer.

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
use mustard_platform::object::ObjectStore;
use mustard_platform::table::Table;
use mustard_proto::catalogue::{Delta, PullChanges, PushChanges};

use crate::errors::FetchError;
use crate::fetch::{self, Fetched};
use crate::peers::Peers;
use crate::store::CatalogueStore;

/// The shortest time between two rounds, also when the store wakes the synchronization.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// The largest random deviation of an interval, to each side, as a share of it.
const JITTER_RATIO: f64 = 0.25;
/// How many times the backoff doubles the interval while reads of the table fail, at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Options of the synchronization.
#[derive(Clone, Debug)]
pub struct SyncOptions {
    poll_interval: Duration,
    max_backoff: Duration,
    push_fanout: usize,
    pull_fanout: usize,
    max_changes: u64,
}

impl Default for SyncOptions {
    fn default() -> Self {
        SyncOptions {
            poll_interval: Duration::from_secs(1),
            max_backoff: Duration::from_secs(3),
            push_fanout: 3,
            pull_fanout: 2,
            max_changes: 512,
        }
    }
}

impl SyncOptions {
    /// Sets the mean time between two reads of the table's head; a process that is behind reads it
    /// eight times as often.
    #[must_use]
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.poll_interval = interval;
        self
    }

    /// Sets the longest time between two reads of a table that does not answer, before jitter.
    #[must_use]
    pub fn max_backoff(mut self, longest: Duration) -> Self {
        self.max_backoff = longest;
        self
    }

    /// Sets to how many peers this process pushes new changes.
    #[must_use]
    pub fn push_fanout(mut self, peers: usize) -> Self {
        self.push_fanout = peers;
        self
    }

    /// Sets from how many peers this process pulls when the table does not answer.
    #[must_use]
    pub fn pull_fanout(mut self, peers: usize) -> Self {
        self.pull_fanout = peers;
        self
    }

    /// Sets how many missing changes are read from the log; for more, a snapshot is read instead.
    #[must_use]
    pub fn max_changes(mut self, changes: u64) -> Self {
        self.max_changes = changes;
        self
    }
}

/// Synchronizes the catalogue of one process; runs on a single thread.
pub struct Syncer<T, O, P> {
    table: T,
    objects: O,
    peers: P,
    store: Arc<CatalogueStore>,
    options: SyncOptions,
    log: Logger,
    failures: Cell<u32>,
    pushed_seq: Cell<Seq>,
}

impl<T: Table, O: ObjectStore, P: Peers> Syncer<T, O, P> {
    /// Creates the synchronization of `store`; [`Syncer::run`] starts it.
    pub fn new(
        table: T,
        objects: O,
        peers: P,
        store: Arc<CatalogueStore>,
        options: SyncOptions,
        log: Logger,
    ) -> Self {
        let pushed_seq = Cell::new(store.seq());
        Syncer {
            table,
            objects,
            peers,
            store,
            options,
            log,
            failures: Cell::new(0),
            pushed_seq,
        }
    }

    /// Runs rounds until the future is dropped; a wake-up of the store brings the next one forward.
    pub async fn run(&self) {
        let mut due = Instant::now();
        let mut last = None;
        loop {
            self.push_changes().await;
            if Instant::now() >= due {
                last = Some(Instant::now());
                due = Instant::now() + self.run_round().await;
                self.push_changes().await;
            }
            tokio::select! {
                () = time::sleep_until(due) => {}
                () = self.store.sync_woken() => {
                    if self.store.is_behind() {
                        due = last.map_or(due, |at| due.min(at + MIN_ROUND_INTERVAL));
                    }
                }
            }
        }
    }

    /// Fetches changes from the table once, or from peers if the table fails.
    ///
    /// Returns the time until the next round.
    pub async fn run_round(&self) -> Duration {
        let current = self.store.seq();
        let fetched = fetch::fetch(
            &self.table,
            &self.objects,
            current,
            self.options.max_changes,
        )
        .await;
        match fetched {
            Ok(fetched) => {
                self.apply_fetched(fetched);
                self.record_table_answer();
                self.poll_delay()
            }
            Err(e) => {
                self.record_table_failure(&e);
                self.pull_from_peers().await;
                self.retry_delay(&e)
            }
        }
    }

    /// Pushes the changes that came into force since the last call to a few peers.
    pub async fn push_changes(&self) {
        let changes = match self.store.changes_after(self.pushed_seq.get()) {
            Delta::Changes(changes) => changes,
            // Some of these changes are not kept here, for example because a snapshot was
            // installed. Peers that lack them read the table instead.
            Delta::Snapshot(snapshot) => return self.pushed_seq.set(snapshot.seq),
        };
        let Some(last) = changes.last() else { return };
        self.pushed_seq.set(last.seq);
        let confirmed_ms = self.store.confirmations().age_ms();
        let to = self.peers.pick(self.options.push_fanout);
        let pushes = to.iter().map(|peer| {
            let push = PushChanges {
                changes: changes.clone(),
                confirmed_ms,
            };
            self.push_to(peer, push)
        });
        join_all(pushes).await;
    }

    async fn push_to(&self, peer: &P::Id, push: PushChanges) {
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

    async fn pull_from_peers(&self) {
        let from = self.peers.pick(self.options.pull_fanout);
        let pulls = from.iter().map(|peer| self.pull_from(peer));
        join_all(pulls).await;
    }

    async fn pull_from(&self, peer: &P::Id) {
        let after = self.store.seq();
        let result = match self.peers.pull(peer, PullChanges { after }).await {
            Ok(pulled) => {
                match pulled.delta {
                    Delta::Changes(changes) => drop(self.store.apply(&changes)),
                    Delta::Snapshot(snapshot) => drop(self.store.install_newer(snapshot)),
                }
                self.store.confirmations().record_peer(pulled.confirmed_ms);
                "ok"
            }
            Err(_) => "failed",
        };
        metrics::counter!("mustard_catalogue_pulls_total", "result" => result).increment(1);
    }

    fn apply_fetched(&self, fetched: Fetched) {
        match fetched {
            Fetched::UpToDate => {}
            Fetched::Changes(changes) => drop(self.store.apply(&changes)),
            Fetched::Snapshot(snapshot) => {
                let seq = snapshot.seq;
                if self.store.install_newer(snapshot) {
                    info!(self.log, "catalogue: Snapshot installed."; "seq" => seq.0);
                }
            }
        }
    }

    fn record_table_answer(&self) {
        self.store.confirmations().record_table();
        metrics::counter!("mustard_catalogue_rounds_total", "result" => "ok").increment(1);
        if self.failures.replace(0) > 0 {
            info!(self.log, "catalogue: Table answers again.");
            self.emit_table_state(true);
        }
    }

    fn record_table_failure(&self, e: &FetchError) {
        metrics::counter!("mustard_catalogue_rounds_total", "result" => "failed").increment(1);
        let before = self.failures.get();
        self.failures.set(before.saturating_add(1));
        if before == 0 {
            warn!(self.log, "catalogue: Table does not answer, asking peers."; "error" => %e);
            self.emit_table_state(false);
        }
    }

    fn emit_table_state(&self, up: bool) {
        let service = "table".to_owned();
        self.store
            .process()
            .emit(None, EventKind::PlatformState { service, up });
    }

    fn poll_delay(&self) -> Duration {
        let interval = if self.store.is_behind() {
            self.options.poll_interval / 8
        } else {
            self.options.poll_interval
        };
        add_jitter(interval).max(MIN_ROUND_INTERVAL)
    }

    fn retry_delay(&self, e: &FetchError) -> Duration {
        let doublings = self
            .failures
            .get()
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        let backoff = self.options.poll_interval.saturating_mul(1 << doublings);
        let requested = match e {
            FetchError::Platform(PlatformError::Unavailable { retry_ms, .. }) => {
                Duration::from_millis(*retry_ms)
            }
            _ => Duration::ZERO,
        };
        add_jitter(backoff.max(requested).min(self.options.max_backoff)).max(MIN_ROUND_INTERVAL)
    }
}

fn add_jitter(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(1.0 - JITTER_RATIO..1.0 + JITTER_RATIO))
}
