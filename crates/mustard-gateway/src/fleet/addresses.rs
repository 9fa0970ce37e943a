//! Which of the processes whose rows name one address is there.
//!
//! A server that is lost for good stays listed for some seconds, and another one may start at its address
//! meanwhile. After a power loss the rows of the former processes have the addresses of the present ones.

use std::net::SocketAddr;

use mustard_core::clock::Moment;

use super::{Fleet, ServerKey};

impl Fleet {
    /// Records that the process of a server is the one that answers at its address.
    pub fn record_present(&mut self, key: ServerKey) {
        let Some(addr) = self.get(key).map(|s| s.entry.addr) else {
            return;
        };
        for other in self.addrs.get(&addr).into_iter().flatten() {
            if let Some(server) = self.servers.get_mut(*other) {
                server.is_replaced = *other != key;
            }
        }
    }

    /// Records that another process than that of a server answers at its address.
    pub fn record_replaced(&mut self, now: Moment, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.is_replaced = true;
            server.silent_since.get_or_insert(now);
        }
    }

    /// Tells whether the rows of several processes name an address.
    pub(super) fn is_shared(&self, addr: SocketAddr) -> bool {
        self.addrs.get(&addr).is_some_and(|keys| keys.len() > 1)
    }

    /// Returns the process with an address that started at a given time.
    pub(super) fn started_at(&self, addr: SocketAddr, started_ms: u64) -> Option<ServerKey> {
        let keys = self.addrs.get(&addr)?.iter().copied();
        let mut started = keys.filter(|key| {
            let server = self.get(*key);
            server.is_some_and(|s| s.entry.started_ms == started_ms)
        });
        started.next()
    }

    /// Adds a process whose row names an address.
    pub(super) fn add_address(&mut self, addr: SocketAddr, key: ServerKey) {
        self.addrs.entry(addr).or_default().push(key);
        self.presume_latest(addr);
    }

    /// Removes a process whose row named an address. If it was the one that is there, another one is presumed
    /// to be.
    pub(super) fn remove_address(&mut self, addr: SocketAddr, key: ServerKey) {
        let Some(keys) = self.addrs.get_mut(&addr) else {
            return;
        };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.addrs.remove(&addr);
            return;
        }
        let mut left = keys.iter().filter_map(|key| self.servers.get(*key));
        if left.all(|s| s.is_replaced) {
            self.presume_latest(addr);
        }
    }

    /// Presumes that the process that started last is the one at an address; of several that started at the same
    /// time, the one whose row was read last.
    fn presume_latest(&mut self, addr: SocketAddr) {
        let keys = self.addrs.get(&addr).into_iter().flatten().copied();
        let started = |key: &ServerKey| self.get(*key).map(|s| s.entry.started_ms);
        if let Some(latest) = keys.max_by_key(started) {
            self.record_present(latest);
        }
    }
}
