//! A long run under random faults that judges every promise by the stand-ins' ledgers.

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

const DRAFTERS: u64 = 6;
const BOOKERS: u64 = 3;
const STEP: Duration = Duration::from_millis(50);
const CALM: Duration = Duration::from_secs(15);
const FAULT_PAUSE_MS: std::ops::Range<u64> = 800..4_000;

/// What a long run consists of.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// The seed of loads and faults.
    pub seed: u64,
    /// How long faults are brought about.
    pub time: Duration,
    /// The number of stages for each of the three ranges of layers.
    pub replicas: usize,
    /// The number of plain services.
    pub services: usize,
}

/// Runs loads and faults and returns what was seen.
pub fn run(plan: SoakPlan) -> Result<Arc<Tally>> {
    let processes = Plan::new()
        .replicas(plan.replicas)
        .services(plan.services)
        .engine(&["--step-us", "2000"])
        .service(&["--call-ms", "20"])
        .entry("[drain]\nnotice_ms = 300\n");
    let mut cluster = Cluster::start(&processes)?;
    let tally = Arc::new(Tally::default());
    let stop = Arc::new(AtomicBool::new(false));
    let workers = start_load(&cluster, plan.seed, &tally, &stop);
    bring_faults(&mut cluster, plan, &tally)?;
    // The load goes on without faults for a while, so that everything settles.
    thread::sleep(CALM);
    stop.store(true, Ordering::SeqCst);
    for worker in workers {
        let _ = worker.join();
    }
    tally.judge(&cluster)?;
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
    for number in 0..DRAFTERS {
        let drafter = load::Worker::new(&callers, seed, number, tally, stop);
        workers.push(thread::spawn(move || drafter.draft()));
    }
    for number in DRAFTERS..DRAFTERS + BOOKERS {
        let booker = load::Worker::new(&callers, seed, number, tally, stop);
        workers.push(thread::spawn(move || booker.book()));
    }
    let changer = change::Changer::new(cluster, seed, tally, stop);
    workers.push(thread::spawn(move || changer.run()));
    workers
}

fn bring_faults(cluster: &mut Cluster, plan: SoakPlan, tally: &Arc<Tally>) -> Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut faults = fault::Faults::new(Arc::clone(tally));
    let end = Instant::now() + plan.time;
    let mut next = Instant::now();
    while Instant::now() < end {
        if Instant::now() >= next {
            faults.bring(cluster, &mut rng)?;
            next = Instant::now() + Duration::from_millis(rng.random_range(FAULT_PAUSE_MS));
        }
        faults.heal_due(cluster)?;
        thread::sleep(STEP);
    }
    faults.heal_all(cluster)
}
