//! The catalogue in force: read without a lock, and replaced only by newer ones.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};
use tokio::time;

use mustard_core::catalogue::{Catalogue, Change, Snapshot};
use mustard_core::event::EventKind;
use mustard_core::ids::Seq;
use mustard_net::Process;
use mustard_proto::catalogue::Delta;

use crate::confirmation::{ConfirmationState, Confirmations};

/// How many of the last changes a process keeps for its peers; a peer further behind gets a
/// snapshot.
const MAX_RECENT_CHANGES: usize = 1024;
/// Stands for all entries in the event of an installed snapshot.
const ALL_ENTRIES: &str = "*";

/// The changes that [`CatalogueStore::apply`] brought into force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedChanges {
    /// The changes that came into force, in order.
    pub changes: Vec<Change>,
    /// Whether some changes could not be applied because earlier ones are not in force yet.
    pub gap: bool,
}

/// The catalogue in force at this process.
///
/// Readers get a consistent catalogue from [`CatalogueStore::current`]. Changes come into force in
/// the order of their numbers, without gaps, and the number in force never decreases.
pub struct CatalogueStore {
    process: Arc<Process>,
    in_force: ArcSwap<Catalogue>,
    /// The last changes in force, consecutive, for peers that lack them.
    recent: Mutex<VecDeque<Change>>,
    seq_sender: watch::Sender<Seq>,
    sync_wakeup: Notify,
    confirmations: Confirmations,
    unconfirmed_limit: Duration,
}

impl CatalogueStore {
    /// Creates a store with an empty catalogue; `unconfirmed_limit` is the longest time for which
    /// new work may start without a confirmation.
    pub fn new(process: Arc<Process>, unconfirmed_limit: Duration) -> Arc<Self> {
        Arc::new(CatalogueStore {
            process,
            in_force: ArcSwap::default(),
            recent: Mutex::default(),
            seq_sender: watch::Sender::new(Seq(0)),
            sync_wakeup: Notify::new(),
            confirmations: Confirmations::default(),
            unconfirmed_limit,
        })
    }

    /// Returns the catalogue in force.
    pub fn current(&self) -> Arc<Catalogue> {
        self.in_force.load_full()
    }

    /// Returns the number of the last change in force.
    pub fn seq(&self) -> Seq {
        self.in_force.load().seq()
    }

    /// Returns the process that the store belongs to.
    pub fn process(&self) -> &Arc<Process> {
        &self.process
    }

    /// Returns the times of the last confirmations of the catalogue.
    pub fn confirmations(&self) -> &Confirmations {
        &self.confirmations
    }

    /// Returns whether new work may start under the catalogue in force.
    pub fn confirmation_state(&self) -> ConfirmationState {
        self.confirmations.state(self.unconfirmed_limit)
    }

    /// Returns whether a change newer than those in force is known to exist.
    pub fn is_behind(&self) -> bool {
        self.seq() < self.process.newest_seq()
    }

    /// Applies the changes that follow those in force; changes already in force are ignored.
    pub fn apply(&self, changes: &[Change]) -> AppliedChanges {
        let mut recent = self.lock();
        let mut catalogue = Catalogue::clone(&self.in_force.load());
        let mut applied = AppliedChanges::default();
        for change in changes {
            match catalogue.apply(change) {
                Ok(true) => applied.changes.push(change.clone()),
                Ok(false) => {}
                Err(_) => {
                    applied.gap = true;
                    break;
                }
            }
        }
        if !applied.changes.is_empty() {
            keep_recent(&mut recent, &applied.changes);
            self.publish(catalogue);
        }
        drop(recent);
        self.record_applied(&applied.changes);
        applied
    }

    /// Replaces the catalogue by a snapshot if that is newer, and returns whether it did.
    pub fn install_newer(&self, snapshot: Snapshot) -> bool {
        let seq = snapshot.seq;
        let mut recent = self.lock();
        if seq <= self.seq() {
            return false;
        }
        // The changes between the recent ones and the snapshot are unknown; the recent ones must
        // stay consecutive.
        recent.clear();
        self.publish(Catalogue::from_snapshot(snapshot));
        drop(recent);
        let entry = ALL_ENTRIES.to_owned();
        self.process
            .emit(None, EventKind::CatalogueApplied { seq, entry });
        true
    }

    /// Returns the changes after `after`, or a snapshot if some of them are no longer kept.
    pub fn changes_after(&self, after: Seq) -> Delta {
        let recent = self.lock();
        let current = self.current();
        if after >= current.seq() {
            return Delta::Changes(Vec::new());
        }
        let first = recent.front().map_or(Seq(u64::MAX), |c| c.seq);
        if first > after.next() {
            return Delta::Snapshot(current.snapshot().clone());
        }
        Delta::Changes(recent.iter().filter(|c| c.seq > after).cloned().collect())
    }

    /// Wakes the synchronization, so that it pushes new changes and fetches missing ones.
    pub fn wake_sync(&self) {
        self.sync_wakeup.notify_one();
    }

    /// Wakes the synchronization and waits until the change `seq` is in force, or until the
    /// timeout.
    ///
    /// Returns whether the change is in force.
    pub async fn catch_up(&self, seq: Seq, timeout: Duration) -> bool {
        if self.seq() >= seq {
            return true;
        }
        self.process.observe(self.process.tick(), seq);
        self.wake_sync();
        let mut receiver = self.seq_sender.subscribe();
        time::timeout(timeout, receiver.wait_for(|have| *have >= seq))
            .await
            .is_ok_and(|changed| changed.is_ok())
    }

    /// Waits for the next call of [`CatalogueStore::wake_sync`].
    pub(crate) async fn sync_woken(&self) {
        self.sync_wakeup.notified().await;
    }

    fn publish(&self, catalogue: Catalogue) {
        let seq = catalogue.seq();
        self.in_force.store(Arc::new(catalogue));
        self.process.observe(self.process.tick(), seq);
        self.seq_sender.send_replace(seq);
        metrics::gauge!("mustard_catalogue_seq").set(seq.0 as f64);
    }

    fn record_applied(&self, changes: &[Change]) {
        for change in changes {
            let entry = change.op.name().to_owned();
            let seq = change.seq;
            self.process
                .emit(None, EventKind::CatalogueApplied { seq, entry });
        }
        metrics::counter!("mustard_catalogue_applied_total").increment(changes.len() as u64);
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Change>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn keep_recent(recent: &mut VecDeque<Change>, changes: &[Change]) {
    recent.extend(changes.iter().cloned());
    let excess = recent.len().saturating_sub(MAX_RECENT_CHANGES);
    recent.drain(..excess);
}
