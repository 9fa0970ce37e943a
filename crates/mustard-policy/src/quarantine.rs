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
//!
//! A content that ran to its end a short while before needs more deaths, over a longer time: servers that die of another
//! cause run it beside others. It is quarantined for a short time first, and for a longer one after each further death.
//!
//! Requests with the same content may still differ, in which case each is a *variant* of the content. A crash of one
//! variant is evidence against that variant, and a run to the end clears that variant only. All variants are
//! quarantined if enough servers died while they ran any of them, none of them ran to its end lately, and no single
//! variant explains these deaths. If some did run to their end lately, only the other ones are, the *newcomers*, and only
//! until one of these runs to its end.

use std::cmp::Reverse;
use std::hash::Hash;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;

use crate::clearance_log::ClearanceLog;

/// The default of [`Settings::min_deaths`].
const DEFAULT_MIN_DEATHS: usize = 2;
/// The sum of weights that the strikes of a content must exceed.
const WEIGHT_THRESHOLD: f64 = 1.0;

/// How long after a content ran to its end without a failed run more deaths are needed.
const PROOF_TIME: Duration = Duration::from_secs(60);
/// The deaths, and the time from the first to the last, that quarantine a variant which ran to its end shortly before
/// them, or newcomers beside variants that did. Harmless ones run to their end at other servers meanwhile, even if many
/// servers die at once.
const PROVEN_DEATHS: usize = 4;
const PROVEN_SPAN: Duration = Duration::from_millis(1_500);
/// How long they are quarantined after each death, from the one on that was enough. Those that are harmless after all
/// show it then.
const PROVEN_TIMES: [Duration; 3] = [
    Duration::from_secs(6),
    Duration::from_secs(60),
    Duration::from_secs(300),
];
/// The most deaths of a content under which its quarantined variant didn't run while all other variants still may; they
/// may have had another cause.
const MAX_UNEXPLAINED: usize = 1;
/// The most variants of a content that are kept for a death, and that are sent to other processes.
const MAX_VARIANTS: usize = 64;
const SHARED_VARIANTS: usize = 4;

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

/// A content, or a variant of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Content {
    /// The fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// The fingerprint of the variant; `None` stands for all variants.
    pub variant: Option<Fingerprint>,
}

impl From<Fingerprint> for Content {
    fn from(fingerprint: Fingerprint) -> Self {
        Content {
            fingerprint,
            variant: None,
        }
    }
}

/// The death of a server that ran a content, as evidence against that content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The content that ran.
    pub content: Content,
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
    /// The content.
    pub content: Content,
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
    /// The variants that ran; `None` stands for all.
    variants: Vec<Option<Fingerprint>>,
}

impl Death {
    /// Returns whether the death counts against a variant.
    fn counts_against(&self, variant: Option<Fingerprint>) -> bool {
        variant.is_none() || self.variants.contains(&None) || self.variants.contains(&variant)
    }
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
    /// Returns the number of deaths that count against a variant.
    fn count(&self, variant: Option<Fingerprint>) -> usize {
        self.deaths
            .iter()
            .filter(|d| d.counts_against(variant))
            .count()
    }

    /// Returns when the first server died that ran a variant.
    fn first_death(&self, variant: Option<Fingerprint>) -> Option<Moment> {
        let deaths = self.deaths.iter().filter(|d| d.counts_against(variant));
        deaths.map(|d| d.at).min()
    }

    /// Returns until when deaths after a run to the end quarantine what ran at them; `None` if they aren't enough.
    fn proven_end(&self, counts: impl Fn(&Death) -> bool) -> Option<Moment> {
        let times = || self.deaths.iter().filter(|d| counts(d)).map(|d| d.at);
        let (first, last) = (times().min()?, times().max()?);
        let extra = times().count().checked_sub(PROVEN_DEATHS)?;
        let time = PROVEN_TIMES.get(extra);
        let end = time.map_or(self.until, |time| last + *time);
        (last.since(first) >= PROVEN_SPAN).then_some(end)
    }

    /// Returns whether the deaths are enough for a variant that hadn't run to its end before.
    fn condemns_variant(&self, variant: Option<Fingerprint>, min_deaths: usize) -> bool {
        let deaths = self.deaths.iter().filter(|d| d.counts_against(variant));
        exceeds_threshold(deaths, min_deaths)
    }

