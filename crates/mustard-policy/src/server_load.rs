//! The load of servers, from the reports that all processes together request and pass on.
//!
//! A process alone sees only its own requests. It would estimate the memory in use at a server as its own use
//! times the number of processes, and would learn that a server is slow only from a stream that stalled there.
//! With a recent report, only the change of the own use since then is multiplied.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, RngCore};

use mustard_core::clock::Moment;

use crate::subset::mix_bits;

/// The age from which a report no longer counts.
pub const MAX_AGE: Duration = Duration::from_secs(3);
/// The resolution of the own use in the past.
const SLOT: Duration = Duration::from_millis(50);
/// The largest share of memory in use that is believed; a report beyond it is faulty.
const MAX_MEMORY_SHARE: f64 = 4.0;
/// The largest slow factor that is believed.
const MAX_SLOW_FACTOR: f64 = 1_000.0;
/// By how much a report that was passed on is newer than the known one, or else it is the same one: each time
/// that it is passed on, its age lacks the time that the message took.
const MIN_NEWER: Duration = Duration::from_millis(250);
/// The most reports that a process requests within a second.
const MAX_REQUESTS: usize = 8;
const SECOND: Duration = Duration::from_secs(1);
/// The age from which a report of a server that is assigned to this process is requested again.
const REQUEST_AGE: Duration = Duration::from_millis(900);
/// The age from which any process may request a report.
const OVERDUE_AGE: Duration = Duration::from_millis(2_500);
/// How many times a second all processes together request an overdue report. Until they know of the new one,
/// which takes half a second, about two requests are made.
const OVERDUE_RATE: f64 = 1.0;
/// The slow factor from which other processes are told of a server first.
pub const SLOW_FACTOR: f64 = 2.0;
/// The most slow servers that are told of first.
const MAX_SLOW_FIRST: usize = 16;

/// The load of a server process as it reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The memory in use, as a share of the memory for requests.
    pub memory_share: f64,
    /// The factor by which the server is slower than usual.
    pub slow_factor: f64,
    /// When it was reported.
    pub at: Moment,
}

impl LoadReport {
    /// Creates a report; `None` if a value is missing, negative or so large that it must be wrong.
    pub fn new(memory_share: f64, slow_factor: f64, at: Moment) -> Option<Self> {
        let is_valid = (0.0..=MAX_MEMORY_SHARE).contains(&memory_share)
            && (0.0..=MAX_SLOW_FACTOR).contains(&slow_factor);
        is_valid.then(|| LoadReport {
            memory_share,
            slow_factor: slow_factor.max(1.0),
            at,
        })
    }

    /// Tells whether the server is much slower than usual.
    pub fn is_slow(&self) -> bool {
        self.slow_factor >= SLOW_FACTOR
    }

    fn is_recent(&self, now: Moment) -> bool {
        now.since(self.at) < MAX_AGE
    }
}

/// The use of a server by this process, and what its memory is.
#[derive(Clone, Copy, Debug)]
pub struct OwnUse {
    /// Memory in use by this process's requests.
    pub used: f64,
    /// Memory of the server for requests, in the same unit.
    pub capacity: f64,
    /// The number of processes, each of which is assumed to send as many requests as this one.
    pub processes: f64,
}

impl OwnUse {
    /// Returns the share of memory in use, estimated without a report.
    pub fn scaled_share(&self) -> f64 {
        self.used * self.processes / self.capacity.max(f64::MIN_POSITIVE)
    }
}

/// The newest report of a server process, and the own use of the server since before that report.
#[derive(Clone, Debug)]
pub struct LoadTracker {
    report: Option<LoadReport>,
    asked_at: Option<Moment>,
    /// The own use from a moment on, at most one entry for each slot.
    uses: VecDeque<(Moment, f64)>,
}

impl LoadTracker {
    /// Creates the state of a server that this process uses by `used`.
    pub fn new(now: Moment, used: f64) -> Self {
        LoadTracker {
            report: None,
            asked_at: None,
            uses: VecDeque::from([(now, used)]),
        }
    }

