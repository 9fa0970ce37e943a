//! Blocks segments of prompts that end the servers that begin to write on them.
//!
//! A segment is a piece of a prompt that other prompts may share. Requests with such a segment may
//! differ in all else, so the ends of servers are counted for each segment. When a server ends, each
//! shared segment of the requests that had just begun there gets a strike, the harmless ones too. What
//! tells them apart is that a segment which ends servers ends each of them:
//!
//! - A run that goes on writing acquits all segments of its prompt. Strikes from before it no longer
//!   count, and for a while many later ones are needed.
//! - If one content was running at all ends, the content may be to blame instead; see
//!   [`quarantine`](crate::quarantine).
//! - A blocked segment gets a trial: one request with it runs after a while. If it runs well, the
//!   segment is released; otherwise the next trial is much later, if there is one.
//!
//! All processes come to the same result from the same strikes, in whatever order they arrive.

use std::cmp::Reverse;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;

use crate::clearance_log::ClearanceLog;
use crate::quarantine::Clearance;

/// For how long a run must write to show that its segments don't end servers.
pub const PROOF_WRITTEN: Duration = Duration::from_secs(1);
/// How long after a run that went well more strikes are needed.
const PROOF_TIME: Duration = Duration::from_secs(60);
/// The ends, and the time from the first to the last, that block a segment with such a run. Requests
/// with a harmless segment go well at other servers meanwhile, even if many servers fail at once.
const PROVEN_ENDS: usize = 5;
const PROVEN_SPAN: Duration = Duration::from_millis(1_500);
/// Until a segment has this many ends, its next trial comes soon.
const FINAL_ENDS: usize = 5;
/// The time from the last end to the next trial, by the number of trials that ended servers; no trial
/// follows after more of them.
const TRIAL_DELAYS: [Duration; 4] = [
    Duration::from_millis(1_500),
    Duration::from_secs(6),
    Duration::from_secs(60),
    Duration::from_secs(300),
];
/// How long a process has its turn to begin trials before the next process has its turn. All segments
/// share these turns, as a prompt may have several blocked ones.
pub const TRIAL_TURN: Duration = Duration::from_secs(2);
/// For how long a prompt with few suspects makes others wait.
const FEWEST_TIME: Duration = Duration::from_secs(4);
/// How long after the start of a trial an end counts as its result.
const TRIAL_TIME: Duration = Duration::from_secs(10);
/// The most ends of a segment, and the most contents of an end, that are kept.
const MAX_ENDS: usize = 24;
const MAX_CONTENTS: usize = 4;
/// The most ends of a segment, and the most contents of an end, that are sent to other processes.
const SHARED_ENDS: usize = 8;
const SHARED_CONTENTS: usize = 2;
/// Retry delay for callers while no trial is about to follow.
const RETRY_AFTER: Duration = Duration::from_secs(10);

/// Settings of the segment filter.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long strikes count after the newest one against the same segment.
    pub ttl: Duration,
    /// The most segments remembered; the oldest is evicted first.
    pub capacity: usize,
    /// The ends of distinct server processes that block a segment.
    pub min_ends: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            ttl: Duration::from_secs(600),
            capacity: 4_096,
            min_ends: 3,
        }
    }
}

/// The end of a server process that had just begun to write on a prompt with a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentStrike {
    /// The segment.
    pub segment: Fingerprint,
    /// The server process.
    pub process: String,
    /// The digest of the whole request, its prompt included.
    pub content: Fingerprint,
    /// When the run failed.
    pub at: Moment,
    /// Whether the run was a trial; for a strike recorded here, it is found out by its time.
    pub is_trial: bool,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Allowed,
    /// It may not, as one of its segments is blocked; the caller may try again after this time.
    Blocked(Duration),
}

#[derive(Clone, Debug)]
struct End {
    process: String,
    contents: Vec<Fingerprint>,
    at: Moment,
    is_trial: bool,
}

/// The ends that count against a segment.
#[derive(Clone, Debug, Default)]
struct Record {
    /// In the order of their times.
    ends: Vec<End>,
}

impl Record {
    fn first_at(&self) -> Moment {
        self.ends.first().map_or(Moment::default(), |e| e.at)
    }

    fn last_at(&self) -> Moment {
        self.ends.last().map_or(Moment::default(), |e| e.at)
    }

