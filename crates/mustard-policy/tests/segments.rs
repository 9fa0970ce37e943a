//! Segments of prompts that end servers: what blocks them, what acquits them, and a simulation of
//! several processes that count ends and tell each other.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use bolero::check;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::quarantine::Clearance;
use mustard_policy::segments::{Admission, SegmentFilter, SegmentStrike, Settings, TRIAL_TURN};
use mustard_policy::strike_news::StrikeNews;

const SEGMENT: Fingerprint = Fingerprint(7);

const fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn strike(process: u64, content: u128, ms: u64) -> SegmentStrike {
    SegmentStrike {
        segment: SEGMENT,
        process: format!("server-{process}"),
        content: Fingerprint(content),
        at: at(ms),
        is_trial: false,
    }
}

fn struck(strikes: &[(u64, u128, u64)]) -> SegmentFilter {
    let mut filter = SegmentFilter::default();
    for (process, content, ms) in strikes {
        filter.record_strike(at(*ms), &strike(*process, *content, *ms));
    }
    filter
}

fn is_allowed(filter: &mut SegmentFilter, ms: u64) -> bool {
    filter.admit(at(ms), &[SEGMENT], true) == Admission::Allowed
}

#[test]
fn record_strike_three_contents() {
    let mut filter = struck(&[(1, 1, 10), (2, 2, 20)]);
    assert!(!filter.is_blocked(at(20), &[SEGMENT]));
    assert!(filter.record_strike(at(30), &strike(3, 3, 30)));
    assert!(filter.is_blocked(at(30), &[Fingerprint(9), SEGMENT]));
    assert!(!filter.is_blocked(at(30), &[Fingerprint(9)]));
}

/// Guards against blaming a segment for a content that ends servers by itself.
#[test]
fn record_strike_common_content() {
    let mut filter = struck(&[(1, 1, 10), (2, 1, 20), (3, 1, 30), (4, 1, 40)]);
    filter.record_strike(at(50), &strike(4, 2, 40));
    assert!(!filter.is_blocked(at(50), &[SEGMENT]));
    assert!(
        filter.record_strike(at(60), &strike(5, 2, 60)),
        "another content alone"
    );
}

#[test]
fn record_strike_same_process() {
    let filter = struck(&[(1, 1, 10), (1, 2, 10), (1, 3, 10), (1, 4, 10)]);
    assert!(!filter.is_blocked(at(20), &[SEGMENT]));
}

/// Guards against refusing a segment of many sound requests when many servers fail at once.
#[test]
fn record_strike_proven() {
    let mut filter = SegmentFilter::default();
    filter.record_success(at(5), SEGMENT);
    for n in 0..10 {
        filter.record_strike(at(100), &strike(n, u128::from(n), 100));
    }
    assert!(!filter.is_blocked(at(100), &[SEGMENT]));
}

/// Guards against a segment that went well once and ends servers from some moment on.
#[test]
fn record_strike_proven_long_ago() {
    let mut filter = SegmentFilter::default();
    filter.record_success(at(5), SEGMENT);
    for n in 0..6 {
        let ms = 100 + n * 400;
        filter.record_strike(at(ms), &strike(n, u128::from(n), ms));
    }
    assert!(filter.is_blocked(at(2_200), &[SEGMENT]));
}

#[test]
fn record_success_blocked() {
    let mut filter = struck(&[(1, 1, 10), (2, 2, 20), (3, 3, 30)]);
    filter.record_success(at(40), SEGMENT);
    assert!(!filter.is_blocked(at(40), &[SEGMENT]));
    let cleared = filter.clearances_to_share(at(40), 9);
    assert_eq!(cleared.len(), 1);
    let mut other = struck(&[(1, 1, 10), (2, 2, 20), (3, 3, 30)]);
    other.apply_clearance(at(50), cleared[0]);
    assert!(!other.is_blocked(at(50), &[SEGMENT]));
    other.record_strike(at(60), &strike(1, 1, 10));
    assert_eq!(
        other.end_count(SEGMENT),
        0,
        "the strike is older than the clearance"
    );
}

