//! Shares of the crossings between failure domains that follow demand, simulated without network: 11, 32 and
//! 68 gateways exchange reports in rounds while demand moves between domains, and gateways are cut off and
//! restarted.

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_policy::demand_share::{DemandReport, DemandShares, MAX_AGE};
use mustard_policy::pipeline::CrossingBudget;

/// The sizes: deployments B and A of `docs/design/load-control.md`, and the size of `docs/design/size.md`.
const SIZES: [usize; 3] = [11, 32, 68];
/// The crossings per second that the bandwidth carries in deployment A, on a usual day.
const CAPACITY: f64 = 54.0;
/// The most that all shares may sum to, as a fraction of the capacity.
const MAX_SUM: f64 = 1.15;
/// The interval of rounds, the peers called in each, and the reports in a message, as in the gateway.
const ROUND_MS: u64 = 500;
const FANOUT: usize = 2;
const MAX_REPORTS: usize = 24;
/// The time from the sending of a message to its answer, on a slow link.
const DELAY_MS: u64 = 60;
const STEP_MS: u64 = 20;
/// The time within which a request waits for a crossing, and the interval of its searches.
const WAIT_MS: u64 = 300;
const SEARCH_MS: u64 = 80;
const DOMAINS: usize = 3;

/// How a gateway computes its share.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// An even part each, as before.
    Even,
    /// The policy.
    Shares,
    /// The policy, but messages hold only the sender's own report.
    DirectOnly,
    /// All is divided by demand, with the present own demand, among those heard from.
    PresentDemand,
    /// One budget for all, which no way without a common counter reaches.
    Common,
}

/// The load of a run.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// The demand of each domain swings by 0.55 in 13 s, out of phase, as in deployment B.
    Swing,
    /// One domain lacks a layer, and its requests cross: another domain every 10 s.
    Gap,
    /// Nothing is asked for, and after 10 s more than the capacity in all domains at once.
    Burst,
}

impl Load {
    /// Returns the crossings per second that the gateways of a domain ask for together, as a fraction of the
    /// capacity.
    fn demand(self, domain: usize, ms: u64) -> f64 {
        let third = 1.0 / DOMAINS as f64;
        match self {
            Load::Swing => {
                let phase = ms as f64 / 13_000.0 + domain as f64 * third;
                1.3 * third * (1.0 + 0.55 * (TAU * phase).sin())
            }
            Load::Gap if (ms / 10_000) as usize % DOMAINS == domain => 1.3,
            Load::Gap => 0.05,
            Load::Burst if (ms / 10_000) % 2 == 1 => 1.5 * third,
            Load::Burst => 0.0,
        }
    }
}

/// What happens to gateways besides load.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// A third of the gateways reaches the rest no more from 15 to 30 s.
    Split,
    /// Every 2 s a gateway is restarted, and its state lost.
    Restarts,
    /// Every 3 s one gateway is cut off from all others for 7 s.
    CutOff,
    /// All gateways start at once, without knowing more than three others.
    Start,
}

struct Gateway {
    shares: DemandShares<usize>,
    budget: CrossingBudget,
    /// The gateways that this one knows of.
    known: Vec<bool>,
    round_at: u64,
    cut_until: u64,
}

struct Message {
    at: u64,
    to: usize,
    reports: Vec<DemandReport<usize>>,
    known: Vec<bool>,
    heard: usize,
    /// Whether the receiver answers.
    is_call: Option<usize>,
}

struct Request {
    id: u64,
    gateway: usize,
    search_at: u64,
    until: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: u32,
    served: u32,
    /// The largest sum of the shares of all gateways, as a fraction of the capacity.
    max_sum: f64,
}

impl Outcome {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }
}

struct Simulation {
    size: usize,
    way: Way,
    fault: Fault,
    gateways: Vec<Gateway>,
    messages: VecDeque<Message>,
    now: u64,
    rng: ChaCha8Rng,
}

/// Times begin late enough that the age of a report never goes beyond the start of the clock.
fn at(ms: u64) -> Moment {
    Moment::from_millis(100_000 + ms)
}

impl Simulation {
    fn new(size: usize, way: Way, fault: Fault, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let knows_all = fault != Fault::Start;
        let gateways = (0..size).map(|g| new_gateway(g, size, 0, knows_all, &mut rng));
        Simulation {
            gateways: gateways.collect(),
            size,
            way,
            fault,
            messages: VecDeque::new(),
            now: 0,
            rng,
        }
    }

