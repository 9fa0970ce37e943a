//! Measures what heartbeats, changes and other control traffic cost one process, against the number
//! of servers, catalogue entries, changes and entry processes that it deals with.

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

use super::fleet::{Fleet, send_change};
use super::probe::{self, Rates};
use super::report::Series;
use super::{Args, fake_agents};

const HEARTBEAT_PAUSE: Duration = Duration::from_millis(500);
/// Enough entry processes that each relays a change to its full fanout.
const RELAY_PROCESSES: usize = 5;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Measures a process over a window of time.
fn measure_process(child: &Child, window: Duration) -> anyhow::Result<Rates> {
    let before = probe::read(child)?;
    sleep(window);
    Ok(probe::read(child)?.since(&before))
}

/// Measures an entry process against the servers that it knows.
pub(super) fn measure_servers(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[16, 64, 128, 256], &[32, 128, 256, 512]);
    let addrs = fake_agents::start(*sizes.last().unwrap_or(&0))?;
    fleet.add_entry()?;
    fleet.wait_ready(0)?;
    let mut series = Series::new("entry", "servers in its subset");
    let mut registered = 0;
    for size in sizes {
        for (number, addr) in addrs.iter().enumerate().take(size).skip(registered) {
            fleet.register_vm(&format!("agent-{number}"), *addr, VmKind::Agent)?;
        }
        registered = size;
        sleep(args.settle_time());
        series.add(
            size as f64,
            measure_process(&fleet.entries[0], args.window())?,
        );
    }
    Ok(series)
}

/// Measures an entry process against the entries of the catalogue.
pub(super) fn measure_entries(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[125, 250, 500, 1_000], &[1_000, 2_000, 4_000, 8_000]);
    fleet.add_entry()?;
    fleet.wait_ready(0)?;
    let operator = fleet.operator(0);
    let mut series = Series::new("entry", "catalogue entries");
    let mut created = 0;
    for size in sizes {
        for number in created..size {
            send_change(&operator, number, 0)?;
        }
        created = size;
        sleep(args.settle_time());
        series.add(
            size as f64,
            measure_process(&fleet.entries[0], args.window())?,
        );
    }
    Ok(series)
}

/// Measures an entry process against the changes a second that another one accepts.
pub(super) fn measure_changes(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[0, 1, 4, 16], &[0, 2, 8, 32]);
    for _ in 0..RELAY_PROCESSES {
        fleet.add_entry()?;
    }
    for entry in 0..RELAY_PROCESSES {
        fleet.wait_ready(entry)?;
    }
    let operator = fleet.operator(0);
    for number in 0..args.sizes(&[500], &[4_000])[0] {
        send_change(&operator, number, 0)?;
    }
    sleep(args.settle_time());
    let mut series = Series::new("entry", "changes a second");
    let mut revisions = vec![1; *sizes.last().unwrap_or(&0)];
    for rate in sizes {
        let before = probe::read(&fleet.entries[1])?;
        for _ in 0..args.window().as_secs() {
            let begin = Instant::now();
            for (number, revision) in revisions.iter_mut().enumerate().take(rate) {
                send_change(&operator, number, *revision)?;
                *revision += 1;
            }
            sleep(Duration::from_secs(1).saturating_sub(begin.elapsed()));
        }
        let after = probe::read(&fleet.entries[1])?;
        series.add(rate as f64, after.since(&before));
    }
    Ok(series)
}

/// Measures an agent against the entry processes that know it.
pub(super) fn measure_agent(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[2, 8, 28, 64], &[8, 28, 64, 128]);
    fleet.add_stage(Layers::new(0, 12), &[])?;
    let agent = &fleet.stages[0].agent;
    let mut series = Series::new("agent", "entries that know it");
    let senders = HeartbeatSenders::start(agent.addr());
    for size in sizes {
        senders.set_count(size);
        sleep(args.settle_time());
        series.add(size as f64, measure_process(agent, args.window())?);
    }
    senders.stop();
    Ok(series)
}

/// Emulated entry processes that only send heartbeats to an agent, on one thread of the bench.
struct HeartbeatSenders {
    count: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
}

impl HeartbeatSenders {
    fn start(to: SocketAddr) -> Self {
        let senders = HeartbeatSenders {
            count: Arc::default(),
            stopped: Arc::default(),
        };
        let (count, stopped) = (Arc::clone(&senders.count), Arc::clone(&senders.stopped));
        std::thread::spawn(move || {
            System::new("entries", DefaultRuntime).block_on(run_senders(to, count, stopped));
        });
        senders
    }

    fn set_count(&self, count: usize) {
        self.count.store(count, Ordering::SeqCst);
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Keeps up to `count` senders running until stopped; `count` only grows.
async fn run_senders(to: SocketAddr, count: Arc<AtomicUsize>, stopped: Arc<AtomicBool>) {
    let mut running = 0;
    while !stopped.load(Ordering::SeqCst) {
        while running < count.load(Ordering::SeqCst) {
            ntex::rt::spawn(send_heartbeats(running, to, Arc::clone(&stopped)));
            running += 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends heartbeats under the name of an entry process until stopped.
async fn send_heartbeats(number: usize, to: SocketAddr, stopped: Arc<AtomicBool>) {
    let client = MessageClient::new(Process::new(&format!("entry-{number}"), 4));
    while !stopped.load(Ordering::SeqCst) {
        let from = format!("entry-{number}");
        let _ = client
            .call(to, Incarnation(0), Heartbeat { from }, CALL_TIMEOUT)
            .await;
        tokio::time::sleep(HEARTBEAT_PAUSE).await;
    }
}