/// Another process has only the strikes, this one the run that went well.
#[test]
fn record_strike_answered_with_clearance() {
    let mut filter = SegmentFilter::default();
    filter.record_success(at(5), SEGMENT);
    assert_eq!(filter.clearances_to_share(at(5), 9), []);
    filter.record_strike(at(20), &strike(1, 1, 10));
    let expected = Clearance {
        content: SEGMENT.into(),
        at: at(5),
    };
    assert_eq!(filter.clearances_to_share(at(20), 9), [expected]);
}

#[test]
fn admit_trials() {
    let mut filter = struck(&[(1, 1, 10), (2, 2, 20), (3, 3, 30)]);
    assert!(!is_allowed(&mut filter, 1_000));
    assert!(is_allowed(&mut filter, 1_600));
    assert!(!is_allowed(&mut filter, 1_700), "one trial at a time");
    filter.record_strike(at(2_000), &strike(4, 4, 2_000));
    assert!(is_allowed(&mut filter, 3_700), "fewer than five ends");
    filter.record_strike(at(4_000), &strike(5, 5, 4_000));
    assert!(!is_allowed(&mut filter, 60_000));
    assert!(is_allowed(&mut filter, 64_000));
}

#[test]
fn admit_other_turn() {
    let mut filter = struck(&[(1, 1, 10), (2, 2, 20), (3, 3, 30)]);
    let mut admit = |ms, has_turn| filter.admit(at(ms), &[SEGMENT], has_turn);
    assert!(matches!(admit(1_600, false), Admission::Blocked(_)));
    assert_eq!(admit(3_600, true), Admission::Allowed);
}

/// Guards against trials that never come about because a prompt has several blocked segments.
#[test]
fn admit_several_segments() {
    let mut filter = SegmentFilter::default();
    let both = [SEGMENT, Fingerprint(8)];
    for (i, segment) in both.into_iter().enumerate() {
        for n in 0..6 {
            let ms = 100 + 300 * i as u64;
            let mut strike = strike(n, u128::from(n), ms);
            strike.segment = segment;
            filter.record_strike(at(ms), &strike);
        }
    }
    assert!(matches!(
        filter.admit(at(3_800), &both, true),
        Admission::Blocked(_)
    ));
    assert_eq!(filter.admit(at(4_000), &both, true), Admission::Allowed);
}

/// Two blocked segments, of which only one has a trial due.
#[test]
fn admit_second_segment_blocked() {
    let mut filter = struck(&[(1, 1, 10), (2, 2, 20), (3, 3, 30)]);
    let other = Fingerprint(8);
    for n in 0..6 {
        let mut strike = strike(n, u128::from(n), 900);
        strike.segment = other;
        filter.record_strike(at(900), &strike);
    }
    let both = [SEGMENT, other];
    assert!(matches!(
        filter.admit(at(1_700), &both, true),
        Admission::Blocked(_)
    ));
    assert!(
        is_allowed(&mut filter, 1_700),
        "the other trial wasn't begun"
    );
}

#[test]
fn record_strike_expired() {
    let settings = Settings::default();
    let mut filter = struck(&[(1, 1, 10), (2, 2, 20), (3, 3, 30)]);
    let later = at(30) + settings.ttl;
    assert!(!filter.is_blocked(later, &[SEGMENT]));
    assert!(!filter.record_strike(later, &strike(4, 4, 30)));
}

/// Guards against a flood of segments that releases a blocked one.
#[test]
fn record_strike_flood() {
    let mut filter = struck(&[(1, 1, 10), (2, 2, 20), (3, 3, 30)]);
    for n in 0..6_000 {
        let mut strike = strike(n, u128::from(n), 100);
        strike.segment = Fingerprint(1_000 + u128::from(n));
        filter.record_strike(at(100), &strike);
    }
    assert!(filter.is_blocked(at(100), &[SEGMENT]));
    let shared = filter.strikes_to_share(at(100), 8);
    assert_eq!(shared.iter().filter(|s| s.segment == SEGMENT).count(), 3);
}

