//! Which of the processes whose rows name one address is there.
//!
//! A server that is lost for good stays listed for some seconds, and another one may start at its address
//! meanwhile. After a power loss the rows of the former processes have the addresses of the present ones, and other
//! writers may write rows with the address of any server. So a row alone never takes a process out of use that has
//! answered lately: what answers at the address settles which process is there. Until then the one that answered
//! last is presumed to be there, or else the one that seems to have started last.
//!
//! Rows of services that the configuration doesn't name don't count.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::deployment::{Config, ServerEntry};

use super::{Fleet, Server, ServerKey};

/// How long an answer of a process outweighs the row of another one.
const ANSWER_TIME: Duration = Duration::from_millis(2_500);
/// The time between two rounds of questions about the same address: the first one, and the longest after rounds
/// that settled nothing.
const FIRST_INTERVAL: Duration = Duration::from_secs(1);
const MAX_INTERVAL: Duration = Duration::from_secs(8);
/// The most processes that are asked in one round.
const MAX_ASKED: usize = 4;

/// Whether a process is the one at its address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// It is presumed to be there.
    #[default]
    Presumed,
    /// It answered at this moment, and nothing has spoken against it since.
    Answered(Moment),
    /// Another process is presumed to be there.
    Doubted,
    /// Another process answered there.
    Replaced,
}

impl Presence {
    /// Tells whether another process is there or presumed to be.
    pub fn is_away(self) -> bool {
        matches!(self, Presence::Doubted | Presence::Replaced)
    }

    /// Tells whether the process answered a short while ago.
    pub fn is_shown(self, now: Moment) -> bool {
        matches!(self, Presence::Answered(at) if now.since(at) < ANSWER_TIME)
    }
}

/// When something that isn't settled is asked about again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Question {
    due: Moment,
    interval: Duration,
}

impl Question {
    pub(super) fn new(now: Moment) -> Self {
        Question {
            due: now,
            interval: FIRST_INTERVAL,
        }
    }

    /// Returns whether it is time to ask; if so, the next time is later.
    pub(super) fn take_turn(&mut self, now: Moment) -> bool {
        if now < self.due {
            return false;
        }
        self.due = now + self.interval;
        self.interval = MAX_INTERVAL.min(self.interval * 2);
        true
    }
}

/// The processes whose rows name an address.
#[derive(Debug, Default)]
pub(super) struct Occupants {
    /// In the order in which the rows were read.
    keys: Vec<ServerKey>,
    /// Set while it isn't settled which of them is there.
    question: Option<Question>,
}

/// What rows a configuration allows for.
#[derive(Debug, Default)]
pub(super) struct NamedServices {
    /// Whether each service has an engine; `None` until a configuration is known.
    services: Option<Map<String, bool>>,
}

impl NamedServices {
    /// Returns whether a row is that of a server of a service in the configuration.
    pub(super) fn allows(&self, entry: &ServerEntry) -> bool {
        let Some(services) = &self.services else {
            return true;
        };
        let has_engine = services.get(&entry.service);
        has_engine.is_some_and(|engine| !engine || entry.accelerator.is_some())
    }
}

impl Fleet {
    /// Applies the services of a configuration: rows that named services which it newly names count from now on,
    /// and those of services that it no longer names don't.
    pub fn set_services(&mut self, now: Moment, config: &Config) {
        let services = config
            .services()
            .map(|s| (s.name.clone(), s.engine.is_some()));
        self.named.services = Some(services.collect());
        self.apply_held_rows(now);
        let shared = self.addrs.iter().filter(|(_, o)| o.keys.len() > 1);
        let shared: Vec<SocketAddr> = shared.map(|(addr, _)| *addr).collect();
        for addr in shared {
            if !self.is_settled(addr) {
                self.presume(now, addr);
            }
        }
    }

    /// Tells whether all processes at an address whose rows count are known to be replaced, except one.
    fn is_settled(&self, addr: SocketAddr) -> bool {
        let contenders = self.contenders(addr);
        let presences = contenders.iter().filter_map(|key| self.get(*key));
        let mut left = presences.filter(|s| s.presence != Presence::Replaced);
        left.next().is_some_and(|s| !s.presence.is_away()) && left.next().is_none()
    }

