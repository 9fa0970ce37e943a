//! Quarantine of poison contents: request contents that crash the servers that run them.
//!
//! A content is what a request asks for, identified by its fingerprint: requests with the same
//! content are expected to crash servers alike. A strike against a content says that a server died
//! while it ran the content. A content with a strike is suspect, and one with enough strikes is
//! quarantined: it no longer runs.
//!
//! When a server dies, the contents that ran there get strikes. If some of them are suspect because
//! of a death at another server, only those get a strike; otherwise all do. A strike has the weight
//! `1 / shared`, where `shared` is the number of contents that got one for this death. A content is
//! quarantined once enough distinct servers have died while they ran it and the sum of its weights
//! exceeds one. A suspect content that runs apart from other suspects reaches both at the second
//! server that dies.
//!
//! A content that ran to its end is cleared: strikes for deaths before that end no longer count,
//! even if they arrive later from other processes.

use std::cmp::Reverse;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;

/// The default of [`Settings::min_deaths`].
const DEFAULT_MIN_DEATHS: usize = 2;
/// The sum of weights that the strikes of a content must exceed.
const WEIGHT_THRESHOLD: f64 = 1.0;

/// How long after a content ran to its end without a failed run deaths don't count against it.
const PROOF_TIME: Duration = Duration::from_secs(60);

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a content stays suspect or quarantined after its newest strike. A strike that is
    /// older than that when it arrives is ignored.
    pub ttl: Duration,
    /// The most contents remembered; the one with the fewest deaths is evicted first, and of these the oldest.
    pub capacity: usize,
    /// The number of distinct servers that must have died while they ran a content before it is
    /// quarantined.
    pub min_deaths: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            ttl: Duration::from_secs(600),
            capacity: 4_096,
            min_deaths: DEFAULT_MIN_DEATHS,
        }
    }
}

/// The death of a server that ran a content, as evidence against that content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// The VM whose server died.
    pub vm: String,
    /// The number of contents that got a strike for this death.
    pub shared: u32,
    /// When the server died.
    pub at: Moment,
}

/// The moment up to which strikes against a content no longer count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// The fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// When it ran to its end, or an operator released it.
    pub at: Moment,
}

/// Whether and how a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may run like any other.
    Clear,
    /// It may run, but not on a server with another suspect.
    Suspect,
    /// It may not run for this time from now.
    Quarantined(Duration),
}

/// The death of one server that ran a content.
#[derive(Clone, Debug)]
struct Death {
    vm: String,
    shared: u32,
    at: Moment,
}

/// The deaths that count against a content.
#[derive(Clone, Debug)]
struct ContentRecord {
    /// One entry for each VM.
    deaths: Vec<Death>,
    /// When the content stops being suspect or quarantined, by its newest strike.
    until: Moment,
}

impl ContentRecord {
    fn exceeds_threshold(&self, min_deaths: usize) -> bool {
        let weights = self.deaths.iter().map(|d| 1.0 / f64::from(d.shared));
        self.deaths.len() >= min_deaths && weights.sum::<f64>() > WEIGHT_THRESHOLD
    }
}

