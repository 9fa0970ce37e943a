//! What one gateway has seen of the ends of servers reaches the others: simulated exchanges between a few
//! gateways and between 60 of them, while other servers end and cut off many requests.

use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::quarantine::{Quarantine, Settings, Standing, Strike};
use mustard_policy::strike_news::StrikeNews;

/// The content under which servers end.
const POISON: Fingerprint = Fingerprint(7);
/// The deaths that quarantine a content at a gateway.
const MIN_DEATHS: usize = 3;
/// The interval between two rounds of an exchange, and the peers that a gateway calls in each.
const ROUND: Duration = Duration::from_millis(500);
const FANOUT: usize = 2;
/// The most strikes in one message.
const MAX_STRIKES: usize = 64;
/// The time after the third end within which all gateways must know of it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How many requests the end of another server cuts off at each gateway, and how often that happens.
const CUT_OFF: usize = 12;
const END_INTERVAL: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(50);
/// How often gateways tell others at once what they have seen.
const NEWS_INTERVAL: Duration = Duration::from_millis(100);

struct Simulation {
    gateways: Vec<Quarantine>,
    names: Vec<String>,
    news: Vec<StrikeNews<Strike>>,
    /// The gateways that get no messages.
    lost: Vec<usize>,
    /// The most messages that gateways sent at once in one step.
    most_messages: usize,
    now: Moment,
    rng: ChaCha8Rng,
}

impl Simulation {
    fn new(gateways: usize, seed: u64) -> Self {
        let settings = Settings {
            min_deaths: MIN_DEATHS,
            ..Settings::default()
        };
        Simulation {
            gateways: vec![Quarantine::new(settings); gateways],
            names: (0..gateways).map(|g| format!("gateway-{g}")).collect(),
            news: vec![StrikeNews::default(); gateways],
            lost: Vec::new(),
            most_messages: 0,
            now: Moment::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn strike(&mut self, gateway: usize, content: Fingerprint, process: String) {
        let strike = Strike {
            content: content.into(),
            vm: process,
            shared: 1,
            at: self.now,
        };
        if self.gateways[gateway].record_strike(self.now, &strike) {
            self.news[gateway].record_settled(content);
        }
        self.news[gateway].record_seen(content, strike);
    }

    /// Tells the collectors of the ends that were seen, and all gateways of the contents that are
    /// quarantined.
    fn tell_news(&mut self) {
        let mut messages = 0;
        for from in 0..self.gateways.len() {
            let peers: Vec<usize> = (0..self.gateways.len()).filter(|g| *g != from).collect();
            let names: Vec<&str> = peers.iter().map(|g| self.names[*g].as_str()).collect();
            let seen = self.news[from].take_seen(&self.names[from], &names);
            let settled = self.news[from].take_settled();
            messages += seen.len() + settled.len() * peers.len();
            for (peer, strikes) in seen {
                let to = peers[peer];
                for strike in strikes.iter().filter(|_| !self.lost.contains(&to)) {
                    if self.gateways[to].record_strike(self.now, strike) {
                        self.news[to].record_settled(strike.content.fingerprint);
                    }
                }
            }
            for content in settled {
                let strikes: Vec<Strike> = self.gateways[from].strikes_of(content).collect();
                for to in peers.iter().filter(|g| !self.lost.contains(g)) {
                    for strike in &strikes {
                        self.gateways[*to].record_strike(self.now, strike);
                    }
                }
            }
        }
        self.most_messages = self.most_messages.max(messages);
    }

    /// A server ends that runs requests of all gateways.
    fn end_other_server(&mut self) {
        let process = format!("other-{}", self.rng.random::<u64>());
        for gateway in 0..self.gateways.len() {
            for _ in 0..CUT_OFF {
                let content = Fingerprint(u128::from(self.rng.random::<u64>()) + 100);
                self.strike(gateway, content, process.clone());
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        if self.lost.contains(&from) || self.lost.contains(&to) {
            return;
        }
        for (from, to) in [(from, to), (to, from)] {
            let strikes = self.gateways[from].strikes_to_share(self.now, MAX_STRIKES);
            for strike in &strikes {
                self.gateways[to].record_strike(self.now, strike);
            }
        }
    }

    fn run_round(&mut self) {
        for gateway in 0..self.gateways.len() {
            let others = (0..self.gateways.len()).filter(|g| *g != gateway);
            for peer in others.choose_multiple(&mut self.rng, FANOUT) {
                self.exchange(gateway, peer);
            }
        }
    }

    /// Runs for a time; `elapsed` counts from the begin of the simulation.
    fn run(&mut self, elapsed: &mut Duration, time: Duration) {
        let until = *elapsed + time;
        while *elapsed < until {
            *elapsed += STEP;
            self.now = self.now + STEP;
            if elapsed.as_millis().is_multiple_of(END_INTERVAL.as_millis()) {
                self.end_other_server();
            }
            if elapsed
                .as_millis()
                .is_multiple_of(NEWS_INTERVAL.as_millis())
            {
                self.tell_news();
            }
            if elapsed.as_millis().is_multiple_of(ROUND.as_millis()) {
                self.run_round();
            }
        }
    }

    fn unaware(&self) -> usize {
        let standing = |q: &Quarantine| q.standing(self.now, POISON);
        let unaware = |q: &Quarantine| !matches!(standing(q), Standing::Quarantined(_));
        let reached = (0..self.gateways.len()).filter(|g| !self.lost.contains(g));
        reached.filter(|g| unaware(&self.gateways[*g])).count()
    }
}

/// Three servers end under a content, each at another gateway, while others end.
fn check_scattered_ends(gateways: usize, lost: &[usize]) {
    for seed in 0..3 {
        let mut simulation = Simulation::new(gateways, seed);
        simulation.lost = lost.to_vec();
        let mut elapsed = Duration::ZERO;
        simulation.run(&mut elapsed, Duration::from_secs(3));
        for end in 0..3 {
            let gateway = (end + 1) * gateways / 4;
            simulation.strike(gateway, POISON, format!("process-{end}"));
            simulation.run(&mut elapsed, Duration::from_millis(700));
        }
        simulation.run(&mut elapsed, CONTACT_TIME - Duration::from_millis(700));
        let unaware = simulation.unaware();
        assert_eq!(unaware, 0, "seed {seed}: of {gateways} gateways");
        // No gateway sends more than one message to each other one for what the end of a server cut off.
        assert!(simulation.most_messages < gateways * gateways);
    }
}

/// Guards against ends of which each gateway has seen one, and whose strikes aren't passed on.
#[test]
fn spread_scattered_ends_few_gateways() {
    check_scattered_ends(4, &[]);
}

/// Guards against the same with many gateways, among which a request hardly comes to one twice.
#[test]
fn spread_scattered_ends_many_gateways() {
    check_scattered_ends(60, &[]);
}

/// Guards against relying on gateways that get no messages but count as alive.
#[test]
fn spread_scattered_ends_lost_gateways() {
    check_scattered_ends(60, &[2, 3, 5, 8, 21, 34]);
}