    /// Returns whether deaths tell against variants that didn't run at them, as no single variant explains them.
    fn condemns_all(&self, counts: impl Fn(&Death) -> bool, min_deaths: usize) -> bool {
        let deaths = || self.deaths.iter().filter(|d| counts(d));
        if !exceeds_threshold(deaths(), min_deaths) {
            return false;
        }
        let explains = |v: &Option<Fingerprint>| {
            let others = deaths().filter(|d| !d.counts_against(*v)).count();
            v.is_some() && others <= MAX_UNEXPLAINED && self.condemns_variant(*v, min_deaths)
        };
        let mut variants = deaths().flat_map(|d| &d.variants);
        !variants.any(explains)
    }

    fn add(&mut self, strike: &Strike) {
        let shared = strike.shared.max(1);
        let index = self.deaths.iter().position(|d| d.vm == strike.vm);
        let index = index.unwrap_or_else(|| {
            self.deaths.push(Death {
                vm: strike.vm.clone(),
                shared,
                at: strike.at,
                variants: Vec::new(),
            });
            self.deaths.len() - 1
        });
        let death = &mut self.deaths[index];
        death.shared = shared.min(death.shared);
        death.at = death.at.max(strike.at);
        self.add_variant(index, strike.content.variant);
    }

    /// Removes the deaths until a moment from those that count against a variant.
    fn clear(&mut self, variant: Option<Fingerprint>, until: Moment) {
        for death in self.deaths.iter_mut().filter(|d| d.at <= until) {
            if variant.is_none() || death.variants.contains(&None) {
                death.variants.clear();
            } else {
                death.variants.retain(|v| *v != variant);
            }
        }
        self.deaths.retain(|d| !d.variants.is_empty());
    }

    /// Adds a variant to a death; if there are too many, in place of the oldest that ran at no other death.
    fn add_variant(&mut self, index: usize, variant: Option<Fingerprint>) {
        let variants = &self.deaths[index].variants;
        if variants.contains(&variant) {
            return;
        }
        if variants.len() >= MAX_VARIANTS {
            let is_elsewhere = |v: &Option<Fingerprint>| {
                let mut others = self.deaths.iter().enumerate().filter(|(i, _)| *i != index);
                others.any(|(_, d)| d.variants.contains(v))
            };
            let Some(single) = variants.iter().position(|v| !is_elsewhere(v)) else {
                return;
            };
            self.deaths[index].variants.remove(single);
        }
        self.deaths[index].variants.push(variant);
    }

    /// Returns the variants of a death that matter most to other processes: those that ran at the most deaths.
    fn shared_variants(&self, death: &Death) -> Vec<Option<Fingerprint>> {
        let mut variants = death.variants.clone();
        variants.sort_by_cached_key(|v| (Reverse(self.count(*v)), *v));
        variants.truncate(SHARED_VARIANTS);
        variants
    }
}

fn exceeds_threshold<'a>(deaths: impl Iterator<Item = &'a Death>, min_deaths: usize) -> bool {
    let (count, weight) = deaths.fold((0, 0.0), |(count, weight), d| {
        (count + 1, weight + 1.0 / f64::from(d.shared))
    });
    count >= min_deaths && weight > WEIGHT_THRESHOLD
}

/// The variant of a content that last ran to its end.
#[derive(Clone, Copy, Debug)]
struct Sound {
    variant: Fingerprint,
    at: Moment,
    /// When a newcomer last did.
    newcomer_at: Moment,
}