    /// Returns whether one content was running at all ends.
    fn has_common_content(&self) -> bool {
        let Some((first, rest)) = self.ends.split_first() else {
            return false;
        };
        let is_common = |c: &Fingerprint| rest.iter().all(|e| e.contents.contains(c));
        first.contents.iter().any(is_common)
    }

    fn next_trial(&self) -> Option<Moment> {
        let failed_trials = if self.ends.len() < FINAL_ENDS {
            0
        } else {
            self.ends.iter().filter(|e| e.is_trial).count()
        };
        let delay = TRIAL_DELAYS.get(failed_trials)?;
        Some(self.last_at() + *delay)
    }

    fn add(&mut self, strike: &SegmentStrike, is_trial: bool) {
        let known = self.ends.iter_mut().find(|e| e.process == strike.process);
        if let Some(end) = known {
            end.at = end.at.min(strike.at);
            end.is_trial |= is_trial;
            let is_new = !end.contents.contains(&strike.content);
            if is_new && end.contents.len() < MAX_CONTENTS {
                end.contents.push(strike.content);
            }
        } else {
            if self.ends.len() >= MAX_ENDS {
                self.ends.remove(MAX_ENDS / 2);
            }
            self.ends.push(End {
                process: strike.process.clone(),
                contents: vec![strike.content],
                at: strike.at,
                is_trial,
            });
        }
        self.ends.sort_by_key(|e| e.at);
    }
}

/// The strikes against segments, what acquits them, and the blocked segments that follow from both.
#[derive(Clone, Debug, Default)]
pub struct SegmentFilter {
    settings: Settings,
    records: Map<Fingerprint, Record>,
    /// When a run with each segment last went well, here or at another process.
    proven: Map<Fingerprint, Moment>,
    /// The same for the segments that have got strikes, to be sent to other processes.
    disputed: Map<Fingerprint, Moment>,
    /// The acquittals that arose here, to be kept beside the strikes.
    log: ClearanceLog<Fingerprint>,
    /// When the last trial of each segment began here.
    trials: Map<Fingerprint, Moment>,
    /// The fewest suspects of a prompt with a blocked segment that came here lately, and when.
    fewest: Option<(Moment, usize)>,
}

impl SegmentFilter {
    /// Creates a filter without strikes.
    pub fn new(settings: Settings) -> Self {
        SegmentFilter {
            settings,
            ..SegmentFilter::default()
        }
    }

    /// Returns whether any of the segments is blocked.
    pub fn is_blocked(&self, now: Moment, segments: &[Fingerprint]) -> bool {
        segments
            .iter()
            .any(|s| self.blocked_record(now, *s).is_some())
    }

    /// Decides whether a request with these segments may run, which may be the trial of a blocked one.
    ///
    /// A trial begins only if this process `has_turn`.
    pub fn admit(&mut self, now: Moment, segments: &[Fingerprint], has_turn: bool) -> Admission {
        let mut on_trial = Vec::new();
        let mut due = Moment::default();
        for segment in segments {
            let Some(record) = self.blocked_record(now, *segment) else {
                continue;
            };
            let Some(next) = record.next_trial() else {
                return Admission::Blocked(RETRY_AFTER);
            };
            due = due.max(next);
            on_trial.push(*segment);
        }
        if on_trial.is_empty() {
            return Admission::Allowed;
        }
        // A prompt with fewer suspects tells more about each of them, so it comes first.
        let suspects = self.count_suspects(now, segments);
        let fewest = self.record_suspects(now, suspects);
        due = due + TRIAL_TURN * (suspects - fewest) as u32;
        let is_running = on_trial.iter().any(|segment| {
            let begun = self.trials.get(segment);
            begun.is_some_and(|t| now.since(*t) < TRIAL_TURN)
        });
        if now < due || is_running || !has_turn {
            let wait = now.until(due) + TRIAL_TURN;
            return Admission::Blocked(wait.min(RETRY_AFTER));
        }
        for segment in on_trial {
            self.trials.insert(segment, now);
        }
        Admission::Allowed
    }

    /// Returns the number of segments that haven't gone well lately, blocked or not.
    fn count_suspects(&self, now: Moment, segments: &[Fingerprint]) -> usize {
        let is_suspect = |s: &&Fingerprint| {
            let proven = self.proven.get(s);
            self.blocked_record(now, **s).is_some() || proven.is_none_or(|p| *p + PROOF_TIME <= now)
        };
        segments.iter().filter(is_suspect).count()
    }