/// Strikes give the same result in any order, also if they arrive more than once.
#[test]
fn record_strike_any_order() {
    check!()
        .with_iterations(300)
        .with_type::<u64>()
        .for_each(|seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let mut strikes: Vec<_> = (0..rng.random_range(1..12))
                .map(|_| {
                    let ms = rng.random_range(0..3_000);
                    strike(rng.random_range(0..6), rng.random_range(0..4), ms)
                })
                .collect();
            let blocked = |strikes: &[SegmentStrike]| {
                let mut filter = SegmentFilter::default();
                for strike in strikes {
                    filter.record_strike(at(4_000), strike);
                }
                (
                    filter.is_blocked(at(4_000), &[SEGMENT]),
                    filter.end_count(SEGMENT),
                )
            };
            let expected = blocked(&strikes);
            strikes.extend(strikes.clone());
            strikes.shuffle(&mut rng);
            assert_eq!(blocked(&strikes), expected);
        });
}

// A simulation of processes in front of servers.

const STEP_MS: u64 = 10;
const SERVERS: usize = 12;
const FEW_GATEWAYS: usize = 4;
const MANY_GATEWAYS: usize = 60;
const DOWN_MS: u64 = 2_000;
const GOSSIP_MS: u64 = 200;
const NEWS_MS: u64 = 100;
const CONTACT_MS: u64 = 3_000;

/// A request that a server runs.
struct Run {
    gateway: usize,
    server: usize,
    segments: Vec<Fingerprint>,
    content: Fingerprint,
    begins: u64,
    /// When it ends the server.
    poison_end: Option<u64>,
    ends: u64,
    proven: bool,
}

#[derive(Default)]
struct World {
    filters: Vec<SegmentFilter>,
    news: Vec<StrikeNews<SegmentStrike>>,
    names: Vec<String>,
    /// By how much the time of day of each gateway is ahead.
    clocks: Vec<u64>,
    runs: Vec<Run>,
    /// Until when each server is away, and how often it has started.
    servers: Vec<(u64, u64)>,
    poison: BTreeSet<Fingerprint>,
    /// When servers ended, and when requests reached servers, by poison segment.
    ended: BTreeMap<Fingerprint, Vec<u64>>,
    arrived: BTreeMap<Fingerprint, Vec<u64>>,
    /// Sound requests: when, and whether they were refused.
    sound: Vec<(u64, bool)>,
}

impl World {
    fn send(&mut self, now: u64, gateway: usize, segments: Vec<Fingerprint>, rng: &mut ChaCha8Rng) {
        let poison = segments.iter().copied().find(|s| self.poison.contains(s));
        let wall = u128::from(now + self.clocks[gateway]);
        let turn = wall / TRIAL_TURN.as_millis() % self.filters.len() as u128;
        let has_turn = turn == gateway as u128;
        let admission = self.filters[gateway].admit(at(now), &segments, has_turn);
        let up: Vec<usize> = (0..SERVERS).filter(|s| self.servers[*s].0 <= now).collect();
        let server = up.choose(rng).copied();
        let is_refused = admission != Admission::Allowed;
        if poison.is_none() {
            self.sound.push((now, is_refused));
        }
        let (false, Some(server)) = (is_refused, server) else {
            return;
        };
        if let Some(segment) = poison {
            self.arrived.entry(segment).or_default().push(now);
        }
        let begins = now + rng.random_range(50..400);
        self.runs.push(Run {
            gateway,
            server,
            segments,
            content: Fingerprint(rng.random::<u128>()),
            begins,
            poison_end: poison.map(|_| begins + rng.random_range(20..90)),
            ends: begins + rng.random_range(300..2_500),
            proven: false,
        });
    }

