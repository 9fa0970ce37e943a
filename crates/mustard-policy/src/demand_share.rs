//! The share of this process in the crossings between failure domains, by demand.
//!
//! Each process reports how many crossings per second its requests ask for, and passes on the newest
//! reports of others. Half of the capacity is divided evenly. The other half is divided by demand among
//! the processes with a recent report, after the even parts of the others were taken out of it. Each
//! group of processes that can't reach the rest therefore uses no more than its even part.
//!
//! Shares add up to the capacity only if all processes divide by the same demand. The reports of others
//! are some time old, so a process takes its own demand of that time too. With its present demand, all
//! processes whose demand rises at once would take too much.

use std::collections::VecDeque;
use std::hash::{BuildHasher, Hash};
use std::time::Duration;

use rustc_hash::FxBuildHasher;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

/// The time over which demand is averaged.
const WINDOW: Duration = Duration::from_secs(2);
/// The resolution of the average and of the own history.
const SLOT: Duration = Duration::from_millis(100);
/// The age from which a report no longer counts.
pub const MAX_AGE: Duration = Duration::from_secs(5);
/// The part of the capacity that is divided evenly.
const EVEN_PART: f64 = 0.5;
/// What is added to the demand of each process, as a fraction of an even part of the capacity. Few requests
/// in the time of the average say little of the demand: when requests began after a time without any, the
/// shares summed to 1.17 of the capacity with a quarter, and to 1.12 with a half (20 seeds of the simulation
/// in `tests/demand_share.rs`).
const PRIOR: f64 = 0.5;
/// The time after its first share in which a process that knows of others has none, as it has heard from
/// few of them. Processes that are started together know each other after four rounds of messages.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// The highest demand that is believed, in crossings per second; a report beyond it is faulty.
const MAX_RATE: f64 = 10_000.0;
/// The most waiting requests that are told apart; further ones count in each search.
const MAX_WAITING: usize = 4_096;

/// The demand of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandReport<K> {
    /// The process.
    pub from: K,
    /// The crossings per second that its requests asked for.
    pub rate: f64,
    /// When it measured them.
    pub at: Moment,
}

/// The share of this process, and what it was computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// The fraction of the capacity that this process may use.
    pub fraction: f64,
    /// The present demand of this process, in crossings per second.
    pub demand: f64,
    /// The demand of all processes with a recent report, in crossings per second.
    pub total: f64,
    /// The number of processes with a recent report, this one included.
    pub heard: usize,
    /// The number of processes among which the even part is divided.
    pub processes: usize,
    /// The mean age of the reports of the other processes.
    pub age: Duration,
}

/// The demand of this process and, as far as it was reported, of the others.
#[derive(Clone, Debug)]
pub struct DemandShares<K> {
    own: K,
    /// When a share was first computed; reports may be exchanged only from then on.
    started_at: Option<Moment>,
    window: DemandWindow,
    /// When each request that asked and wasn't granted its crossings was counted, by a hash of its id.
    waiting: Map<u64, Moment>,
    reports: Map<K, DemandReport<K>>,
    /// The largest number of processes ever counted.
    processes: usize,
}

impl<K: Copy + Eq + Hash + Ord> DemandShares<K> {
    /// Creates the state of a process that knows of no demand.
    pub fn new(own: K) -> Self {
        DemandShares {
            own,
            started_at: None,
            window: DemandWindow::default(),
            waiting: Map::default(),
            reports: Map::default(),
            processes: 1,
        }
    }

