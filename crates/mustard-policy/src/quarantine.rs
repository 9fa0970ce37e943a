//! Quarantine of request contents that kill the servers that run them.
//!
//! A death at a server strikes the contents that ran there. If one of them is suspect from an
//! earlier death elsewhere, it alone is struck; otherwise all are, each with the weight
//! `1 / shared`. A content is quarantined once distinct servers died under it and its weights
//! exceed one, which a suspect that runs apart from other suspects reaches at its second death.
//! A content that runs to its end is cleared.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;

/// The distinct servers that must have died under a content by default.
const MIN_SERVERS: usize = 2;
/// The weight that must be exceeded.
const MIN_WEIGHT: f64 = 1.0;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a strike counts and a quarantine lasts.
    pub life: Duration,
    /// The most contents remembered; the oldest goes first.
    pub capacity: usize,
    /// The distinct servers that must have died under a content.
    pub deaths: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            life: Duration::from_secs(600),
            capacity: 4_096,
            deaths: MIN_SERVERS,
        }
    }
}

/// One server that died while it ran a content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The content.
    pub fingerprint: Fingerprint,
    /// The VM whose server died.
    pub vm: String,
    /// The number of contents that may have caused it.
    pub shared: u32,
}

/// How a content may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Like any other.
    Clear,
    /// Apart from other suspects.
    Suspect,
    /// Not at all, for this time to come.
    Quarantined(Duration),
}

#[derive(Clone, Debug)]
struct Record {
    struck: Vec<(String, u32)>,
    until: Moment,
    quarantined: bool,
}

impl Record {
    fn weight(&self) -> f64 {
        self.struck.iter().map(|(_, s)| 1.0 / f64::from(*s)).sum()
    }
}

/// Remembers strikes and quarantined contents.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: Settings,
    records: Map<Fingerprint, Record>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(settings: Settings) -> Self {
        Quarantine {
            settings,
            records: Map::default(),
        }
    }

    /// Tells how a content may run.
    pub fn standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        match self.records.get(&fingerprint) {
            Some(r) if r.until <= now => Standing::Clear,
            Some(r) if r.quarantined => Standing::Quarantined(now.until(r.until)),
            Some(_) => Standing::Suspect,
            None => Standing::Clear,
        }
    }

    /// Works out the strikes of a server's death, given the contents that ran there.
    ///
    /// The strikes are to be taken in here and sent to the other entry processes.
    pub fn blame(&self, now: Moment, vm: &str, running: &[Fingerprint]) -> Vec<Strike> {
        let mut running = running.to_vec();
        running.sort_unstable();
        running.dedup();
        let elsewhere = |f: &Fingerprint| {
            let record = self.records.get(f).filter(|r| r.until > now);
            record.is_some_and(|r| r.struck.iter().any(|(v, _)| v != vm))
        };
        let suspects: Vec<Fingerprint> = running.iter().copied().filter(elsewhere).collect();
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
        };
        blamed.into_iter().map(strike).collect()
    }

    /// Takes in a strike, from here or from another process; tells whether the content became
    /// quarantined by it. The same strike may come any number of times and in any order.
    pub fn strike(&mut self, now: Moment, strike: &Strike) -> bool {
        self.expire(now);
        let until = now + self.settings.life;
        let record = self.records.entry(strike.fingerprint).or_insert(Record {
            struck: Vec::new(),
            until,
            quarantined: false,
        });
        let shared = strike.shared.max(1);
        match record.struck.iter_mut().find(|(vm, _)| *vm == strike.vm) {
            Some((_, known)) => *known = shared.min(*known),
            None => {
                record.struck.push((strike.vm.clone(), shared));
                record.until = until;
            }
        }
        let guilty = record.struck.len() >= self.settings.deaths && record.weight() > MIN_WEIGHT;
        let changed = guilty && !record.quarantined;
        record.quarantined |= guilty;
        changed
    }

    /// Clears a content that ran to its end or that an operator set free.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&fingerprint).is_some()
    }

    /// Visits the quarantined contents with the VMs whose servers died under them.
    pub fn list(&self, now: Moment) -> impl Iterator<Item = (Fingerprint, Vec<&str>)> {
        self.records
            .iter()
            .filter(move |(_, r)| r.quarantined && r.until > now)
            .map(|(f, r)| (*f, r.struck.iter().map(|(vm, _)| vm.as_str()).collect()))
    }

    /// Returns the strikes that count, to be sent to a process that joins.
    pub fn strikes(&self, now: Moment) -> Vec<Strike> {
        let strikes = |(f, r): (&Fingerprint, &Record)| {
            let fingerprint = *f;
            let strike = move |(vm, shared): &(String, u32)| Strike {
                fingerprint,
                vm: vm.clone(),
                shared: *shared,
            };
            r.struck.iter().map(strike).collect::<Vec<_>>()
        };
        let counts = self.records.iter().filter(|(_, r)| r.until > now);
        counts.flat_map(strikes).collect()
    }

    fn expire(&mut self, now: Moment) {
        if self.records.len() < self.settings.capacity {
            return;
        }
        self.records.retain(|_, r| r.until > now);
        while self.records.len() >= self.settings.capacity {
            let oldest = self.records.iter().min_by_key(|(f, r)| (r.until, **f));
            let Some((&fingerprint, _)) = oldest else {
                return;
            };
            self.records.remove(&fingerprint);
        }
    }
}