    fn step(&mut self, now: u64) {
        let failing = self
            .runs
            .iter()
            .filter(|r| r.poison_end.is_some_and(|e| e <= now));
        let failing: BTreeSet<usize> = failing.map(|r| r.server).collect();
        self.fail(now, &failing);
        for run in &mut self.runs {
            if !run.proven && now >= run.begins + 1_000 {
                run.proven = true;
                for segment in &run.segments {
                    self.filters[run.gateway].record_success(at(now), *segment);
                }
            }
        }
        self.runs.retain(|r| r.ends > now);
    }

    /// Ends servers; each run there gets strikes if it had just begun.
    fn fail(&mut self, now: u64, failing: &BTreeSet<usize>) {
        for server in failing {
            let process = format!("{server}@{}", self.servers[*server].1);
            self.servers[*server].0 = now + DOWN_MS;
            self.servers[*server].1 += 1;
            let lost = self.runs.extract_if(.., |r| r.server == *server);
            for run in lost.collect::<Vec<_>>() {
                if run.poison_end.is_some_and(|e| e <= now) {
                    let segment = run.segments.iter().find(|s| self.poison.contains(s));
                    self.ended.entry(*segment.unwrap()).or_default().push(now);
                }
                if run.proven {
                    continue;
                }
                for segment in run.segments {
                    let strike = SegmentStrike {
                        segment,
                        process: process.clone(),
                        content: run.content,
                        at: at(now),
                        is_trial: false,
                    };
                    if self.filters[run.gateway].record_strike(at(now), &strike) {
                        self.news[run.gateway].record_settled(segment);
                    }
                    self.news[run.gateway].record_seen(segment, strike);
                }
            }
        }
    }

    /// Tells the collectors of the ends that were seen, and all gateways of the segments that are blocked.
    fn tell_news(&mut self, now: u64) {
        for from in 0..self.filters.len() {
            let peers: Vec<usize> = (0..self.filters.len()).filter(|g| *g != from).collect();
            let names: Vec<&str> = peers.iter().map(|g| self.names[*g].as_str()).collect();
            for (peer, strikes) in self.news[from].take_seen(&self.names[from], &names) {
                let to = peers[peer];
                for strike in strikes {
                    if self.filters[to].record_strike(at(now), &strike) {
                        self.news[to].record_settled(strike.segment);
                    }
                }
            }
            for segment in self.news[from].take_settled() {
                let strikes: Vec<_> = self.filters[from].strikes_of(segment).collect();
                for to in &peers {
                    for strike in &strikes {
                        self.filters[*to].record_strike(at(now), strike);
                    }
                }
            }
        }
    }

    fn gossip(&mut self, now: u64, rng: &mut ChaCha8Rng) {
        let gateways = self.filters.len();
        for from in 0..gateways {
            let to = (from + rng.random_range(1..gateways)) % gateways;
            let strikes = self.filters[from].strikes_to_share(at(now), 128);
            let cleared = self.filters[from].clearances_to_share(at(now), 128);
            for clearance in cleared {
                self.filters[to].apply_clearance(at(now), clearance);
            }
            for strike in strikes {
                self.filters[to].record_strike(at(now), &strike);
            }
        }
    }
}

/// Requests with poison segments, up to three of them, from a moment on; at times many servers fail at
/// once. Few requests with a poison segment reach servers later than the contact time after the fifth
/// end, and most sound requests are admitted, all of which share caller, route and first segment.
#[test]
fn admit_simulated_days() {
    check!()
        .with_iterations(60)
        .with_type::<u64>()
        .for_each(|seed| check_day(*seed, FEW_GATEWAYS, 0));
}