    /// Records the suspects of a prompt with a blocked segment; returns the fewest of any such prompt lately,
    /// or one if none came.
    fn record_suspects(&mut self, now: Moment, suspects: usize) -> usize {
        let known = self.fewest.filter(|(at, _)| now.since(*at) < FEWEST_TIME);
        if known.is_none_or(|(_, fewest)| suspects <= fewest) {
            self.fewest = Some((now, suspects));
        }
        known.map_or(1, |(_, fewest)| fewest.min(suspects))
    }

    /// Records a strike, from this or another process; returns whether its segment became blocked by
    /// it. Strikes may arrive in any order and more than once.
    pub fn record_strike(&mut self, now: Moment, strike: &SegmentStrike) -> bool {
        let segment = strike.segment;
        if strike.at + self.settings.ttl <= now {
            return false;
        }
        if let Some(proven) = self.proven.get(&segment).copied() {
            if proven + PROOF_TIME > strike.at {
                self.disputed.insert(segment, proven);
                self.log.record_proof(segment, proven, strike.at);
            }
            if proven >= strike.at {
                return false;
            }
        }
        let was_blocked = self.blocked_record(now, segment).is_some();
        self.make_room(now);
        let begun = self.trials.get(&segment).copied();
        let is_result = |t: Moment| strike.at >= t && strike.at.since(t) < TRIAL_TIME;
        let is_trial = strike.is_trial || begun.is_some_and(is_result);
        let record = self.records.entry(segment).or_default();
        record.add(strike, is_trial);
        !was_blocked && self.blocked_record(now, segment).is_some()
    }

    /// Records that a run with a segment goes well: its server has been writing for
    /// [`PROOF_WRITTEN`], or still runs after the answer. Returns whether any strike was known.
    pub fn record_success(&mut self, now: Moment, segment: Fingerprint) -> bool {
        let known = self.records.contains_key(&segment);
        if known {
            self.disputed.insert(segment, now);
            self.log.record(segment, now);
        }
        self.acquit(now, segment, now);
        known
    }

    /// Records that a run with a segment went well at another process.
    pub fn apply_clearance(&mut self, now: Moment, clearance: Clearance) {
        let Clearance { content, at } = clearance;
        let fingerprint = content.fingerprint;
        if at + PROOF_TIME <= now {
            return self.remove_ends(fingerprint, at);
        }
        let disputed = self.disputed.entry(fingerprint).or_insert(at);
        *disputed = at.max(*disputed);
        self.acquit(now, fingerprint, at);
    }

    /// Removes the acquittals that arose here since the last call and are to be kept beside the strikes that they
    /// answer, and returns them.
    pub fn take_clearances(&mut self) -> Vec<Clearance> {
        let fresh = self.log.take().into_iter();
        fresh
            .map(|(segment, at)| Clearance {
                content: segment.into(),
                at,
            })
            .collect()
    }

    /// Returns whether a process ended in a trial of a segment.
    pub fn ended_in_trial(&self, segment: Fingerprint, process: &str) -> bool {
        let record = self.records.get(&segment);
        let mut ends = record.into_iter().flat_map(|r| &r.ends);
        ends.any(|e| e.process == process && e.is_trial)
    }

    /// Returns the blocked segments.
    pub fn blocked(&self, now: Moment) -> impl Iterator<Item = Fingerprint> {
        let segments = self.records.keys().copied();
        segments.filter(move |s| self.blocked_record(now, *s).is_some())
    }

    /// Returns the number of distinct ends that count against a segment.
    pub fn end_count(&self, segment: Fingerprint) -> usize {
        self.records.get(&segment).map_or(0, |r| r.ends.len())
    }

    /// Returns the strikes against a segment that other processes need: those of its first and its
    /// last ends.
    pub fn strikes_of(&self, segment: Fingerprint) -> impl Iterator<Item = SegmentStrike> {
        let record = self.records.get(&segment);
        let ends = record.map_or(&[][..], |r| &r.ends);
        let (first, last) = ends.split_at(ends.len().min(SHARED_ENDS / 2));
        let last = &last[last.len().saturating_sub(SHARED_ENDS / 2)..];
        first.iter().chain(last).flat_map(move |end| {
            let contents = end.contents.iter().take(SHARED_CONTENTS);
            contents.map(move |content| SegmentStrike {
                segment,
                process: end.process.clone(),
                content: *content,
                at: end.at,
                is_trial: end.is_trial,
            })
        })
    }