    /// Returns whether two gateways reach each other.
    fn is_connected(&self, a: usize, b: usize) -> bool {
        let is_cut = |g: usize| self.gateways[g].cut_until > self.now;
        let is_split = self.fault == Fault::Split
            && (15_000..30_000).contains(&self.now)
            && a.is_multiple_of(DOMAINS) != b.is_multiple_of(DOMAINS);
        !is_cut(a) && !is_cut(b) && !is_split
    }

    fn apply_faults(&mut self) {
        let victim = (self.now / 1_000) as usize * 7 % self.size;
        match self.fault {
            Fault::Restarts if self.now.is_multiple_of(2_000) => {
                self.gateways[victim] =
                    new_gateway(victim, self.size, self.now, false, &mut self.rng);
            }
            Fault::CutOff if self.now.is_multiple_of(3_000) => {
                self.gateways[victim].cut_until = self.now + 7_000;
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, is_call: bool) {
        if !self.is_connected(from, to) {
            return;
        }
        let limit = if self.way == Way::DirectOnly {
            1
        } else {
            MAX_REPORTS
        };
        let now = at(self.now);
        let sender = &mut self.gateways[from];
        let message = Message {
            at: self.now + self.rng.random_range(1..=DELAY_MS / 2),
            to,
            reports: sender.shares.reports_to_share(now, limit),
            heard: sender.shares.heard(now),
            known: sender.known.clone(),
            is_call: is_call.then_some(from),
        };
        self.messages.push_back(message);
    }

    fn exchange(&mut self) {
        for g in 0..self.size {
            if self.gateways[g].round_at > self.now {
                continue;
            }
            self.gateways[g].round_at = self.now + ROUND_MS;
            let others = (0..self.size).filter(|p| *p != g && self.gateways[g].known[*p]);
            for to in others.choose_multiple(&mut self.rng, FANOUT) {
                self.send(g, to, true);
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            self.messages.drain(..).partition(|m| m.at <= self.now);
        self.messages.extend(later);
        for m in due {
            let now = at(self.now);
            let gateway = &mut self.gateways[m.to];
            for report in m.reports {
                // A report carries its age in milliseconds.
                let age = Duration::from_millis(now.ms_since(report.at));
                gateway.shares.apply_report(
                    now,
                    DemandReport {
                        at: now - age,
                        ..report
                    },
                );
            }
            gateway.shares.observe_processes(m.heard);
            for (own, known) in gateway.known.iter_mut().zip(&m.known) {
                *own |= known;
            }
            if let Some(from) = m.is_call {
                gateway.known[from] = true;
                self.send(m.to, from, false);
            }
        }
    }

    /// Returns the fraction of the capacity that a gateway uses.
    fn fraction(&mut self, g: usize) -> f64 {
        let now = at(self.now);
        let gateway = &mut self.gateways[g];
        let known = gateway.known.iter().filter(|k| **k).count();
        match self.way {
            Way::Even => 1.0 / self.size as f64,
            Way::Common => 1.0,
            Way::Shares | Way::DirectOnly => gateway.shares.share(now, CAPACITY, known).fraction,
            Way::PresentDemand => {
                let reports = gateway.shares.reports_to_share(now, usize::MAX);
                let total: f64 = reports.iter().map(|r| r.rate).sum();
                let even = 1.0 / reports.len() as f64;
                let part = if total > 0.0 {
                    reports[0].rate / total
                } else {
                    even
                };
                0.5 * even + 0.5 * part
            }
        }
    }

    /// Runs a load for a time; the first 10 s aren't counted unless the gateways start.
    fn run(mut self, load: Load, length_ms: u64) -> Outcome {
        let mut outcome = Outcome::default();
        let mut common = CrossingBudget::new(Moment::default());
        let mut waiting: Vec<Request> = Vec::new();
        let mut next_id = 0;
        let begin = if self.fault == Fault::Start {
            0
        } else {
            10_000
        };
        while self.now < length_ms {
            self.apply_faults();
            self.exchange();
            let is_counted = self.now >= begin;
            for g in 0..self.size {
                let domain = g % DOMAINS;
                let gateways = (self.size - domain).div_ceil(DOMAINS);
                let rate = CAPACITY * load.demand(domain, self.now) / gateways as f64;
                if self.rng.random_bool(rate * STEP_MS as f64 / 1e3) {
                    outcome.asked += u32::from(is_counted);
                    next_id += 1;
                    waiting.push(Request {
                        id: next_id,
                        gateway: g,
                        search_at: self.now,
                        until: self.now + WAIT_MS,
                    });
                }
            }
            let mut kept = Vec::new();
            for mut r in std::mem::take(&mut waiting) {
                if r.search_at > self.now {
                    kept.push(r);
                    continue;
                }
                let now = at(self.now);
                let rate = CAPACITY * self.fraction(r.gateway);
                let gateway = &mut self.gateways[r.gateway];
                gateway.shares.record_ask(now, r.id, 1);
                let budget = match self.way {
                    Way::Common => &mut common,
                    _ => &mut gateway.budget,
                };
                if budget.take(now, rate, 1) {
                    gateway.shares.record_grant(r.id);
                    outcome.served += u32::from(is_counted);
                } else if self.now + SEARCH_MS <= r.until {
                    r.search_at = self.now + SEARCH_MS;
                    kept.push(r);
                }
            }
            waiting = kept;
            if is_counted && self.now.is_multiple_of(100) && self.way != Way::Common {
                let sum: f64 = (0..self.size).map(|g| self.fraction(g)).sum();
                outcome.max_sum = outcome.max_sum.max(sum);
            }
            self.now += STEP_MS;
        }
        outcome
    }
}

fn new_gateway(g: usize, size: usize, ms: u64, knows_all: bool, rng: &mut ChaCha8Rng) -> Gateway {
    let seeds = (0..size).choose_multiple(rng, 3);
    Gateway {
        shares: DemandShares::new(g),
        budget: CrossingBudget::new(Moment::from_millis(ms)),
        known: (0..size)
            .map(|p| knows_all || p == g || seeds.contains(&p))
            .collect(),
        round_at: ms + rng.random_range(0..ROUND_MS),
        cut_until: 0,
    }
}

const FAULTS: [Fault; 5] = [
    Fault::Nothing,
    Fault::Split,
    Fault::Restarts,
    Fault::CutOff,
    Fault::Start,
];
const LOADS: [Load; 3] = [Load::Swing, Load::Gap, Load::Burst];
/// Covers each kind of fault, and a whole period of each load.
const RUN_MS: u64 = 40_000;

/// Guards against gateways that together use more crossings than the bandwidth carries while demand moves
/// between domains, gateways start, are restarted or are cut off, alone or a third of them at once.
#[test]
fn share_sum_within_bound() {
    std::thread::scope(|scope| {
        for size in SIZES {
            scope.spawn(move || {
                for (fault, load) in FAULTS.iter().flat_map(|f| LOADS.map(|l| (*f, l))) {
                    let run = Simulation::new(size, Way::Shares, fault, 1).run(load, RUN_MS);
                    assert!(
                        run.max_sum <= MAX_SUM,
                        "{size} gateways, {load:?}, {fault:?}: shares of {:.3} of the capacity",
                        run.max_sum
                    );
                    assert!(run.served > 0, "{size} gateways, {load:?}, {fault:?}");
                }
            });
        }
    });
}

/// Guards against shares that don't reach the gateways with demand: one domain that lacks a layer asks for
/// all crossings, and even shares leave two thirds of the capacity unused.
#[test]
fn share_serves_more_than_even() {
    std::thread::scope(|scope| {
        for size in SIZES {
            scope.spawn(move || {
                for load in [Load::Swing, Load::Gap] {
                    let served = [Way::Even, Way::Shares].map(|way| {
                        let run = Simulation::new(size, way, Fault::Nothing, 2).run(load, RUN_MS);
                        run.served_share()
                    });
                    let [even, shares] = served;
                    println!("{size} gateways, {load:?}: {even:.3} even, {shares:.3} by demand");
                    assert!(
                        shares > even,
                        "{size} gateways, {load:?}: {shares:.3} served, {even:.3} with even shares"
                    );
                }
            });
        }
    });
}

/// The ways that were weighed and not taken break the bound on the sum, so the bound tells them apart.
/// Guards against a simulation in which any way would do.
#[test]
fn share_other_ways_exceed_bound() {
    let run = |way, load, fault, size| {
        let run = Simulation::new(size, way, fault, 3).run(load, RUN_MS);
        println!(
            "{size} gateways, {load:?}, {fault:?}, {way:?}: {:.3} served, shares of {:.3}",
            run.served_share(),
            run.max_sum
        );
        run
    };
    for (load, fault, size) in [
        (Load::Gap, Fault::Nothing, 68),
        (Load::Gap, Fault::Split, 32),
        (Load::Burst, Fault::Nothing, 32),
    ] {
        for way in [Way::Even, Way::Common, Way::Shares] {
            run(way, load, fault, size);
        }
        let direct = run(Way::DirectOnly, load, fault, size).max_sum;
        let present = run(Way::PresentDemand, load, fault, size).max_sum;
        assert!(
            direct.max(present) > MAX_SUM,
            "{load:?}, {fault:?}: {direct:.3} and {present:.3}"
        );
    }
}

/// A gateway that reports and is heard: gateway `from` of a deployment.
fn report(from: usize, rate: f64, at: Moment) -> DemandReport<usize> {
    DemandReport { from, rate, at }
}

/// Guards against a gateway that is cut off, paused or has just started and takes the part of those that it
/// doesn't hear.
#[test]
fn share_unheard_half_of_even() {
    let mut shares = DemandShares::new(0);
    assert_eq!(
        shares.share(at(0), CAPACITY, 1).fraction,
        1.0,
        "the only one"
    );
    assert_eq!(
        shares.share(at(0), CAPACITY, 4).fraction,
        0.0,
        "at the start"
    );
    let fraction = shares.share(at(3_000), CAPACITY, 4).fraction;
    assert_eq!(fraction, 0.5 / 4.0, "known, but none was heard from");
    for from in 1..10 {
        shares.apply_report(at(4_000), report(from, 1.0, at(4_000)));
    }
    shares.record_ask(at(4_000), 1, 500);
    let heard = shares.share(at(4_000), CAPACITY, 4);
    assert_eq!((heard.heard, heard.processes), (10, 10));
    assert!(heard.fraction > 0.1, "{heard:?}");
    // The gateway hears no more, or its process was stopped for this long.
    let later = at(4_000) + MAX_AGE;
    let alone = shares.share(later, CAPACITY, 4);
    assert_eq!((alone.heard, alone.fraction), (1, 0.5 / 10.0));
    shares.observe_processes(20);
    assert_eq!(shares.share(later, CAPACITY, 4).fraction, 0.5 / 20.0);
}

/// Guards against a gateway that takes too much because crossings become scarce long after its start: reports
/// were not exchanged before, and the first one to arrive isn't the only other gateway.
#[test]
fn share_scarce_later() {
    let mut shares = DemandShares::new(0);
    shares.apply_report(at(60_000), report(1, 1.0, at(60_000)));
    assert_eq!(shares.share(at(60_000), CAPACITY, 32).fraction, 0.0);
}

/// Guards against demand that grows because requests wait and search again.
#[test]
fn record_ask_waiting_counts_once() {
    let rate = |grant: bool| {
        let mut shares = DemandShares::new(0);
        for request in 0..10 {
            for search in 0..4 {
                shares.record_ask(at(1_000 + search * 80), request, 1);
                if grant {
                    shares.record_grant(request);
                }
            }
        }
        shares.share(at(1_500), CAPACITY, 1).demand
    };
    assert_eq!(rate(false), 5.0, "10 requests in the 2 s of the average");
    assert_eq!(rate(true), 20.0, "40 crossings granted");
}

/// Guards against more memory than a bound while very many requests wait.
#[test]
fn record_ask_many_waiting() {
    let mut shares = DemandShares::new(0);
    for request in 0..20_000 {
        shares.record_ask(at(1_000), request, 1);
    }
    assert_eq!(shares.share(at(1_000), CAPACITY, 1).demand, 10_000.0);
    shares.record_ask(at(60_000), 1, 1);
    assert_eq!(shares.share(at(60_000), CAPACITY, 1).demand, 0.5);
}

/// Guards against invalid reports of a faulty peer, which would take the share of all others, and against old
/// ones that replace newer ones.
#[test]
fn apply_report_invalid() {
    let mut shares = DemandShares::new(0);
    let now = at(20_000);
    for (from, rate) in [
        (1, f64::NAN),
        (2, -1.0),
        (3, f64::INFINITY),
        (4, 1e9),
        (0, 5.0),
    ] {
        shares.apply_report(now, report(from, rate, now));
    }
    shares.apply_report(now, report(5, 1.0, at(15_000)));
    shares.apply_report(now, report(6, 1.0, at(20_001)));
    assert_eq!(shares.share(now, CAPACITY, 1).heard, 1);
    shares.apply_report(now, report(7, 3.0, at(19_000)));
    shares.apply_report(now, report(7, 9.0, at(18_000)));
    let share = shares.share(now, CAPACITY, 1);
    assert_eq!((share.heard, share.total), (2, 3.0));
    assert!(share.fraction.is_finite());
}

/// Guards against messages that grow with the number of gateways, and against a sender that leaves out its
/// own demand.
#[test]
fn reports_to_share_newest() {
    let mut shares = DemandShares::new(0);
    let now = at(20_000);
    for from in 1..400 {
        let age = Duration::from_millis(from as u64 * 10);
        shares.apply_report(now, report(from, 1.0, now - age));
    }
    let sent: Vec<_> = shares
        .reports_to_share(now, 4)
        .iter()
        .map(|r| r.from)
        .collect();
    assert_eq!(sent, [0, 1, 2, 3]);
}
