//! The catalogue in force, read without a lock and moved only forward.

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

use crate::confirm::{Confirm, Standing};

/// How many of the last changes a process keeps for its peers.
const KEPT_CHANGES: usize = 1024;
/// Names the whole catalogue in events of an adopted snapshot.
const WHOLE: &str = "*";

/// What became of offered changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// The changes that came into force, in order.
    pub changes: Vec<Change>,
    /// Whether changes before the offered ones are missing.
    pub gap: bool,
}

/// The catalogue in force at this process.
///
/// Readers get a consistent catalogue by [`Store::current`]. Changes come into force one by one in
/// the order of their numbers; the number in force never falls.
pub struct Store {
    process: Arc<Process>,
    in_force: ArcSwap<Catalogue>,
    recent: Mutex<VecDeque<Change>>,
    seq: watch::Sender<Seq>,
    wake: Notify,
    confirm: Confirm,
    limit: Duration,
}

impl Store {
    /// Creates a store without any entry; `limit` is the longest time to work unconfirmed.
    pub fn new(process: Arc<Process>, limit: Duration) -> Arc<Self> {
        Arc::new(Store {
            process,
            in_force: ArcSwap::default(),
            recent: Mutex::default(),
            seq: watch::Sender::new(Seq(0)),
            wake: Notify::new(),
            confirm: Confirm::default(),
            limit,
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

    /// Returns the record of confirmations.
    pub fn confirm(&self) -> &Confirm {
        &self.confirm
    }

    /// Tells whether new work may start under the catalogue in force.
    pub fn standing(&self) -> Standing {
        self.confirm.standing(self.limit)
    }

    /// Tells whether a newer change was seen than is in force.
    pub fn is_behind(&self) -> bool {
        self.seq() < self.process.newest()
    }

    /// Brings changes into force that follow those in force; older ones are passed over.
    pub fn apply(&self, changes: &[Change]) -> Applied {
        let mut recent = self.lock();
        let mut catalogue = Catalogue::clone(&self.in_force.load());
        let mut applied = Applied::default();
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
            keep(&mut recent, &applied.changes);
            self.publish(catalogue);
        }
        drop(recent);
        self.announce(&applied.changes);
        applied
    }

    /// Takes over a snapshot if it is newer than what is in force.
    pub fn adopt(&self, snapshot: Snapshot) -> bool {
        let seq = snapshot.seq;
        let mut recent = self.lock();
        if seq <= self.seq() {
            return false;
        }
        // The changes in between are not known, so the kept ones would leave a gap.
        recent.clear();
        self.publish(Catalogue::from_snapshot(snapshot));
        drop(recent);
        let entry = WHOLE.to_owned();
        self.process
            .emit(None, EventKind::CatalogueApplied { seq, entry });
        true
    }

    /// Returns what follows a place in the order of changes.
    pub fn delta(&self, after: Seq) -> Delta {
        let recent = self.lock();
        let current = self.current();
        if after >= current.seq() {
            return Delta::Changes(Vec::new());
        }
        let first = recent.front().map_or(Seq(u64::MAX), |c| c.seq);
        if first > after.next() {
            return Delta::Whole(current.snapshot().clone());
        }
        Delta::Changes(recent.iter().filter(|c| c.seq > after).cloned().collect())
    }

    /// Asks the synchronization for a round now.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until a change is in force, or until the time is over.
    ///
    /// Returns whether it is in force.
    pub async fn catch_up(&self, seq: Seq, limit: Duration) -> bool {
        if self.seq() >= seq {
            return true;
        }
        self.process.observe(self.process.tick(), seq);
        self.wake();
        let mut watch = self.seq.subscribe();
        time::timeout(limit, watch.wait_for(|have| *have >= seq))
            .await
            .is_ok_and(|changed| changed.is_ok())
    }

    /// Waits until someone asks for a round.
    pub(crate) async fn woken(&self) {
        self.wake.notified().await;
    }

    fn publish(&self, catalogue: Catalogue) {
        let seq = catalogue.seq();
        self.in_force.store(Arc::new(catalogue));
        self.process.observe(self.process.tick(), seq);
        self.seq.send_replace(seq);
        metrics::gauge!("mustard_catalogue_seq").set(seq.0 as f64);
    }

    fn announce(&self, changes: &[Change]) {
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

fn keep(recent: &mut VecDeque<Change>, changes: &[Change]) {
    recent.extend(changes.iter().cloned());
    let over = recent.len().saturating_sub(KEPT_CHANGES);
    recent.drain(..over);
}
