//! An operator who changes the catalogue and checks that changes stay in force.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::catalogue::Entry;

use crate::cluster::Cluster;
use crate::operator::{Accepted, Operator};

use super::tally::Tally;

const PAUSE: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(50);
const SPREAD_LIMIT: Duration = Duration::from_secs(30);
const FIRST_BURST: u32 = 20_000;

/// The operator.
pub(super) struct Changer {
    operators: [Operator; 2],
    entry: Entry,
    rng: ChaCha8Rng,
    tally: Arc<Tally>,
    stop: Arc<AtomicBool>,
}

impl Changer {
    pub(super) fn new(
        cluster: &Cluster,
        seed: u64,
        tally: &Arc<Tally>,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        Changer {
            operators: [cluster.operator(0), cluster.operator(1)],
            entry: cluster.service_entry(),
            rng: ChaCha8Rng::seed_from_u64(!seed),
            tally: Arc::clone(tally),
            stop: Arc::clone(stop),
        }
    }

    /// Changes the burst of one entry, each time to a new number.
    pub(super) fn run(mut self) {
        let mut newest = None;
        let mut burst = FIRST_BURST;
        while !self.stop.load(Ordering::SeqCst) {
            burst += 1;
            if let Some(accepted) = self.change(burst) {
                newest = Some((accepted, burst));
                self.watch(accepted);
            }
            self.check(newest);
            thread::sleep(PAUSE);
        }
        self.check(newest);
    }

    fn change(&mut self, burst: u32) -> Option<Accepted> {
        let operator = &self.operators[self.rng.random_range(0..2)];
        let revision = self.revision(operator)?;
        self.entry.limits.burst = burst;
        let result = operator.put(&self.entry, revision);
        let outcome = if result.is_ok() {
            "accepted"
        } else {
            "refused"
        };
        self.tally.outcome("change", outcome);
        result.ok()
    }

    fn revision(&self, operator: &Operator) -> Option<u64> {
        let snapshot = operator.catalogue().ok()?;
        Some(snapshot.entries.get(&self.entry.name)?.revision.0)
    }

    /// Waits until an accepted change is in force at both entries.
    fn watch(&self, accepted: Accepted) {
        let start = Instant::now();
        while start.elapsed() < SPREAD_LIMIT {
            let behind = |o: &Operator| o.catalogue().map_or(true, |s| s.seq < accepted.seq);
            if !self.operators.iter().any(behind) {
                self.tally.spread(start.elapsed());
                return;
            }
            thread::sleep(POLL);
        }
        let example = format!("change {} took over {SPREAD_LIMIT:?}", accepted.seq);
        self.tally
            .broken("change in force within seconds", &example);
    }

    /// Checks that no entry process has gone back behind the newest accepted change.
    fn check(&self, newest: Option<(Accepted, u32)>) {
        let Some((accepted, burst)) = newest else {
            return;
        };
        for operator in &self.operators {
            let Ok(snapshot) = operator.catalogue() else {
                continue;
            };
            let version = snapshot.entries.get(&self.entry.name);
            let limits = version.and_then(|v| v.entry.as_ref()).map(|e| &e.limits);
            let now = limits.map_or(0, |l| l.burst);
            // A later change whose answer was lost may be in force too.
            if snapshot.seq >= accepted.seq && now < burst {
                let example = format!("burst {now} after {burst} was accepted");
                self.tally.broken("change never reverts", &example);
            }
        }
    }
}