    /// Records that the process of a server answered at its address.
    pub fn record_present(&mut self, now: Moment, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.presence = Presence::Answered(now);
        let Some(occupants) = self.addrs.get_mut(&server.entry.addr) else {
            return;
        };
        occupants.question = None;
        for other in occupants.keys.iter().filter(|k| **k != key) {
            if let Some(server) = self.servers.get_mut(*other) {
                server.presence = Presence::Replaced;
            }
        }
    }

    /// Records that another process than that of a server answers at its address.
    pub fn record_replaced(&mut self, now: Moment, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.presence = Presence::Replaced;
        // Only servers that send reports are asked until they answer again.
        if server.entry.accelerator.is_some() {
            server.silent_since.get_or_insert(now);
        }
        let addr = server.entry.addr;
        if self.is_shared(addr) {
            self.presume_among(now, addr, |other| other != key);
        }
    }

    /// Records that a request which named a server was turned away as meant for another one. Where no other row
    /// names the address, the server's own row decides.
    pub fn record_misdirected(&mut self, now: Moment, key: ServerKey) {
        let addr = self.get(key).map(|s| s.entry.addr);
        if addr.is_some_and(|addr| self.is_shared(addr)) {
            self.record_replaced(now, key);
        }
    }

    /// Records that a server with an id answered at an address, where the process `asked` was expected.
    pub fn record_identity(&mut self, now: Moment, asked: ServerKey, id: &str) {
        let Some(addr) = self.get(asked).map(|s| s.entry.addr) else {
            return;
        };
        let keys = self.addrs.get(&addr).into_iter().flat_map(|o| &o.keys);
        let mut named = keys.filter(|key| self.get(**key).is_some_and(|s| s.entry.id == id));
        match named.next().copied() {
            Some(key) => self.record_present(now, key),
            None => self.record_replaced(now, asked),
        }
    }

    /// Records that a process didn't answer when it was asked who it is. If it answered something else meanwhile,
    /// it is only busy.
    pub fn record_no_answer(&mut self, now: Moment, key: ServerKey) {
        let is_shown = self.get(key).is_some_and(|s| s.presence.is_shown(now));
        if !is_shown {
            self.record_doubt(now, key);
        }
    }

    /// Records that something speaks against the presence of a process, such as a connection that it broke off.
    pub(super) fn record_doubt(&mut self, now: Moment, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if !matches!(server.presence, Presence::Answered(_)) {
            return;
        }
        server.presence = Presence::Presumed;
        let addr = server.entry.addr;
        if self.is_shared(addr) {
            self.presume(now, addr);
        }
    }

    /// Records that the row of a process was written again. If it counted as replaced, it may be back.
    pub(super) fn record_row(&mut self, now: Moment, key: ServerKey) {
        let Some(server) = self.get(key) else {
            return;
        };
        let addr = server.entry.addr;
        if server.presence != Presence::Replaced || self.is_shown(now, addr) {
            return;
        }
        self.open_question(now, addr);
    }

    /// Returns the processes that are to be asked which of them is at an address, by address. Each is a question
    /// that isn't settled.
    pub fn take_questions(&mut self, now: Moment) -> Vec<Vec<ServerKey>> {
        let mut due = Vec::new();
        // Without a configuration nobody can be asked.
        let addrs = self.addrs.iter_mut();
        for (addr, occupants) in addrs.filter(|_| self.named.services.is_some()) {
            if let Some(question) = &mut occupants.question
                && question.take_turn(now)
            {
                due.push(*addr);
            }
        }
        let asked = due.into_iter().map(|addr| {
            let mut keys = self.contenders(addr);
            keys.sort_by_key(|key| {
                let server = self.get(*key);
                let is_away = server.is_none_or(|s| s.presence.is_away());
                (is_away, Reverse(server.map(|s| s.entry.started_ms)))
            });
            keys.truncate(MAX_ASKED);
            keys
        });
        asked.collect()
    }