    /// Records the present own use, after it changed.
    pub fn record_use(&mut self, now: Moment, used: f64) {
        // The last entry before the oldest moment that may be asked for is kept.
        while self
            .uses
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= MAX_AGE)
        {
            self.uses.pop_front();
        }
        let count = self.uses.len();
        let is_same_slot = count > 1 && now.since(self.uses[count - 2].0) < SLOT;
        match self.uses.back_mut() {
            Some(last) if is_same_slot => *last = (now, used),
            _ => self.uses.push_back((now, used)),
        }
    }

    /// Applies a report that this process has just received from the server.
    pub fn record_report(&mut self, report: LoadReport) {
        self.report = Some(report);
    }

    /// Applies a report that another process passed on; tells whether it is the newest one.
    pub fn apply_report(&mut self, now: Moment, report: LoadReport) -> bool {
        let is_newer = |known: LoadReport| {
            let is_change = report.is_slow() != known.is_slow() && report.at > known.at;
            is_change || report.at >= known.at + MIN_NEWER
        };
        let is_newest =
            report.at <= now && report.is_recent(now) && self.report.is_none_or(is_newer);
        if is_newest {
            self.report = Some(report);
        }
        is_newest
    }

    /// Returns the newest report, unless it is too old to count.
    pub fn recent_report(&self, now: Moment) -> Option<&LoadReport> {
        self.report.as_ref().filter(|r| r.is_recent(now))
    }

    /// Returns the share of the server's memory that is in use, by requests of all processes.
    pub fn memory_share(&self, now: Moment, own: &OwnUse) -> f64 {
        let Some(report) = self.recent_report(now) else {
            return own.scaled_share();
        };
        let capacity = own.capacity.max(f64::MIN_POSITIVE);
        let change = own.used - self.use_at(report.at, own.used);
        let share = report.memory_share + change * own.processes / capacity;
        share.max(own.used / capacity)
    }

    /// Records that a report is requested.
    pub fn record_request(&mut self, now: Moment) {
        self.asked_at = Some(now);
    }

    /// Returns when the newest report was made, or one was last requested, answered or not.
    pub fn known_at(&self) -> Option<Moment> {
        self.report.map(|r| r.at).max(self.asked_at)
    }

    /// Returns the own use at a moment; `used` is the present one.
    fn use_at(&self, at: Moment, used: f64) -> f64 {
        let entry = self.uses.iter().rev().find(|(since, _)| *since <= at);
        let oldest = self.uses.front();
        entry.or(oldest).map_or(used, |(_, used)| *used)
    }
}

/// Chooses the reports for a message, at most `limit`: those of some slow servers, then the newest ones.
pub fn reports_to_share<K: Copy + Ord>(
    now: Moment,
    reports: impl Iterator<Item = (K, LoadReport)>,
    limit: usize,
) -> Vec<(K, LoadReport)> {
    let age = |(key, report): &(K, LoadReport)| (now.since(report.at), *key);
    let recent = reports.filter(|(_, report)| report.is_recent(now));
    let (mut chosen, mut rest): (Vec<_>, Vec<_>) = recent.partition(|(_, r)| r.is_slow());
    chosen.sort_unstable_by_key(age);
    rest.extend(chosen.drain(MAX_SLOW_FIRST.min(chosen.len())..));
    if rest.len() > limit {
        rest.select_nth_unstable_by_key(limit, age);
        rest.truncate(limit);
    }
    rest.sort_unstable_by_key(age);
    chosen.append(&mut rest);
    chosen.truncate(limit);
    chosen
}

/// A server that may be asked for a report.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// The server.
    pub key: K,
    /// When its newest report was made, or one was last requested.
    pub known_at: Option<Moment>,
    /// Whether the server is assigned to this process, by [`is_assigned`].
    pub is_assigned: bool,
}

/// Tells whether a server is assigned to this process rather than to another live one. If processes don't hear
/// all others, a server is assigned to more than one, but never to none.
///
/// All arguments are digests that every process computes in the same way.
pub fn is_assigned(server: u64, own: u64, others: &[u64]) -> bool {
    // The constant keeps a digest of zero from being mixed to zero.
    let mix = |digest: u64| mix_bits(digest.wrapping_add(0x9e37_79b9_7f4a_7c15));
    let weight = |process: u64| mix(server ^ mix(process));
    let own = weight(own);
    others.iter().all(|other| weight(*other) <= own)
}

/// Which servers this process asks for reports, so that all processes together ask each about once a second.
///
/// A process asks the servers that are assigned to it. Another one asks at random once a report is overdue, as
/// the first one may have ended or be cut off.
#[derive(Clone, Debug, Default)]
pub struct RequestSchedule {
    updated_at: Option<Moment>,
    /// The requests of the last second.
    recent: VecDeque<Moment>,
}

impl RequestSchedule {
    /// Chooses the servers to be asked now, those with the oldest reports first. `processes` is the number of live
    /// processes that ask, this one included.
    pub fn choose<K: Copy + Ord>(
        &mut self,
        now: Moment,
        mut servers: Vec<Candidate<K>>,
        processes: usize,
        rng: &mut dyn RngCore,
    ) -> Vec<K> {
        let assigned = servers.iter().filter(|s| s.is_assigned).count();
        let limit = assigned.max(servers.len().div_ceil(processes.max(1))) + 1;
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.updated_at = Some(now);
        self.recent.retain(|at| now.since(*at) < SECOND);
        let overdue_share = OVERDUE_RATE * elapsed.as_secs_f64() / processes.max(1) as f64;
        let overdue_share = overdue_share.min(1.0);
        servers.retain(|server| {
            let age = server.known_at.map(|at| now.since(at));
            if server.is_assigned {
                age.is_none_or(|age| age >= REQUEST_AGE)
            } else {
                age.is_none_or(|age| age >= OVERDUE_AGE) && rng.random_bool(overdue_share)
            }
        });
        servers.sort_unstable_by_key(|server| (server.known_at, server.key));
        servers.truncate(limit.min(MAX_REQUESTS).saturating_sub(self.recent.len()));
        self.recent.extend(servers.iter().map(|_| now));
        servers.into_iter().map(|server| server.key).collect()
    }
}