    /// Records that a request asks for crossings. One that was refused and asks again within the time of the
    /// average counts once, so that waiting doesn't multiply demand.
    pub fn record_ask(&mut self, now: Moment, request: impl Hash, crossings: u32) {
        let request = FxBuildHasher.hash_one(request);
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.retain(|_, at| now.since(*at) < WINDOW);
        }
        let counted = self.waiting.get(&request);
        if counted.is_some_and(|at| now.since(*at) < WINDOW) {
            return;
        }
        if self.waiting.len() < MAX_WAITING {
            self.waiting.insert(request, now);
        }
        self.window.add(now, f64::from(crossings));
    }

    /// Records that a request was granted its crossings. What it asks for later is new demand.
    pub fn record_grant(&mut self, request: impl Hash) {
        self.waiting.remove(&FxBuildHasher.hash_one(request));
    }

    /// Records the number of processes that another one counts.
    pub fn observe_processes(&mut self, count: usize) {
        self.processes = self.processes.max(count);
    }

    /// Applies a report of another process, unless a newer one is known.
    pub fn apply_report(&mut self, now: Moment, report: DemandReport<K>) {
        let is_valid = (0.0..=MAX_RATE).contains(&report.rate) && report.at <= now;
        if report.from == self.own || !is_valid || now.since(report.at) >= MAX_AGE {
            return;
        }
        let known = self.reports.entry(report.from).or_insert(report);
        if report.at > known.at {
            *known = report;
        }
    }

    /// Returns the newest reports, at most `limit`; the own one comes first.
    pub fn reports_to_share(&mut self, now: Moment, limit: usize) -> Vec<DemandReport<K>> {
        self.remove_expired(now);
        let mut reports: Vec<_> = self.reports.values().copied().collect();
        reports.sort_unstable_by_key(|r| (now.since(r.at), r.from));
        let own = DemandReport {
            from: self.own,
            rate: self.window.rate(now, Duration::ZERO),
            at: now,
        };
        reports.insert(0, own);
        reports.truncate(limit);
        reports
    }

    /// Returns the number of processes with a recent report, this one included.
    pub fn heard(&mut self, now: Moment) -> usize {
        self.remove_expired(now);
        self.reports.len() + 1
    }

    /// Returns the share of this process in a capacity, in crossings per second. `known` is the number of processes that it knows of, heard from or
    /// not, this one included; it counts while the process has heard from none.
    pub fn share(&mut self, now: Moment, capacity: f64, known: usize) -> Share {
        let heard = self.heard(now);
        let started_at = *self.started_at.get_or_insert(now);
        self.processes = self.processes.max(heard);
        let processes = if heard == 1 {
            self.processes.max(known)
        } else {
            self.processes
        };
        let others = self.reports.len() as u32;
        let ages = self.reports.values().map(|r| now.since(r.at));
        let age = ages.sum::<Duration>() / others.max(1);
        let aged = self.window.rate(now, age);
        let total = aged + self.reports.values().map(|r| r.rate).sum::<f64>();
        let count = processes as f64;
        let prior = (PRIOR * capacity / count).max(f64::MIN_POSITIVE);
        let part = (aged + prior) / (total + prior * heard as f64);
        let fraction = if processes == 1 {
            1.0
        } else if now.since(started_at) < STARTUP_TIME {
            0.0
        } else if heard == 1 {
            EVEN_PART / count
        } else {
            EVEN_PART / count + (1.0 - EVEN_PART) * heard as f64 / count * part
        };
        Share {
            fraction,
            demand: self.window.rate(now, Duration::ZERO),
            total,
            heard,
            processes,
            age,
        }
    }

    fn remove_expired(&mut self, now: Moment) {
        self.reports.retain(|_, r| now.since(r.at) < MAX_AGE);
    }
}

/// What requests asked for in each slot of time, long enough ago that the average of a past moment can be
/// computed.
#[derive(Clone, Debug, Default)]
struct DemandWindow {
    /// The slots with demand, each with its number since the start of the clock.
    slots: VecDeque<(u64, f64)>,
}

impl DemandWindow {
    fn add(&mut self, now: Moment, crossings: f64) {
        let slot = slot_of(now);
        match self.slots.back_mut() {
            Some((last, sum)) if *last >= slot => *sum += crossings,
            _ => self.slots.push_back((slot, crossings)),
        }
        let oldest = slot.saturating_sub(slot_count(WINDOW + MAX_AGE));
        while self.slots.front().is_some_and(|(s, _)| *s < oldest) {
            self.slots.pop_front();
        }
    }

    /// Returns the average of `age` ago.
    fn rate(&self, now: Moment, age: Duration) -> f64 {
        let end = slot_of(now).saturating_sub(slot_count(age));
        let start = end.saturating_sub(slot_count(WINDOW));
        let slots = self.slots.iter().filter(|(s, _)| *s > start && *s <= end);
        slots.map(|(_, sum)| sum).sum::<f64>() / WINDOW.as_secs_f64()
    }
}

fn slot_of(moment: Moment) -> u64 {
    slot_count(moment.since(Moment::default()))
}

fn slot_count(time: Duration) -> u64 {
    (time.as_millis() / SLOT.as_millis()) as u64
}
