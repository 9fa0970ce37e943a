//! Measures how long accepted changes take until every entry process applies them, and how long a
//! joining entry process takes to be ready.

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
use super::fleet::{Fleet, send_change, wait_until};
use super::report::Delays;

/// Delay of each call of the table in [`TableState::Slow`].
const SLOW_TABLE_MS: u64 = 300;
/// How long the table stays down in [`TableState::DownAfter`].
const OUTAGE: Duration = Duration::from_secs(3);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The table's state while changes are propagated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TableState {
    /// It answers at once.
    Up,
    /// Each call takes [`SLOW_TABLE_MS`].
    Slow,
    /// It goes down for [`OUTAGE`] right after each change was accepted.
    DownAfter,
}

/// Measures the delay of changes at several numbers of entry processes and states of the table.
pub(super) fn measure_delays(args: &Args, fleet: &mut Fleet) -> anyhow::Result<Vec<Delays>> {
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
        // Every process must have read the list of VMs that contains the newest one.
        sleep(args.settle_time());
        for state in [TableState::Up, TableState::Slow, TableState::DownAfter] {
            if args.quick && state != TableState::Up && Some(size) != largest {
                continue;
            }
            let changes = match state {
                TableState::DownAfter => args.sizes(&[1], &[3])[0],
                TableState::Slow => args.sizes(&[3], &[40])[0],
                TableState::Up => args.sizes(&[6], &[40])[0],
            };
            all.push(measure_delays_in(fleet, state, changes)?);
        }
    }
    Ok(all)
}

/// Sends changes to the entry processes in turn and returns their delays.
fn measure_delays_in(fleet: &Fleet, state: TableState, changes: usize) -> anyhow::Result<Delays> {
    let mut histogram = Histogram::<u64>::new(3)?;
    let start_seq = fleet.catalogue(0)?.seq.0;
    fleet.set_table_fault(
        if state == TableState::Slow {
            SLOW_TABLE_MS
        } else {
            0
        },
        false,
    )?;
    for number in 0..changes {
        let entry = number % fleet.entries.len();
        // A number that no catalogue entry has yet, so that the expected revision is 0.
        let entry_number = 100_000 + start_seq as usize + number;
        let seq = send_change(&fleet.operator(entry), entry_number, 0)?;
        if state == TableState::DownAfter {
            fleet.set_table_fault(0, true)?;
            sleep(OUTAGE);
            fleet.set_table_fault(0, false)?;
        } else {
            sleep(Duration::from_millis(150));
        }
        wait_applied(fleet, seq)?;
    }
    fleet.set_table_fault(0, false)?;
    for delay in read_delays(fleet, start_seq)? {
        histogram.record(delay)?;
    }
    Ok(Delays {
        processes: fleet.entries.len(),
        state,
        histogram,
    })
}

/// Waits until all entry processes have applied a change.
fn wait_applied(fleet: &Fleet, seq: u64) -> anyhow::Result<()> {
    for entry in 0..fleet.entries.len() {
        wait_until("a change to be applied", || {
            Ok(fleet.catalogue(entry)?.seq.0 >= seq)
        })?;
    }
    Ok(())
}

/// Returns the milliseconds from the acceptance of each change after `start_seq` until each process
/// applied it.
fn read_delays(fleet: &Fleet, start_seq: u64) -> anyhow::Result<Vec<u64>> {
    let addrs: Vec<_> = fleet.entries.iter().map(Child::addr).collect();
    let events = System::new("timeline", DefaultRuntime).block_on(async move {
        let client = MessageClient::new(Process::new("bench", 4));
        let mut events = Vec::new();
        for addr in addrs {
            let request = TimelineRequest {
                after: Hlc::default(),
                request: None,
            };
            let answer = client
                .call(addr, Incarnation(0), request, READ_TIMEOUT)
                .await?;
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
        EventKind::CatalogueApplied { seq, .. } if seq.0 > start_seq => {
            let at = accepted.get(&seq.0)?;
            Some(event.at.wall_ms().saturating_sub(*at))
        }
        _ => None,
    });
    Ok(applied.collect())
}

/// Measures the start-up time of one entry process against the entries of the catalogue, and of
/// several started one right after the other.
pub(super) fn measure_joiners(args: &Args, fleet: &mut Fleet) -> anyhow::Result<serde_json::Value> {
    let sizes = args.sizes(&[125, 250, 500, 1_000], &[1_000, 2_000, 4_000, 8_000]);
    fleet.add_entry()?;
    fleet.wait_ready(0)?;
    let mut single = Vec::new();
    let mut created = 0;
    for size in sizes {
        for number in created..size {
            send_change(&fleet.operator(0), number, 0)?;
        }
        created = size;
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
    let burst_ms = begin.elapsed().as_secs_f64() * 1e3;
    Ok(json!({
        "entries": created,
        "ms_by_entries": single,
        "burst": burst,
        "burst_ms": burst_ms,
    }))
}
