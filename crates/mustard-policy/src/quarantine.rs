//! Quarantine of request contents that kill the servers that run them.
//!
//! A death at a server strikes the contents that ran there. If one of them is suspect from an
//! earlier death elsewhere, it alone is struck; otherwise all are, each with the weight
//! `1 / shared`. A content is quarantined once distinct servers died under it and its weights
//! exceed one, which a suspect that runs apart from other suspects reaches at its second death.
//! A content that runs to its end is cleared: strikes from before that end count no more, also
//! those that come later from other processes.

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
    /// When the server died.
    pub at: Moment,
}

/// The moment up to which a content is known to be harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// The content.
    pub fingerprint: Fingerprint,
    /// When it had run to its end, or an operator set it free.
    pub at: Moment,
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

/// The death of one server under a content.
#[derive(Clone, Debug)]
struct Death {
    vm: String,
    shared: u32,
    at: Moment,
}

#[derive(Clone, Debug)]
struct Record {
    deaths: Vec<Death>,
    /// The end of the newest strike's life.
    until: Moment,
}

impl Record {
    fn is_guilty(&self, deaths: usize) -> bool {
        let weights = self.deaths.iter().map(|d| 1.0 / f64::from(d.shared));
        self.deaths.len() >= deaths && weights.sum::<f64>() > MIN_WEIGHT
    }
}

/// Remembers strikes and quarantined contents.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: Settings,
    records: Map<Fingerprint, Record>,
    cleared: Map<Fingerprint, Moment>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(settings: Settings) -> Self {
        Quarantine {
            settings,
            ..Quarantine::default()
        }
    }

    /// Tells how a content may run.
    pub fn standing(&self, now: Moment, fingerprint: Fingerprint) -> Standing {
        match self.records.get(&fingerprint) {
            Some(r) if r.until <= now => Standing::Clear,
            Some(r) if r.is_guilty(self.settings.deaths) => {
                Standing::Quarantined(now.until(r.until))
            }
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
            record.is_some_and(|r| r.deaths.iter().any(|d| d.vm != vm))
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
            at: now,
        };
        blamed.into_iter().map(strike).collect()
    }

    /// Takes in a strike, from here or from another process; tells whether the content became
    /// quarantined by it. The same strike may come any number of times and in any order.
    pub fn strike(&mut self, now: Moment, strike: &Strike) -> bool {
        self.expire(now);
        let until = strike.at + self.settings.life;
        let cleared = self.cleared.get(&strike.fingerprint);
        if until <= now || cleared.is_some_and(|at| *at >= strike.at) {
            return false;
        }
        let deaths = self.settings.deaths;
        let record = self.records.entry(strike.fingerprint).or_insert(Record {
            deaths: Vec::new(),
            until,
        });
        let was_guilty = record.is_guilty(deaths);
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
        !was_guilty && record.is_guilty(deaths)
    }

    /// Clears a content that ran to its end or that an operator set free; tells whether anything
    /// was known against it.
    pub fn clear(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let known = self.records.contains_key(&fingerprint);
        if known {
            let at = now;
            self.take(now, Clearance { fingerprint, at });
        }
        known
    }

    /// Takes in that a content was cleared, from here or from another process.
    pub fn take(&mut self, now: Moment, clearance: Clearance) {
        let Clearance { fingerprint, at } = clearance;
        if at + self.settings.life <= now {
            return;
        }
        self.expire(now);
        let mark = self.cleared.entry(fingerprint).or_insert(at);
        *mark = at.max(*mark);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        record.deaths.retain(|d| d.at > at);
        if record.deaths.is_empty() {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns the contents that were cleared, to be sent to other processes.
    pub fn clearances(&self, now: Moment) -> impl Iterator<Item = Clearance> {
        let life = self.settings.life;
        let counts = self.cleared.iter().filter(move |(_, at)| **at + life > now);
        counts.map(|(fingerprint, at)| Clearance {
            fingerprint: *fingerprint,
            at: *at,
        })
    }

    /// Visits the quarantined contents with the VMs whose servers died under them.
    pub fn list(&self, now: Moment) -> impl Iterator<Item = (Fingerprint, Vec<&str>)> {
        self.records
            .iter()
            .filter(move |(_, r)| r.is_guilty(self.settings.deaths) && r.until > now)
            .map(|(f, r)| (*f, r.deaths.iter().map(|d| d.vm.as_str()).collect()))
    }

    /// Returns the strikes that count, to be sent to a process that joins.
    pub fn strikes(&self, now: Moment) -> Vec<Strike> {
        let strikes = |(f, r): (&Fingerprint, &Record)| {
            let fingerprint = *f;
            let strike = move |d: &Death| Strike {
                fingerprint,
                vm: d.vm.clone(),
                shared: d.shared,
                at: d.at,
            };
            r.deaths.iter().map(strike).collect::<Vec<_>>()
        };
        let counts = self.records.iter().filter(|(_, r)| r.until > now);
        counts.flat_map(strikes).collect()
    }

    fn expire(&mut self, now: Moment) {
        let life = self.settings.life;
        if self.cleared.len() >= self.settings.capacity {
            self.cleared.retain(|_, at| *at + life > now);
            forget_oldest(&mut self.cleared, self.settings.capacity, |at| *at);
        }
        if self.records.len() >= self.settings.capacity {
            self.records.retain(|_, r| r.until > now);
            forget_oldest(&mut self.records, self.settings.capacity, |r| r.until);
        }
    }
}

/// Removes the oldest entries until one more has room.
fn forget_oldest<T>(
    entries: &mut Map<Fingerprint, T>,
    capacity: usize,
    age: impl Fn(&T) -> Moment,
) {
    while entries.len() >= capacity {
        let oldest = entries.iter().min_by_key(|(f, entry)| (age(entry), **f));
        let Some((&fingerprint, _)) = oldest else {
            return;
        };
        entries.remove(&fingerprint);
    }
}
