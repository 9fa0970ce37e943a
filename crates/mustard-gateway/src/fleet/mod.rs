//! The servers as one gateway sees them.

mod load;
mod server;

pub use load::{Load, Share};
pub use server::{Server, ServerKey};

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustard_core::arena::Arena;
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::deployment::{Engine, Life, Report, ServerEntry};
use mustard_policy::pipeline::{Holder, Site};
use mustard_policy::suspicion::Fault;

/// How long a row that vanished while the store was in trouble may take to come back.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Which servers are taken for there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Those in the list.
    Listed,
    /// Also those whose rows vanished while the store was in trouble.
    Missing,
}

/// What a row of the list changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The server is new here.
    Joined,
    /// It announced that it is leaving, or is gone.
    Left,
    /// What it holds changed.
    Holds,
    /// Nothing that matters.
    Same,
}

/// The servers by id and by address.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: Arena<Server>,
    ids: Map<String, ServerKey>,
    addrs: Map<SocketAddr, ServerKey>,
    domains: Vec<String>,
}

impl Fleet {
    /// Returns a server.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns a server for change.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the server that has an address.
    pub fn at(&self, addr: SocketAddr) -> Option<ServerKey> {
        self.addrs.get(&addr).copied()
    }

    /// Visits every server.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the index of a failure domain.
    pub fn domain(&mut self, name: &str) -> u32 {
        if let Some(i) = self.domains.iter().position(|d| d == name) {
            return i as u32;
        }
        self.domains.push(name.to_owned());
        (self.domains.len() - 1) as u32
    }

    /// Takes in a row of the list.
    pub fn upsert(&mut self, now: Moment, entry: ServerEntry) -> Turn {
        let domain = self.domain(&entry.domain);
        if let Some(server) = self
            .ids
            .get(&entry.id)
            .and_then(|k| self.servers.get_mut(*k))
        {
            return server.update(now, entry);
        }
        let leaving = entry.life == Life::Leaving;
        let (id, addr) = (entry.id.clone(), entry.addr);
        let key = self.servers.insert(Server::new(now, entry, domain));
        self.ids.insert(id, key);
        // An address is used again by another server once its owner has ended.
        self.addrs.insert(addr, key);
        if leaving { Turn::Left } else { Turn::Joined }
    }

    /// Takes in that a row is gone; `unsure` if the store was in trouble just before.
    pub fn remove(&mut self, now: Moment, id: &str, unsure: bool) -> Turn {
        let Some(&key) = self.ids.get(id) else {
            return Turn::Same;
        };
        if unsure {
            if let Some(server) = self.servers.get_mut(key) {
                server.missing.get_or_insert(now);
            }
            return Turn::Same;
        }
        self.forget(key);
        Turn::Left
    }

    /// Removes servers whose rows have not come back in time; returns how many.
    pub fn expire(&mut self, now: Moment) -> usize {
        let lost = |s: &Server| s.missing.is_some_and(|m| now.since(m) >= RETURN_TIME);
        let gone: Vec<ServerKey> = self
            .iter()
            .filter(|(_, s)| lost(s))
            .map(|(k, _)| k)
            .collect();
        for key in &gone {
            self.forget(*key);
        }
        gone.len()
    }

    /// Marks every server that a whole reading of the list didn't name.
    pub fn retain(&mut self, now: Moment, listed: &[String], unsure: bool) -> usize {
        let unlisted = |id: &&String| !listed.contains(id);
        let missing: Vec<String> = self.ids.keys().filter(unlisted).cloned().collect();
        let mut left = 0;
        for id in missing {
            left += usize::from(self.remove(now, &id, unsure) == Turn::Left);
        }
        left
    }

    fn forget(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.remove(key) {
            self.ids.remove(&server.entry.id);
            if self.addrs.get(&server.entry.addr) == Some(&key) {
                self.addrs.remove(&server.entry.addr);
            }
        }
    }

    /// Takes in a fault of the server at an address; tells whether it was in use.
    pub fn fail(&mut self, now: Moment, addr: SocketAddr, fault: Fault) -> bool {
        let key = self.at(addr);
        let Some(server) = key.and_then(|k| self.servers.get_mut(k)) else {
            return false;
        };
        let used = !server.suspicion.is_out(now);
        server.suspicion.fail(now, fault);
        used && server.suspicion.is_out(now)
    }

    /// Takes in a report of the server at an address.
    pub fn report(&mut self, now: Moment, addr: SocketAddr, report: Rc<Report>) {
        let key = self.at(addr);
        if let Some(server) = key.and_then(|k| self.servers.get_mut(k)) {
            server.take_report(now, report);
        }
    }

    /// Takes in that the server at an address gave no sign of life; tells whether that is news.
    pub fn silent(&mut self, now: Moment, addr: SocketAddr) -> bool {
        let key = self.at(addr);
        let Some(server) = key.and_then(|k| self.servers.get_mut(k)) else {
            return false;
        };
        let news = server.silent.is_none();
        server.silent.get_or_insert(now);
        server.suspicion.fail(now, Fault::Silent);
        news
    }

    /// Tells whether a server carries out an order.
    pub fn is_loading(&self, now: Moment) -> bool {
        self.iter().any(|(_, s)| s.is_loading(now))
    }

    /// Returns the servers that gave no sign of life when they were last asked.
    pub fn silent_ones(&self) -> Vec<SocketAddr> {
        let silent = self.iter().filter(|(_, s)| s.silent.is_some());
        silent.map(|(_, s)| s.entry.addr).collect()
    }

    /// Returns what the server at an address answered within a time.
    pub fn fresh_report(&self, addr: SocketAddr, since: Moment) -> Option<Rc<Report>> {
        let (at, report) = self.servers.get(self.at(addr)?)?.reported.as_ref()?;
        (*at >= since).then(|| Rc::clone(report))
    }

    /// Returns the servers of a service that requests may cross.
    ///
    /// `gateways` is the number of processes that send requests as this one does.
    pub fn holders(
        &self,
        service: &str,
        engine: &Engine,
        now: Moment,
        gateways: f64,
        trust: Trust,
    ) -> Vec<Holder> {
        let usable = |s: &Server| match trust {
            Trust::Listed => s.is_usable(now),
            Trust::Missing => s.is_last_resort(now),
        };
        let usable = self
            .iter()
            .filter(|(_, s)| s.entry.service == service && usable(s));
        usable
            .filter_map(|(_, s)| s.holder(engine, now, gateways))
            .collect()
    }

    /// Returns the servers of a service as the placement sees them, with their keys.
    pub fn sites(&self, service: &str, engine: &Engine, now: Moment) -> Vec<(ServerKey, Site)> {
        let listed = self.iter().filter(|(_, s)| s.entry.service == service);
        let sites = listed.enumerate();
        sites
            .filter_map(|(i, (key, s))| Some((key, s.site(i, engine, now)?)))
            .collect()
    }
}