/// Guards against trials with several blocked segments, whose end counts against the harmless ones: the
/// first segment of all prompts had no further trial for a minute.
#[test]
fn admit_simulated_joint_trials() {
    check_day(11_191_065_909_290_447_350, FEW_GATEWAYS, 0);
}

/// Guards against the same with many gateways, each of which sees few ends and has its turn seldom.
#[test]
fn admit_simulated_days_many_gateways() {
    (0..12).for_each(|seed| check_day(seed, MANY_GATEWAYS, 0));
}

/// Guards against trials by many gateways at once, whose times of day differ.
#[test]
fn admit_simulated_days_clocks_differ() {
    (0..12).for_each(|seed| check_day(seed, FEW_GATEWAYS, 8_000));
    (0..12).for_each(|seed| check_day(seed, MANY_GATEWAYS, 8_000));
}

/// Simulates a day; the times of day of the gateways differ by up to `skew` milliseconds.
fn check_day(seed: u64, gateways: usize, skew: u64) {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let mut world = World {
        filters: vec![SegmentFilter::default(); gateways],
        news: vec![StrikeNews::default(); gateways],
        names: (0..gateways).map(|g| format!("gateway-{g}")).collect(),
        clocks: vec![0; gateways],
        servers: vec![(0, 0); SERVERS],
        poison: (0..rng.random_range(1..4))
            .map(|n| Fingerprint(900 + n))
            .collect(),
        ..World::default()
    };
    if skew > 0 {
        // Drawn apart, so that the days are those without a difference.
        let clocks = &mut ChaCha8Rng::seed_from_u64(seed + 1);
        world.clocks.fill_with(|| clocks.random_range(0..skew));
    }
    let begin = [0, 3_000, 8_000][rng.random_range(0..3)];
    let poison_pause = rng.random_range(100..900);
    let mass_failure = rng.random_bool(0.5).then(|| rng.random_range(500..20_000));
    let subjects = rng.random_range(1..30);
    let poison: Vec<_> = world.poison.iter().copied().collect();
    for now in (0..40_000).step_by(STEP_MS as usize) {
        let subject = Fingerprint(100 + rng.random_range(0..subjects));
        if rng.random_bool(0.15) {
            let gateway = rng.random_range(0..gateways);
            world.send(now, gateway, vec![Fingerprint(1), subject], rng);
        }
        for segment in &poison {
            if now >= begin && rng.random_bool(STEP_MS as f64 / poison_pause as f64) {
                let gateway = rng.random_range(0..gateways);
                world.send(now, gateway, vec![Fingerprint(1), subject, *segment], rng);
            }
        }
        if mass_failure.is_some_and(|m: u64| m / STEP_MS == now / STEP_MS) {
            world.fail(now, &(0..SERVERS / 2).collect());
        }
        world.step(now);
        if now % NEWS_MS == 0 {
            world.tell_news(now);
        }
        if now % GOSSIP_MS == 0 {
            world.gossip(now, rng);
        }
    }
    let mut last = begin;
    for (segment, ended) in &world.ended {
        last = last.max(ended.get(4).or(ended.last()).copied().unwrap());
        let Some(fifth) = ended.get(4) else { continue };
        let late = world.arrived[segment]
            .iter()
            .filter(|t| **t > fifth + CONTACT_MS);
        assert!(
            late.count() <= 3,
            "seed {seed}: {ended:?} {:?}",
            world.arrived[segment]
        );
    }
    let later = world
        .sound
        .iter()
        .filter(|(t, _)| *t > last + 2 * CONTACT_MS);
    let later: Vec<_> = later.collect();
    let refused = later.iter().filter(|(_, refused)| *refused).count();
    assert!(
        refused * 2 <= later.len(),
        "seed {seed}: {refused} of {} refused",
        later.len()
    );
}

/// Guards against refusing a whole service for good, as a segment of all prompts stays blocked.
#[test]
fn admit_simulated_all_refused() {
    check_day(14_928_571_715_721_582_292, FEW_GATEWAYS, 0);
}
