//! A soak run: load under random faults, with all answers checked against the reference text and
//! the stand-ins' ledgers.

mod change;
mod fault;
mod load;
mod tally;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::Cluster;
use crate::errors::Result;
use crate::plan::Plan;

pub use tally::Tally;

const DRAFT_WORKERS: u64 = 6;
const BOOKING_WORKERS: u64 = 3;
/// How often due faults are checked.
const TICK: Duration = Duration::from_millis(50);
/// How long the load continues after the last fault.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// The range of times between two faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 800..4_000;

/// The configuration of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// The seed of load and faults.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// The number of stages for each of the three ranges of layers.
    pub replicas: usize,
    /// The number of plain services.
    pub services: usize,
}

/// Runs load and faults and returns the results.
pub fn run(plan: SoakPlan) -> Result<Arc<Tally>> {
    let cluster_plan = Plan::new()
        .replicas(plan.replicas)
        .services(plan.services)
        .engine_flags(&["--step-us", "2000"])
        .service_flags(&["--call-ms", "20"])
        .entry_settings("[drain]\nnotice_ms = 300\n");
    let mut cluster = Cluster::start(&cluster_plan)?;
    let tally = Arc::new(Tally::default());
    let stop = Arc::new(AtomicBool::new(false));
    let workers = start_load(&cluster, plan.seed, &tally, &stop);
    inject_faults(&mut cluster, plan, &tally)?;
    // The load continues without faults for a while, so that the system recovers.
    thread::sleep(SETTLE_TIME);
    stop.store(true, Ordering::SeqCst);
    for worker in workers {
        let _ = worker.join();
    }
    tally.check_bookings(&cluster)?;
    Ok(tally)
}

fn start_load(
    cluster: &Cluster,
    seed: u64,
    tally: &Arc<Tally>,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let callers = [cluster.caller(0), cluster.caller(1)];
    let mut workers = Vec::new();
    for number in 0..DRAFT_WORKERS {
        let drafter = load::Worker::new(&callers, seed, number, tally, stop);
        workers.push(thread::spawn(move || drafter.run_drafts()));
    }
    for number in DRAFT_WORKERS..DRAFT_WORKERS + BOOKING_WORKERS {
        let booker = load::Worker::new(&callers, seed, number, tally, stop);
        workers.push(thread::spawn(move || booker.run_bookings()));
    }
    let changer = change::CatalogueChanger::new(cluster, seed, tally, stop);
    workers.push(thread::spawn(move || changer.run()));
    workers
}

fn inject_faults(cluster: &mut Cluster, plan: SoakPlan, tally: &Arc<Tally>) -> Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut faults = fault::Faults::new(Arc::clone(tally));
    let end = Instant::now() + plan.duration;
    let mut next = Instant::now();
    while Instant::now() < end {
        if Instant::now() >= next {
            faults.inject(cluster, &mut rng)?;
            next = Instant::now() + Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
        }
        faults.heal_due(cluster)?;
        thread::sleep(TICK);
    }
    faults.heal_all(cluster)
}