    /// Returns the strikes that matter most to other processes, at most `limit`: first those against
    /// blocked segments, then those against the segments with the most ends.
    pub fn strikes_to_share(&self, now: Moment, limit: usize) -> Vec<SegmentStrike> {
        let valid = self
            .records
            .iter()
            .filter(|(_, r)| !self.is_expired(now, r));
        let mut ranked: Vec<_> = valid
            .map(|(s, r)| {
                let is_blocked = self.blocked_record(now, *s).is_some();
                (Reverse((is_blocked, r.ends.len(), r.last_at())), *s)
            })
            .collect();
        ranked.sort_unstable();
        let strikes = ranked.into_iter().flat_map(|(_, s)| self.strikes_of(s));
        strikes.take(limit).collect()
    }

    /// Returns the newest clearances of segments that have got strikes, at most `limit`.
    pub fn clearances_to_share(&self, now: Moment, limit: usize) -> Vec<Clearance> {
        let valid = self
            .disputed
            .iter()
            .filter(|(_, at)| **at + PROOF_TIME > now);
        let mut newest: Vec<Clearance> = valid
            .map(|(fingerprint, at)| Clearance {
                content: (*fingerprint).into(),
                at: *at,
            })
            .collect();
        newest.sort_unstable_by_key(|c| Reverse(c.at));
        newest.truncate(limit);
        newest
    }

    fn acquit(&mut self, now: Moment, segment: Fingerprint, at: Moment) {
        if self.proven.len() >= self.settings.capacity && !self.proven.contains_key(&segment) {
            self.proven.retain(|_, at| *at + PROOF_TIME > now);
            evict_oldest(&mut self.proven, self.settings.capacity);
        }
        let proven = self.proven.entry(segment).or_insert(at);
        *proven = at.max(*proven);
        self.remove_ends(segment, at);
    }

    /// Removes the ends up to a moment from those that count against a segment.
    fn remove_ends(&mut self, segment: Fingerprint, at: Moment) {
        let Some(record) = self.records.get_mut(&segment) else {
            return;
        };
        record.ends.retain(|e| e.at > at);
        if record.ends.is_empty() {
            self.records.remove(&segment);
            self.trials.remove(&segment);
        }
    }

    fn is_expired(&self, now: Moment, record: &Record) -> bool {
        record.last_at() + self.settings.ttl <= now
    }

    /// Returns the record of a segment if it is blocked.
    fn blocked_record(&self, now: Moment, segment: Fingerprint) -> Option<&Record> {
        let record = self.records.get(&segment)?;
        if self.is_expired(now, record) || record.has_common_content() {
            return None;
        }
        let (first, last) = (record.first_at(), record.last_at());
        let proven = self.proven.get(&segment);
        let is_blocked = if proven.is_some_and(|p| *p + PROOF_TIME > first) {
            record.ends.len() >= PROVEN_ENDS && last.since(first) >= PROVEN_SPAN
        } else {
            record.ends.len() >= self.settings.min_ends
        };
        is_blocked.then_some(record)
    }

    /// Removes expired records, then the oldest, when the capacity is reached.
    fn make_room(&mut self, now: Moment) {
        let (ttl, capacity) = (self.settings.ttl, self.settings.capacity);
        if self.disputed.len() >= capacity {
            self.disputed.retain(|_, at| *at + PROOF_TIME > now);
            evict_oldest(&mut self.disputed, capacity);
        }
        if self.records.len() < capacity {
            return;
        }
        self.records.retain(|_, r| r.last_at() + ttl > now);
        while self.records.len() >= capacity {
            // Segments with few ends go first, so that a flood of them can't release the others.
            let rank = |(s, r): (&Fingerprint, &Record)| (r.ends.len(), r.last_at(), *s);
            let Some((.., segment)) = self.records.iter().map(rank).min() else {
                return;
            };
            self.records.remove(&segment);
            self.trials.remove(&segment);
        }
    }
}

/// Removes the oldest moments until one more fits.
fn evict_oldest(moments: &mut Map<Fingerprint, Moment>, capacity: usize) {
    while moments.len() >= capacity {
        let oldest = moments.iter().min_by_key(|(s, at)| (**at, **s));
        let Some((&segment, _)) = oldest else {
            return;
        };
        moments.remove(&segment);
    }
}