/// The strikes and clearances of contents, and the quarantine that follows from them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: Settings,
    records: Map<Fingerprint, ContentRecord>,
    cleared: Map<Fingerprint, Moment>,
    /// When each content last ran to its end without a failed run.
    proven: Map<Fingerprint, Moment>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(settings: Settings) -> Self {
        Quarantine {
            settings,
            ..Quarantine::default()
        }
    }

    /// Returns whether and how a content may run.
    pub fn standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        match self.records.get(&fingerprint) {
            Some(r) if r.until <= now => Standing::Clear,
            Some(r) if r.exceeds_threshold(self.settings.min_deaths) => {
                Standing::Quarantined(now.until(r.until))
            }
            Some(_) => Standing::Suspect,
            None => Standing::Clear,
        }
    }

    /// Returns the strikes for a server's death, given the contents that ran there.
    ///
    /// Nothing is recorded yet: the calling code passes the strikes to
    /// [`Quarantine::record_strike`] and sends them to the other entry processes.
    pub fn strikes_for_death(&self, now: Moment, vm: &str, running: &[Fingerprint]) -> Vec<Strike> {
        let mut running = running.to_vec();
        running.sort_unstable();
        running.dedup();
        let is_suspect = |f: &Fingerprint| {
            let record = self.records.get(f).filter(|r| r.until > now);
            record.is_some_and(|r| r.deaths.iter().any(|d| d.vm != vm))
        };
        let suspects: Vec<Fingerprint> = running.iter().copied().filter(is_suspect).collect();
        let blamed = if suspects.is_empty() {
            running
        } else {
            suspects
        };
        let shared = blamed.len() as u32;
        let strike = |fingerprint| Strike {
            fingerprint,
            vm: vm.to_owned(),
            shared,
            at: now,
        };
        blamed.into_iter().map(strike).collect()
    }

    /// Records a strike, from this or another process; returns whether the content became
    /// quarantined by it. Strikes may arrive in any order and more than once.
    pub fn record_strike(&mut self, now: Moment, strike: &Strike) -> bool {
        self.make_room(now);
        let until = strike.at + self.settings.ttl;
        let cleared = self.cleared.get(&strike.fingerprint);
        if until <= now || cleared.is_some_and(|at| *at >= strike.at) {
            return false;
        }
        let proven = self.proven.get(&strike.fingerprint);
        if proven.is_some_and(|at| *at + PROOF_TIME > strike.at) {
            // Also releases the content at the process that the strike came from.
            let clearance = Clearance {
                fingerprint: strike.fingerprint,
                at: strike.at,
            };
            self.apply_clearance(now, clearance);
            return false;
        }
        let min_deaths = self.settings.min_deaths;
        let record = self
            .records
            .entry(strike.fingerprint)
            .or_insert(ContentRecord {
                deaths: Vec::new(),
                until,
            });
        let was_quarantined = record.exceeds_threshold(min_deaths);
        let shared = strike.shared.max(1);
        match record.deaths.iter_mut().find(|d| d.vm == strike.vm) {
            Some(known) => {
                known.shared = shared.min(known.shared);
                known.at = known.at.max(strike.at);
            }
            None => record.deaths.push(Death {
                vm: strike.vm.clone(),
                shared,
                at: strike.at,
            }),
        }
        record.until = record.until.max(until);
        !was_quarantined && record.exceeds_threshold(min_deaths)
    }

    /// Clears a content that ran to its end or that an operator released; returns whether any
    /// strike against it was known.
    pub fn clear(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let known = self.records.contains_key(&fingerprint);
        if known {
            let at = now;
            self.apply_clearance(now, Clearance { fingerprint, at });
        }
        known
    }

    /// Records that a content ran to its end without a failed run. This clears it, and strikes for
    /// deaths within [`PROOF_TIME`] don't count: servers that died meanwhile ran it beside others.
    pub fn record_success(&mut self, now: Moment, fingerprint: Fingerprint) {
        self.clear(now, fingerprint);
        if self.proven.len() >= self.settings.capacity {
            self.proven.retain(|_, at| *at + PROOF_TIME > now);
            evict_lowest(&mut self.proven, self.settings.capacity, |at| *at);
        }
        self.proven.insert(fingerprint, now);
    }

    /// Records a clearance, from this or another process.
    pub fn apply_clearance(&mut self, now: Moment, clearance: Clearance) {
        let Clearance { fingerprint, at } = clearance;
        if at + self.settings.ttl <= now {
            return;
        }
        self.make_room(now);
        let cleared_at = self.cleared.entry(fingerprint).or_insert(at);
        *cleared_at = at.max(*cleared_at);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        record.deaths.retain(|d| d.at > at);
        if record.deaths.is_empty() {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns the clearances that still count, to be sent to other processes.
    pub fn clearances(&self, now: Moment) -> impl Iterator<Item = Clearance> {
        let ttl = self.settings.ttl;
        let valid = self.cleared.iter().filter(move |(_, at)| **at + ttl > now);
        valid.map(|(fingerprint, at)| Clearance {
            fingerprint: *fingerprint,
            at: *at,
        })
    }

    /// Returns the quarantined contents, each with the VMs whose servers died while they ran it.
    pub fn quarantined(&self, now: Moment) -> impl Iterator<Item = (Fingerprint, Vec<&str>)> {
        self.records
            .iter()
            .filter(move |(_, r)| r.exceeds_threshold(self.settings.min_deaths) && r.until > now)
            .map(|(f, r)| (*f, r.deaths.iter().map(|d| d.vm.as_str()).collect()))
    }

    /// Returns the strikes that count against a content, whether they have expired or not.
    pub fn strikes_of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = Strike> {
        let record = self.records.get(&fingerprint);
        let deaths = record.into_iter().flat_map(|r| &r.deaths);
        deaths.map(move |d| Strike {
            fingerprint,
            vm: d.vm.clone(),
            shared: d.shared,
            at: d.at,
        })
    }

    /// Returns the strikes that matter most to other processes, at most `limit`: those of the contents
    /// with the most deaths, and of these the ones with the newest.
    pub fn strikes_to_share(&self, now: Moment, limit: usize) -> Vec<Strike> {
        let valid = self.records.iter().filter(|(_, r)| r.until > now);
        let mut ranked: Vec<_> = valid.collect();
        let rank = |(_, r): &(&Fingerprint, &ContentRecord)| Reverse((r.deaths.len(), r.until));
        // Each content has at least one strike, so no more than `limit` contents fit.
        if ranked.len() > limit {
            ranked.select_nth_unstable_by_key(limit, rank);
            ranked.truncate(limit);
        }
        ranked.sort_unstable_by_key(rank);
        let strikes = ranked.into_iter().flat_map(|(f, _)| self.strikes_of(*f));
        strikes.take(limit).collect()
    }

    /// Returns the newest clearances, at most `limit`.
    pub fn clearances_to_share(&self, now: Moment, limit: usize) -> Vec<Clearance> {
        let mut newest: Vec<Clearance> = self.clearances(now).collect();
        if newest.len() > limit {
            newest.select_nth_unstable_by_key(limit, |c| Reverse(c.at));
            newest.truncate(limit);
        }
        newest
    }

    /// Returns the strikes that still count, to be sent to a process that joins.
    pub fn strikes(&self, now: Moment) -> Vec<Strike> {
        let valid = self.records.iter().filter(|(_, r)| r.until > now);
        valid.flat_map(|(f, _)| self.strikes_of(*f)).collect()
    }

    /// Removes expired records, then those that matter least, when the capacity is reached.
    fn make_room(&mut self, now: Moment) {
        let ttl = self.settings.ttl;
        if self.cleared.len() >= self.settings.capacity {
            self.cleared.retain(|_, at| *at + ttl > now);
            evict_lowest(&mut self.cleared, self.settings.capacity, |at| *at);
        }
        if self.records.len() >= self.settings.capacity {
            self.records.retain(|_, r| r.until > now);
            // Those with few deaths go first, so that a flood of them can't release the others.
            let rank = |r: &ContentRecord| (r.deaths.len(), r.until);
            evict_lowest(&mut self.records, self.settings.capacity, rank);
        }
    }
}

/// Removes the entries of the lowest rank until one more fits.
fn evict_lowest<T, R: Ord>(
    entries: &mut Map<Fingerprint, T>,
    capacity: usize,
    rank: impl Fn(&T) -> R,
) {
    while entries.len() >= capacity {
        let lowest = entries.iter().min_by_key(|(f, entry)| (rank(entry), **f));
        let Some((&fingerprint, _)) = lowest else {
            return;
        };
        entries.remove(&fingerprint);
    }
}
