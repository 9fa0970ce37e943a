//! An operator that changes the catalogue and checks that accepted changes stay in force.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::catalogue::Entry;

use crate::cluster::Cluster;
use crate::operator::{AcceptedChange, Operator};

use super::tally::Tally;

const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time limit for a change to be in force at both entry processes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(30);
const FIRST_BURST: u32 = 20_000;

/// A load thread that changes one catalogue entry through both entry processes.
pub(super) struct CatalogueChanger {
    operators: [Operator; 2],
    entry: Entry,
    rng: ChaCha8Rng,
    tally: Arc<Tally>,
    stop: Arc<AtomicBool>,
}

impl CatalogueChanger {
    pub(super) fn new(
        cluster: &Cluster,
        seed: u64,
        tally: &Arc<Tally>,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        CatalogueChanger {
            operators: [cluster.operator(0), cluster.operator(1)],
            entry: cluster.service_entry(),
            rng: ChaCha8Rng::seed_from_u64(!seed),
            tally: Arc::clone(tally),
            stop: Arc::clone(stop),
        }
    }

    /// Changes the entry's burst limit until the run ends, each time to a higher value.
    pub(super) fn run(mut self) {
        let mut newest = None;
        let mut burst = FIRST_BURST;
        while !self.stop.load(Ordering::SeqCst) {
            burst += 1;
            if let Some(accepted) = self.change_burst(burst) {
                newest = Some((accepted, burst));
                self.wait_in_force(accepted);
            }
            self.check_not_reverted(newest);
            thread::sleep(CHANGE_INTERVAL);
        }
        self.check_not_reverted(newest);
    }

    fn change_burst(&mut self, burst: u32) -> Option<AcceptedChange> {
        let operator = &self.operators[self.rng.random_range(0..2)];
        let revision = self.revision(operator)?;
        self.entry.limits.burst = burst;
        let result = operator.put(&self.entry, revision);
        let outcome = if result.is_ok() {
            "accepted"
        } else {
            "refused"
        };
        self.tally.count_outcome("change", outcome);
        result.ok()
    }

    fn revision(&self, operator: &Operator) -> Option<u64> {
        let snapshot = operator.catalogue().ok()?;
        Some(snapshot.entries.get(&self.entry.name)?.revision.0)
    }

    /// Waits until an accepted change is in force at both entry processes and records how long
    /// that took.
    fn wait_in_force(&self, accepted: AcceptedChange) {
        let accepted_at = Instant::now();
        while accepted_at.elapsed() < PROPAGATION_LIMIT {
            let is_behind = |o: &Operator| o.catalogue().map_or(true, |s| s.seq < accepted.seq);
            if !self.operators.iter().any(is_behind) {
                self.tally.record_propagation(accepted_at.elapsed());
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        let example = format!("change {} took over {PROPAGATION_LIMIT:?}", accepted.seq);
        self.tally
            .record_violation("change in force within seconds", &example);
    }

    /// Checks that no entry process has reverted the newest accepted change.
    fn check_not_reverted(&self, newest: Option<(AcceptedChange, u32)>) {
        let Some((accepted, burst)) = newest else {
            return;
        };
        for operator in &self.operators {
            let Ok(snapshot) = operator.catalogue() else {
                continue;
            };
            let version = snapshot.entries.get(&self.entry.name);
            let limits = version.and_then(|v| v.entry.as_ref()).map(|e| &e.limits);
            let current = limits.map_or(0, |l| l.burst);
            // A later change may be in force although its answer was lost, so a higher burst is
            // allowed.
            if snapshot.seq >= accepted.seq && current < burst {
                let example = format!("burst {current} after {burst} was accepted");
                self.tally
                    .record_violation("change never reverts", &example);
            }
        }
    }
}
