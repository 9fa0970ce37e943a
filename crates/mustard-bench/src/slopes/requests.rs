//! Measures what customers' requests cost an entry process and an agent.

use std::rc::Rc;
use std::thread::sleep;
use std::time::Duration;

use anyhow::bail;
use ntex::rt::{DefaultRuntime, System};
use tokio::time::Instant;

use mustard_core::ids::Layers;
use mustard_net::http;

use super::Args;
use super::fleet::{CUSTOMER_KEY, Fleet, MODEL, SERVICE, customer_entry_name, wait_until};
use super::probe;
use super::report::Series;
use crate::load::{self, Arrival, Ending, Kind, Scenario};

/// The layers of the three stages, which together hold the whole model.
const STAGES: [Layers; 3] = [Layers::new(0, 4), Layers::new(4, 8), Layers::new(8, 12)];
/// Tokens of a prompt.
pub(super) const PROMPT_TOKENS: u32 = 32;
/// Tokens of a draft.
pub(super) const DRAFT_TOKENS: u32 = 64;
/// Engine time of a step when drafts must stay in flight while memory is read, in microseconds.
const LONG_STEP_US: &str = "100000";
/// Tokens of a draft with steps of [`LONG_STEP_US`].
const LONG_DRAFT_TOKENS: u32 = 13;

/// Returns the arguments of a steady load of drafts by the bench's customer; callers change what
/// they need.
pub(super) fn load_args(fleet: &Fleet) -> load::Args {
    load::Args {
        entry: vec![fleet.entries[0].addr()],
        key: CUSTOMER_KEY.to_owned(),
        model: MODEL.to_owned(),
        service: SERVICE.to_owned(),
        scenario: Scenario::Steady,
        rate: 1.0,
        seconds: 1,
        tokens: DRAFT_TOKENS,
        prompt: PROMPT_TOKENS,
        deadline_ms: 60_000,
        bookings: 0.0,
        reads: 0.0,
        threads: 2,
        seed: 1,
    }
}

/// Waits until a request of a kind gets a good answer.
fn warm_up(fleet: &Fleet, kind: Kind) -> anyhow::Result<()> {
    let mut args = load_args(fleet);
    args.rate = 5.0;
    args.tokens = 2;
    args.bookings = f64::from(u8::from(kind == Kind::Booking));
    args.reads = f64::from(u8::from(kind == Kind::Read));
    wait_until("a first good answer", || {
        args.seed += 1;
        Ok(load::offer(&args)?.total(Ending::Good) > 0)
    })?;
    Ok(())
}

/// Measures an entry process and the agent of a plain service against bookings (`book`) or status
/// reads a second.
pub(super) fn measure_calls(
    args: &Args,
    fleet: &mut Fleet,
    book: bool,
) -> anyhow::Result<Vec<Series>> {
    let rates = match book {
        true => args.sizes(&[25, 100, 200, 400], &[50, 200, 400, 800]),
        false => args.sizes(&[250, 500, 1_000, 2_000], &[500, 1_000, 2_000, 4_000]),
    };
    fleet.add_service()?;
    fleet.add_entry()?;
    fleet.wait_ready(0)?;
    fleet.add_unlimited_entries()?;
    let (kind, count) = match book {
        true => (Kind::Booking, "bookings a second"),
        false => (Kind::Read, "status reads a second"),
    };
    warm_up(fleet, kind)?;
    let mut entry = Series::new("entry", count);
    let mut agent = Series::new("agent of a plain service", count);
    for rate in rates {
        let mut load = load_args(fleet);
        load.rate = rate as f64;
        load.seconds = args.window().as_secs();
        load.seed = rate as u64;
        load.bookings = f64::from(u8::from(book));
        load.reads = f64::from(u8::from(!book));
        let before = (
            probe::read(&fleet.entries[0])?,
            probe::read(&fleet.services[0].agent)?,
        );
        let tally = load::offer(&load)?;
        let after = (
            probe::read(&fleet.entries[0])?,
            probe::read(&fleet.services[0].agent)?,
        );
        // Only good answers count, over the time between the two readings of the processes.
        let seconds = after.0.seconds_since(&before.0);
        let good = tally.total(Ending::Good) as f64 / seconds;
        entry.add(good, after.0.since(&before.0));
        agent.add(good, after.1.since(&before.1));
    }
    Ok(vec![entry, agent])
}

