//! How long accepted changes take to be in force everywhere, and how long joiners take.

use std::thread::sleep;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ntex::rt::{DefaultRuntime, System};
use serde_json::json;

use mustard_core::event::EventKind;
use mustard_core::hlc::Hlc;
use mustard_core::ids::Incarnation;
use mustard_net::{MessageClient, Process};
use mustard_proto::timeline::TimelineRequest;
use mustard_tests::child::Child;

use super::Args;
use super::fleet::{Fleet, change, wait};
use super::report::Delays;

const SLOW_TABLE_MS: u64 = 300;
const OUTAGE: Duration = Duration::from_secs(3);
const READ_LIMIT: Duration = Duration::from_secs(5);

/// How the table is while changes spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TableState {
    /// It answers at once.
    Up,
    /// Each call takes [`SLOW_TABLE_MS`].
    Slow,
    /// It goes down right after each change was accepted, for [`OUTAGE`].
    DownAfter,
}

/// Times from acceptance to force, over the number of entry processes.
pub(super) fn delays(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Vec<Delays>> {
    let sizes = args.sizes(&[2, 4, 8, 16], &[4, 8, 16, 32]);
    let largest = sizes.last().copied();
    let mut all = Vec::new();
    for size in sizes {
        while fleet.entries.len() < size {
            fleet.add_entry()?;
        }
        for entry in 0..size {
            fleet.wait_ready(entry)?;
        }
        // Each process has to have read the list with the newest one.
        sleep(args.settle());
        for state in [TableState::Up, TableState::Slow, TableState::DownAfter] {
            if args.quick && state != TableState::Up && Some(size) != largest {
                continue;
            }
            let changes = match state {
                TableState::DownAfter => args.sizes(&[1], &[3])[0],
                TableState::Slow => args.sizes(&[3], &[40])[0],
                TableState::Up => args.sizes(&[6], &[40])[0],
            };
            all.push(measure(fleet, state, changes)?);
        }
    }
    Ok(all)
}

fn measure(fleet: &Fleet, state: TableState, changes: usize) -> anyhow::Result<Delays> {
    let mut histogram = Histogram::<u64>::new(3)?;
    let first = fleet.catalogue(0)?.seq.0;
    fleet.fault(
        if state == TableState::Slow {
            SLOW_TABLE_MS
        } else {
            0
        },
        false,
    )?;
    for number in 0..changes {
        let entry = number % fleet.entries.len();
        let name = 100_000 + first as usize + number;
        let seq = change(&fleet.operator(entry), name, 0)?;
        if state == TableState::DownAfter {
            fleet.fault(0, true)?;
            sleep(OUTAGE);
            fleet.fault(0, false)?;
        } else {
            sleep(Duration::from_millis(150));
        }
        everywhere(fleet, seq)?;
    }
    fleet.fault(0, false)?;
    for delay in read_delays(fleet, first)? {
        histogram.record(delay)?;
    }
    Ok(Delays {
        processes: fleet.entries.len(),
        state,
        histogram,
    })
}

fn everywhere(fleet: &Fleet, seq: u64) -> anyhow::Result<()> {
    for entry in 0..fleet.entries.len() {
        wait("a change to be in force", || {
            Ok(fleet.catalogue(entry)?.seq.0 >= seq)
        })?;
    }
    Ok(())
}

/// Returns the milliseconds from acceptance to force for each change after `first` and process.
fn read_delays(fleet: &Fleet, first: u64) -> anyhow::Result<Vec<u64>> {
    let addrs: Vec<_> = fleet.entries.iter().map(Child::addr).collect();
    let events = System::new("timeline", DefaultRuntime).block_on(async move {
        let client = MessageClient::new(Process::new("bench", 4)).await;
        let mut events = Vec::new();
        for addr in addrs {
            let ask = TimelineRequest {
                after: Hlc::default(),
                request: None,
            };
            let answer = client.call(addr, Incarnation(0), ask, READ_LIMIT).await?;
            events.extend(answer.events);
        }
        Ok::<_, mustard_net::CallError>(events)
    })?;
    let mut accepted = std::collections::BTreeMap::new();
    for event in &events {
        if let EventKind::CatalogueAccepted { seq, .. } = &event.kind {
            accepted.insert(seq.0, event.at.wall_ms());
        }
    }
    let applied = events.iter().filter_map(|event| match &event.kind {
        EventKind::CatalogueApplied { seq, .. } if seq.0 > first => {
            let at = accepted.get(&seq.0)?;
            Some(event.at.wall_ms().saturating_sub(*at))
        }
        _ => None,
    });
    Ok(applied.collect())
}

/// Start-up of one joiner against the catalogue, and of a burst of them.
pub(super) fn joiners(args: &Args, fleet: &mut Fleet) -> anyhow::Result<serde_json::Value> {
    let sizes = args.sizes(&[125, 250, 500, 1_000], &[1_000, 2_000, 4_000, 8_000]);
    fleet.add_entry()?;
    fleet.wait_ready(0)?;
    let mut single = Vec::new();
    let mut made = 0;
    for size in sizes {
        for number in made..size {
            change(&fleet.operator(0), number, 0)?;
        }
        made = size;
        let begin = Instant::now();
        fleet.add_entry()?;
        fleet.wait_ready(fleet.entries.len() - 1)?;
        single.push((size as f64, begin.elapsed().as_secs_f64() * 1e3));
    }
    let burst = args.sizes(&[8], &[24])[0];
    let begin = Instant::now();
    let first = fleet.entries.len();
    for _ in 0..burst {
        fleet.add_entry()?;
    }
    for entry in first..fleet.entries.len() {
        fleet.wait_ready(entry)?;
    }
    let whole = begin.elapsed().as_secs_f64() * 1e3;
    Ok(json!({
        "entries": made,
        "ms_by_entries": single,
        "burst": burst,
        "burst_ms": whole,
    }))
}
