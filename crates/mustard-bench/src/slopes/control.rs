//! What control costs one process, against what it has to know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use ntex::rt::{DefaultRuntime, System};

use mustard_core::ids::{Incarnation, Layers};
use mustard_net::{MessageClient, Process};
use mustard_platform::vms::VmKind;
use mustard_proto::agent::Heartbeat;
use mustard_tests::child::Child;

use super::fleet::{Fleet, change};
use super::probe::{self, Rates};
use super::report::Series;
use super::{Args, peers};

const HEARTBEAT_PAUSE: Duration = Duration::from_millis(500);
/// Enough for each process to hand a change to as many others as it ever does.
const RELAY_PROCESSES: usize = 5;
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Measures a process over a time.
fn watch(child: &Child, window: Duration) -> anyhow::Result<Rates> {
    let before = probe::read(child)?;
    sleep(window);
    Ok(probe::read(child)?.since(&before))
}

/// An entry process against the servers that it knows.
pub(super) fn servers(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[16, 64, 128, 256], &[32, 128, 256, 512]);
    let addrs = peers::start(*sizes.last().unwrap_or(&0))?;
    fleet.add_entry()?;
    fleet.wait_ready(0)?;
    let mut series = Series::new("entry", "servers in its subset");
    let mut listed = 0;
    for size in sizes {
        for (number, addr) in addrs.iter().enumerate().take(size).skip(listed) {
            fleet.list(&format!("agent-{number}"), *addr, VmKind::Agent)?;
        }
        listed = size;
        sleep(args.settle());
        series.add(size as f64, watch(&fleet.entries[0], args.window())?);
    }
    Ok(series)
}

/// An entry process against the entries of the catalogue.
pub(super) fn entries(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[125, 250, 500, 1_000], &[1_000, 2_000, 4_000, 8_000]);
    fleet.add_entry()?;
    fleet.wait_ready(0)?;
    let operator = fleet.operator(0);
    let mut series = Series::new("entry", "catalogue entries");
    let mut made = 0;
    for size in sizes {
        for number in made..size {
            change(&operator, number, 0)?;
        }
        made = size;
        sleep(args.settle());
        series.add(size as f64, watch(&fleet.entries[0], args.window())?);
    }
    Ok(series)
}

/// An entry process against the changes a second that another one accepts.
pub(super) fn changes(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[0, 1, 4, 16], &[0, 2, 8, 32]);
    for _ in 0..RELAY_PROCESSES {
        fleet.add_entry()?;
    }
    for entry in 0..RELAY_PROCESSES {
        fleet.wait_ready(entry)?;
    }
    let operator = fleet.operator(0);
    for number in 0..args.sizes(&[500], &[4_000])[0] {
        change(&operator, number, 0)?;
    }
    sleep(args.settle());
    let mut series = Series::new("entry", "changes a second");
    let mut revisions = vec![1; *sizes.last().unwrap_or(&0)];
    for rate in sizes {
        let before = probe::read(&fleet.entries[1])?;
        for _ in 0..args.window().as_secs() {
            let begin = Instant::now();
            for (number, revision) in revisions.iter_mut().enumerate().take(rate) {
                change(&operator, number, *revision)?;
                *revision += 1;
            }
            sleep(Duration::from_secs(1).saturating_sub(begin.elapsed()));
        }
        let after = probe::read(&fleet.entries[1])?;
        series.add(rate as f64, after.since(&before));
    }
    Ok(series)
}

/// An agent against the entry processes that know it.
pub(super) fn agent(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[2, 8, 28, 64], &[8, 28, 64, 128]);
    fleet.add_stage(Layers::new(0, 12), &[])?;
    let agent = &fleet.stages[0].agent;
    let mut series = Series::new("agent", "entries that know it");
    let asking = Asking::start(agent.addr());
    for size in sizes {
        asking.set(size);
        sleep(args.settle());
        series.add(size as f64, watch(agent, args.window())?);
    }
    asking.stop();
    Ok(series)
}

/// Entry processes that only ask for an agent's state, on one thread of the bench.
struct Asking {
    count: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
}

impl Asking {
    fn start(to: SocketAddr) -> Self {
        let asking = Asking {
            count: Arc::default(),
            ended: Arc::default(),
        };
        let (count, ended) = (Arc::clone(&asking.count), Arc::clone(&asking.ended));
        std::thread::spawn(move || {
            System::new("entries", DefaultRuntime).block_on(ask_all(to, count, ended));
        });
        asking
    }

    fn set(&self, count: usize) {
        self.count.store(count, Ordering::SeqCst);
    }

    fn stop(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

async fn ask_all(to: SocketAddr, count: Arc<AtomicUsize>, ended: Arc<AtomicBool>) {
    let mut running = 0;
    while !ended.load(Ordering::SeqCst) {
        while running < count.load(Ordering::SeqCst) {
            ntex::rt::spawn(ask_often(running, to, Arc::clone(&ended)));
            running += 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn ask_often(number: usize, to: SocketAddr, ended: Arc<AtomicBool>) {
    let client = MessageClient::new(Process::new(&format!("entry-{number}"), 4)).await;
    while !ended.load(Ordering::SeqCst) {
        let from = format!("entry-{number}");
        let _ = client
            .call(to, Incarnation(0), Heartbeat { from }, CALL_LIMIT)
            .await;
        tokio::time::sleep(HEARTBEAT_PAUSE).await;
    }
}