/// The strikes and clearances of contents, and the quarantine that follows from them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    settings: Settings,
    records: Map<Fingerprint, ContentRecord>,
    cleared: Map<Content, Moment>,
    /// When each content last ran to its end without a failed run.
    proven: Map<Content, Moment>,
    /// Which variant of each content last ran to its end, here or at another process, and when.
    sound: Map<Fingerprint, Sound>,
    /// The clearances that arose here, to be kept beside the strikes.
    log: ClearanceLog<Content>,
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
    pub fn standing(&self, now: Moment, content: impl Into<Content>) -> Standing {
        let content = content.into();
        let record = self.records.get(&content.fingerprint);
        let Some(record) = record.filter(|r| r.until > now) else {
            return Standing::Clear;
        };
        match self.quarantine_end(record, content) {
            Some(end) if end > now => Standing::Quarantined(now.until(end)),
            _ if record.count(content.variant) > 0 => Standing::Suspect,
            _ => Standing::Clear,
        }
    }

    /// Returns until when the strikes of a record quarantine a content; `None` if they aren't enough.
    fn quarantine_end(&self, record: &ContentRecord, content: Content) -> Option<Moment> {
        let min_deaths = self.settings.min_deaths;
        let variant = content.variant;
        let proven = self.proven.get(&content).map(|at| *at + PROOF_TIME);
        let own = match proven {
            Some(until) if record.first_death(variant) < Some(until) => {
                record.proven_end(|d| d.counts_against(variant))
            }
            _ if record.condemns_variant(variant, min_deaths) => Some(record.until),
            _ => None,
        };
        let sound_until = self.sound_until(content.fingerprint);
        let counts = |d: &Death| sound_until.is_none_or(|until| d.at >= until);
        let all = record.condemns_all(counts, min_deaths);
        own.max(all.then_some(record.until))
            .max(self.newcomers_end(record, content))
    }

    /// Returns until when a content is quarantined as a newcomer; `None` if it isn't.
    fn newcomers_end(&self, record: &ContentRecord, content: Content) -> Option<Moment> {
        let fingerprint = content.fingerprint;
        let sound = self.sound.get(&fingerprint)?;
        let is_newcomer = |variant: Option<Fingerprint>, at: Moment| {
            let proven = self.proven.get(&Content {
                fingerprint,
                variant,
            });
            variant.is_some() && proven.is_none_or(|proven| *proven + PROOF_TIME <= at)
        };
        let counts = |d: &Death| {
            d.at > sound.newcomer_at && d.variants.iter().any(|v| is_newcomer(*v, d.at))
        };
        let last = record.deaths.iter().filter(|d| counts(d)).map(|d| d.at);
        let is_condemned = is_newcomer(content.variant, last.max()?)
            && record.condemns_all(counts, self.settings.min_deaths);
        record.proven_end(counts).filter(|_| is_condemned)
    }

    /// Returns whether any variant of a content is quarantined.
    fn is_any_quarantined(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint).filter(|r| r.until > now);
        record.is_some_and(|r| {
            let mut variants = r.deaths.iter().flat_map(|d| &d.variants);
            variants.any(|variant| {
                let content = Content {
                    fingerprint,
                    variant: *variant,
                };
                self.quarantine_end(r, content).is_some_and(|end| end > now)
            })
        })
    }

    /// Returns until when deaths don't count against all variants of a content, as one of them ran to its end.
    fn sound_until(&self, fingerprint: Fingerprint) -> Option<Moment> {
        self.sound.get(&fingerprint).map(|s| s.at + PROOF_TIME)
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
        let strike = |fingerprint: Fingerprint| Strike {
            content: fingerprint.into(),
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
        let (content, at) = (strike.content, strike.at);
        let until = at + self.settings.ttl;
        if until <= now || self.is_cleared(content, at) {
            return false;
        }
        let proven = self.proven.get(&content).copied();
        if let Some(proven) = proven.filter(|proven| *proven + PROOF_TIME > at) {
            if content.variant.is_none() {
                // Also releases the content at the process that the strike came from.
                self.apply_clearance(now, Clearance { content, at });
                return false;
            }
            self.dispute(content, proven, at);
            if proven >= at {
                return false;
            }
        }
        self.dispute_sound(content, at);
        let was_quarantined = self.is_quarantined(now, content);
        let fingerprint = content.fingerprint;
        let record = self.records.entry(fingerprint).or_insert(ContentRecord {
            deaths: Vec::new(),
            until,
        });
        record.until = record.until.max(until);
        record.add(strike);
        !was_quarantined && self.is_quarantined(now, content)
    }

    /// Returns whether a content may not run.
    pub fn is_quarantined(&self, now: Moment, content: impl Into<Content>) -> bool {
        matches!(self.standing(now, content), Standing::Quarantined(_))
    }

    /// Makes other processes know when a content with a strike for a death at `strike_at` ran to its end.
    fn dispute(&mut self, content: Content, proven: Moment, strike_at: Moment) {
        self.log.record_proof(content, proven, strike_at);
        let cleared = self.cleared.entry(content).or_insert(proven);
        *cleared = proven.max(*cleared);
    }

    /// Returns whether strikes for deaths at a moment no longer count against a content.
    fn is_cleared(&self, content: Content, at: Moment) -> bool {
        let all = Content::from(content.fingerprint);
        let mut cleared = [content, all]
            .into_iter()
            .filter_map(|c| self.cleared.get(&c));
        cleared.any(|cleared| *cleared >= at)
    }

    /// Makes other processes know that another variant ran to its end, if that was shortly before a death.
    fn dispute_sound(&mut self, content: Content, at: Moment) {
        let Some(sound) = self.sound.get(&content.fingerprint).copied() else {
            return;
        };
        if sound.at + PROOF_TIME > at && content.variant != Some(sound.variant) {
            let variant = Some(sound.variant);
            self.dispute(Content { variant, ..content }, sound.at, at);
        }
    }

    /// Clears a content that ran to its end or that an operator released; returns whether any
    /// strike against it was known.
    pub fn clear(&mut self, now: Moment, content: impl Into<Content>) -> bool {
        let content = content.into();
        let record = self.records.get(&content.fingerprint);
        let known = record.is_some_and(|r| r.count(content.variant) > 0);
        if known {
            let at = now;
            self.log.record(content, at);
            self.apply_clearance(now, Clearance { content, at });
        }
        known
    }

    /// Records that a content ran to its end without a failed run. This clears it, and within
    /// [`PROOF_TIME`] more deaths are needed.
    pub fn record_success(&mut self, now: Moment, content: impl Into<Content>) {
        let content = content.into();
        self.clear(now, content);
        self.record_proof(now, content, now);
    }

    fn record_proof(&mut self, now: Moment, content: Content, at: Moment) {
        let capacity = self.settings.capacity;
        if self.proven.len() >= capacity {
            self.proven.retain(|_, at| *at + PROOF_TIME > now);
            evict_lowest(&mut self.proven, capacity, |at| *at);
        }
        let known = self.proven.get(&content).copied();
        self.proven.insert(content, known.map_or(at, |k| k.max(at)));
        let Some(variant) = content.variant else {
            return;
        };
        if self.sound.len() >= capacity {
            self.sound.retain(|_, s| s.at + PROOF_TIME > now);
            evict_lowest(&mut self.sound, capacity, |s| s.at);
        }
        let newcomer_at = at;
        let sound = self.sound.entry(content.fingerprint).or_insert(Sound {
            variant,
            at,
            newcomer_at,
        });
        if at > sound.at {
            (sound.variant, sound.at) = (variant, at);
        }
        if known.is_none_or(|k| k + PROOF_TIME <= at) {
            sound.newcomer_at = sound.newcomer_at.max(at);
        }
    }

    /// Records a clearance, from this or another process.
    pub fn apply_clearance(&mut self, now: Moment, clearance: Clearance) {
        let Clearance { content, at } = clearance;
        if at + self.settings.ttl <= now {
            return;
        }
        self.make_room(now);
        let cleared_at = self.cleared.entry(content).or_insert(at);
        *cleared_at = at.max(*cleared_at);
        // One without a variant may be an operator's, which proves nothing.
        if content.variant.is_some() {
            self.record_proof(now, content, at);
        }
        let Some(record) = self.records.get_mut(&content.fingerprint) else {
            return;
        };
        record.clear(content.variant, at);
        if record.deaths.is_empty() {
            self.records.remove(&content.fingerprint);
        }
    }

    /// Removes the clearances that arose here since the last call and are to be kept beside the strikes that they answer,
    /// and returns them.
    pub fn take_clearances(&mut self) -> Vec<Clearance> {
        let fresh = self.log.take().into_iter();
        fresh
            .map(|(content, at)| Clearance { content, at })
            .collect()
    }

    /// Returns the clearances that still count, to be sent to other processes.
    pub fn clearances(&self, now: Moment) -> impl Iterator<Item = Clearance> {
        let ttl = self.settings.ttl;
        let valid = self.cleared.iter().filter(move |(_, at)| **at + ttl > now);
        valid.map(|(content, at)| Clearance {
            content: *content,
            at: *at,
        })
    }

    /// Returns the quarantined contents, each with the VMs whose servers died while they ran it.
    pub fn quarantined(&self, now: Moment) -> impl Iterator<Item = (Fingerprint, Vec<&str>)> {
        self.records
            .iter()
            .filter(move |(f, _)| self.is_any_quarantined(now, **f))
            .map(|(f, r)| (*f, r.deaths.iter().map(|d| d.vm.as_str()).collect()))
    }

    /// Returns the number of servers that died while they ran a content.
    pub fn death_count(&self, fingerprint: Fingerprint) -> usize {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |r| r.deaths.len())
    }

    /// Returns the strikes that count against a content, whether they have expired or not.
    pub fn strikes_of(&self, fingerprint: Fingerprint) -> impl Iterator<Item = Strike> {
        let record = self.records.get(&fingerprint);
        record.into_iter().flat_map(move |r| {
            r.deaths.iter().flat_map(move |d| {
                let variants = r.shared_variants(d).into_iter();
                variants.map(move |variant| Strike {
                    content: Content {
                        fingerprint,
                        variant,
                    },
                    vm: d.vm.clone(),
                    shared: d.shared,
                    at: d.at,
                })
            })
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
fn evict_lowest<K: Copy + Ord + Hash, T, R: Ord>(
    entries: &mut Map<K, T>,
    capacity: usize,
    rank: impl Fn(&T) -> R,
) {
    while entries.len() >= capacity {
        let lowest = entries
            .iter()
            .min_by_key(|(key, entry)| (rank(entry), **key));
        let Some((&key, _)) = lowest else {
            return;
        };
        entries.remove(&key);
    }
}