    /// Returns whether there are new questions that nothing answers which is known, so that requests may go to the wrong
    /// process until they are asked.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.has_urgent)
    }

    /// Tells whether it isn't settled which process is at the address of a server.
    pub fn is_unsettled(&self, key: ServerKey) -> bool {
        let addr = self.get(key).map(|s| s.entry.addr);
        let occupants = addr.and_then(|addr| self.addrs.get(&addr));
        occupants.is_some_and(|o| o.question.is_some())
    }

    /// Tells whether the rows of several processes name an address.
    pub(super) fn is_shared(&self, addr: SocketAddr) -> bool {
        self.contenders(addr).len() > 1
    }

    /// Returns the process with an address that started at a given time.
    pub(super) fn started_at(&self, addr: SocketAddr, started_ms: u64) -> Option<ServerKey> {
        let keys = self.addrs.get(&addr)?.keys.iter().copied();
        let mut started = keys.filter(|key| {
            let server = self.get(*key);
            server.is_some_and(|s| s.entry.started_ms == started_ms)
        });
        started.next()
    }

    /// Adds a process whose row names an address.
    pub(super) fn add_address(&mut self, now: Moment, addr: SocketAddr, key: ServerKey) {
        self.addrs.entry(addr).or_default().keys.push(key);
        if self.is_named(key) {
            self.presume(now, addr);
        }
    }

    /// Removes a process whose row named an address. If it was the one that is there, another one is presumed
    /// to be.
    pub(super) fn remove_address(&mut self, now: Moment, addr: SocketAddr, key: ServerKey) {
        let Some(occupants) = self.addrs.get_mut(&addr) else {
            return;
        };
        occupants.keys.retain(|other| *other != key);
        if occupants.keys.is_empty() {
            self.addrs.remove(&addr);
            return;
        }
        if occupants.keys.len() == 1 {
            occupants.question = None;
        }
        let left = self.contenders(addr);
        let mut left = left.iter().filter_map(|key| self.servers.get(*key));
        if left.all(|s| s.presence.is_away()) {
            self.presume(now, addr);
        }
    }

    /// Returns the processes at an address whose rows count.
    fn contenders(&self, addr: SocketAddr) -> Vec<ServerKey> {
        let keys = self.addrs.get(&addr).into_iter().flat_map(|o| &o.keys);
        keys.copied().filter(|key| self.is_named(*key)).collect()
    }

    fn is_named(&self, key: ServerKey) -> bool {
        self.get(key).is_some_and(|s| self.named.allows(&s.entry))
    }

    /// Tells whether any process at an address answered a short while ago.
    fn is_shown(&self, now: Moment, addr: SocketAddr) -> bool {
        let keys = self.addrs.get(&addr).into_iter().flat_map(|o| &o.keys);
        let mut servers = keys.filter_map(|key| self.get(*key));
        servers.any(|s| s.presence.is_shown(now))
    }

    /// Presumes which process is at an address: the one that answered a short while ago, or else the one that
    /// started last; of several that started at the same time, the one whose row was read last. One that was found
    /// to be replaced comes after all others.
    fn presume(&mut self, now: Moment, addr: SocketAddr) {
        self.presume_among(now, addr, |_| true);
    }

    /// Does so among the processes that may be there.
    fn presume_among(&mut self, now: Moment, addr: SocketAddr, may_be: impl Fn(ServerKey) -> bool) {
        let contenders = self.contenders(addr);
        let rank = |server: &Server| {
            let is_replaced = server.presence == Presence::Replaced;
            (!is_replaced, server.entry.started_ms)
        };
        let is_shown = self.is_shown(now, addr);
        let latest = contenders
            .iter()
            .copied()
            .filter(|key| !is_shown && may_be(*key))
            .max_by_key(|key| self.get(*key).map(rank));
        for key in &contenders {
            let Some(server) = self.servers.get_mut(*key) else {
                continue;
            };
            server.presence = match server.presence {
                Presence::Answered(at) if now.since(at) < ANSWER_TIME => Presence::Answered(at),
                Presence::Answered(at) if Some(*key) == latest => Presence::Answered(at),
                _ if Some(*key) == latest => Presence::Presumed,
                Presence::Replaced => Presence::Replaced,
                _ => Presence::Doubted,
            };
        }
        if contenders.len() > 1 {
            self.open_question(now, addr);
            // The answers of model servers come without requests.
            let is_plain = |key: &ServerKey| {
                let server = self.get(*key);
                server.is_some_and(|s| s.entry.accelerator.is_none())
            };
            self.has_urgent |= !is_shown && contenders.iter().any(is_plain);
        } else if let Some(occupants) = self.addrs.get_mut(&addr) {
            occupants.question = None;
        }
    }

    fn open_question(&mut self, now: Moment, addr: SocketAddr) {
        if let Some(occupants) = self.addrs.get_mut(&addr) {
            occupants.question.get_or_insert(Question::new(now));
        }
    }
}