/// Starts three stages and an entry process that serves drafts over them.
pub(super) fn add_stages(fleet: &mut Fleet, flags: &[&str]) -> anyhow::Result<()> {
    for layers in STAGES {
        fleet.add_stage(layers, flags)?;
    }
    fleet.add_entry()?;
    fleet.wait_ready(0)?;
    fleet.add_unlimited_entries()?;
    warm_up(fleet, Kind::Draft)
}

/// Measures an entry process and an agent, above all their memory, against drafts in flight.
pub(super) fn measure_flight(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Vec<Series>> {
    let sizes = args.sizes(&[20, 50, 100, 200], &[20, 50, 100, 200]);
    add_stages(fleet, &["--step-us", LONG_STEP_US])?;
    let mut entry = Series::new("entry", "drafts in flight");
    let mut agent = Series::new("agent of the first stage", "drafts in flight");
    for size in sizes {
        let mut load = load_args(fleet);
        load.rate = size as f64;
        load.tokens = LONG_DRAFT_TOKENS;
        load.seed = size as u64;
        let running = std::thread::spawn(move || load::offer(&load));
        sleep(Duration::from_millis(2_500));
        let before = (
            probe::read(&fleet.entries[0])?,
            probe::read(&fleet.stages[0].agent)?,
        );
        sleep(Duration::from_secs(1));
        let after = (
            probe::read(&fleet.entries[0])?,
            probe::read(&fleet.stages[0].agent)?,
        );
        entry.add(size as f64, after.0.since(&before.0));
        agent.add(size as f64, after.1.since(&before.1));
        let Ok(tally) = running.join() else {
            bail!("the thread that offers the load panicked");
        };
        println!("{size} drafts: {} good", tally?.total(Ending::Good));
    }
    Ok(vec![entry, agent])
}

/// Measures an entry process against customers that use it, each with one status read a second.
///
/// A second entry process keeps the limits of half of them, as in any deployment with more than one
/// entry process.
pub(super) fn measure_customers(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Series> {
    let sizes = args.sizes(&[10, 20, 40, 80], &[25, 50, 100, 200]);
    fleet.add_service()?;
    for entry in 0..2 {
        fleet.add_entry()?;
        fleet.wait_ready(entry)?;
    }
    fleet.add_unlimited_entries()?;
    warm_up(fleet, Kind::Read)?;
    for number in 0..*sizes.last().unwrap_or(&0) {
        fleet.add_customer_entry(number)?;
    }
    let mut series = Series::new("entry", "customers that use it, at one request a second");
    for size in sizes {
        let running = read_statuses(fleet, size, args.settle_time() + args.window());
        sleep(args.settle_time());
        let before = probe::read(&fleet.entries[0])?;
        sleep(args.window() - Duration::from_millis(200));
        series.add(size as f64, probe::read(&fleet.entries[0])?.since(&before));
        let Ok(()) = running.join() else {
            bail!("the thread that offers the load panicked");
        };
    }
    Ok(series)
}

/// Sends one status read a second for each of `size` customers, on a thread of its own.
fn read_statuses(fleet: &Fleet, size: usize, time: Duration) -> std::thread::JoinHandle<()> {
    let args = load_args(fleet);
    std::thread::spawn(move || {
        System::new("customers", DefaultRuntime).block_on(async move {
            let http = http::new_client();
            let end = Instant::now() + time;
            while Instant::now() < end {
                let due = Instant::now();
                for number in 0..size {
                    let service = customer_entry_name(number);
                    let args = Rc::new(load::Args {
                        service,
                        ..args.clone()
                    });
                    let arrival = Arrival {
                        number: 0,
                        offset: Duration::ZERO,
                        kind: Kind::Read,
                        salt: 0,
                    };
                    ntex::rt::spawn(load::send(http.clone(), args, arrival, due));
                    tokio::time::sleep(Duration::from_secs(1) / size as u32).await;
                }
            }
        });
    })
}
