//! The backend servers as this gateway knows them, from the server list, reports and failures.

mod addresses;
mod held_rows;
mod load;
mod outliers;
mod reports;
mod server;

pub use addresses::Presence;
pub use held_rows::HeldQuestion;
pub use load::{LoadGuard, ServerLoad};
pub use mustard_core::deployment::ServerKey;
pub use reports::{ProcessLoad, ProcessReport};
pub use server::{ProcessState, RequestRoom, Server, ServerProcess};

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mustard_core::arena::Arena;
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::deployment::{Engine, ServerEntry, ServerProcessMark, ServerReport, ServerState};
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::backoff::Fault;
use mustard_policy::outlier::Outliers;
use mustard_policy::pipeline::{LayerHolder, PlacementServer};

use crate::metric;

use addresses::{NamedServices, Occupants};
use held_rows::HeldRow;

/// How long a server whose row vanished while the store was unstable is kept; the store is unstable
/// during an outage and shortly after it.
const MISSING_ROW_GRACE: Duration = Duration::from_millis(2_200);

/// How long a removed server process is remembered; it ends within seconds of its removal, and its
/// row in an older copy of the list is some seconds old at most.
const DEPARTED_TIME: Duration = Duration::from_secs(60);

/// Which servers a path may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFilter {
    /// Servers in the list.
    Listed,
    /// Also servers whose rows vanished while the store was unstable.
    IncludeMissing,
    /// Also ejected servers, which are never the last ones of a layer or service to be taken out of use.
    LastResort,
    /// Listed servers that are there, whether or not they are to get requests now.
    Present,
}

/// What a row of the server list changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// The server is new or has restarted.
    Joined,
    /// It announced that it is leaving, or its row was removed.
    Left,
    /// The layers that it holds changed.
    Holds,
    /// The row contradicts what is known of the server, and isn't applied for now.
    Held,
    /// None of these changed.
    Same,
}

/// The known servers, found by key or id.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: Arena<Server, ServerProcessMark>,
    ids: Map<String, ServerKey>,
    /// The processes whose rows name an address.
    addrs: Map<SocketAddr, Occupants>,
    /// The services that the configuration names.
    named: NamedServices,
    /// Whether a question about an address is to be asked at once.
    has_urgent: bool,
    /// The rows that contradict what is known of their servers, by id.
    held_rows: Map<String, HeldRow>,
    /// The servers whose load is exchanged, by the digests of their processes.
    processes: Map<u64, ServerKey>,
    domains: Vec<String>,
    /// The processes that were removed lately, by their digests.
    departed: Map<u64, Departed>,
    /// The outcomes of attempts at the servers of each service, by its name.
    outliers: Map<String, Outliers<ServerKey>>,
}

/// A server process that was removed from the list.
#[derive(Clone, Copy, Debug)]
struct Departed {
    /// Whether it had announced that it is leaving, after which it never becomes ready again.
    has_announced: bool,
    addr: SocketAddr,
    /// Until when it wants nothing from this gateway.
    paused_until: Moment,
    at: Moment,
}

/// Returns a digest of a process, by which gateways tell each other of it.
fn process_digest(id: &str, started_ms: u64) -> u64 {
    Fingerprint::of(&[id.as_bytes(), &started_ms.to_le_bytes()]).0 as u64
}

impl Fleet {
    /// Returns a server.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns a server, to be changed.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the process that another gateway names by the id of its server and its start; `None` if this
    /// gateway doesn't know it, or knows another process of that server.
    pub fn find_process(&self, id: &str, started_ms: u64) -> Option<ServerKey> {
        let key = *self.ids.get(id)?;
        let server = self.get(key)?;
        (server.entry.started_ms == started_ms).then_some(key)
    }

    /// Returns the servers that name a limit, with their ids.
    pub fn limited_servers(&self, now: Moment) -> Vec<(ServerKey, String)> {
        let limited = |s: &Server| s.named_limit.is_some_and(|n| n.in_force(now).is_some());
        let servers = self.iter().filter(|(_, s)| limited(s));
        servers.map(|(k, s)| (k, s.entry.id.clone())).collect()
    }

    /// Counts a request that is sent to a server against the limit that it names.
    pub fn take_request(&mut self, now: Moment, key: ServerKey) {
        let named = self.get_mut(key).and_then(|s| s.named_limit.as_mut());
        if let Some(share) = named.and_then(|n| n.share.as_mut()) {
            share.take(now);
        }
    }

    /// Returns the shortest time until a server of a service takes a request again, as far as that
    /// depends on the limits that servers name; `None` if that doesn't keep any of them from it.
    pub fn limit_wait(&self, service: &str, now: Moment) -> Option<Duration> {
        let waits = self.usable(service, now).filter_map(|s| s.limit_wait(now));
        waits.filter(|w| !w.is_zero()).min()
    }

    /// Tells whether the limits that they name keep all usable servers of a service from a request now.
    pub fn is_limited(&self, service: &str, now: Moment) -> bool {
        let mut usable = self.usable(service, now).peekable();
        usable.peek().is_some() && !usable.any(|s| s.takes_requests(now))
    }

    fn usable(&self, service: &str, now: Moment) -> impl Iterator<Item = &Server> {
        let servers = self.iter().map(|(_, s)| s);
        servers.filter(move |s| s.entry.service == service && s.is_usable(now))
    }

    /// Returns the server with an id.
    pub fn key_of(&self, id: &str) -> Option<ServerKey> {
        self.ids.get(id).copied()
    }

    /// Formats a server for the log: its address, or its key if it is no longer listed.
    pub fn format_server(&self, key: ServerKey) -> String {
        let addr = self.get(key).map(|s| s.entry.addr.to_string());
        addr.unwrap_or_else(|| format!("{key:?}"))
    }

    /// Returns the process of a server.
    pub fn process(&self, key: ServerKey) -> Option<ServerProcess> {
        self.get(key).map(|s| s.process(key))
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the index of a failure domain; adds the domain if it is new.
    pub fn domain_index(&mut self, name: &str) -> u32 {
        if let Some(i) = self.domains.iter().position(|d| d == name) {
            return i as u32;
        }
        self.domains.push(name.to_owned());
        (self.domains.len() - 1) as u32
    }

    /// Returns the name of a failure domain; empty if there is none with that index.
    pub fn domain_name(&self, index: u32) -> &str {
        self.domains.get(index as usize).map_or("", String::as_str)
    }

    /// Returns the number of failure domains that servers or this gateway are in.
    pub fn domain_count(&self) -> usize {
        self.domains.len()
    }

    /// Applies a row of the server list.
    ///
    /// `unconfirmed_until` is set for a row of a restored list, which may be that of a server that
    /// has left since the copy was made. A server that was removed and comes back by such a row isn't
    /// used before then, unless its row is written again.
    pub fn upsert(
        &mut self,
        now: Moment,
        mut entry: ServerEntry,
        unconfirmed_until: Option<Moment>,
    ) -> RowChange {
        let domain = self.domain_index(&entry.domain);
        let id = entry.id.clone();
        if let Some(key) = self.key_of(&id) {
            if let Some(server) = self.servers.get_mut(key) {
                if server.is_process_of(&entry) {
                    let change = server.update(now, entry, unconfirmed_until.is_none());
                    self.held_rows.remove(&id);
                    self.record_row(now, key);
                    return change;
                }
                // The row of the process before.
                if server.is_unlisted && entry.started_ms < server.entry.started_ms {
                    return RowChange::Same;
                }
            }
            if self.hold_row(now, key, &entry) {
                return RowChange::Held;
            }
            // What is known of the former process doesn't hold for the one in its place.
            self.remove_key(now, key);
        }
        self.held_rows.remove(&id);
        let digest = process_digest(&id, entry.started_ms);
        let departed = self.departed.remove(&digest);
        let has_announced = departed.is_some_and(|d| d.has_announced);
        if has_announced {
            entry.state = ServerState::Leaving;
        }
        let leaving = entry.state == ServerState::Leaving;
        let addr = entry.addr;
        let mut server = Server::new(now, entry, domain);
        server.left_at_row = server.left_at_row.filter(|_| !has_announced);
        server.unconfirmed_until = unconfirmed_until.filter(|_| departed.is_some());
        if let Some(departed) = departed.filter(|d| d.addr == addr) {
            server.paused_until = departed.paused_until;
        }
        let key = self.servers.insert(server);
        self.ids.insert(id, key);
        self.add_address(now, addr, key);
        if leaving {
            RowChange::Left
        } else {
            RowChange::Joined
        }
    }

    /// Removes a server whose row is gone; while `store_unstable`, only marks its row as missing.
    pub fn remove(&mut self, now: Moment, id: &str, store_unstable: bool) -> RowChange {
        let Some(&key) = self.ids.get(id) else {
            return RowChange::Same;
        };
        if store_unstable {
            if let Some(server) = self.servers.get_mut(key) {
                server.missing_since.get_or_insert(now);
            }
            return RowChange::Same;
        }
        self.remove_key(now, key);
        RowChange::Left
    }

    /// Removes servers whose rows were missing for too long; returns how many.
    pub fn expire_missing(&mut self, now: Moment) -> usize {
        let overdue = |s: &Server| {
            s.missing_since
                .is_some_and(|m| now.since(m) >= MISSING_ROW_GRACE)
        };
        let expired: Vec<ServerKey> = self
            .iter()
            .filter(|(_, s)| overdue(s))
            .map(|(k, _)| k)
            .collect();
        for key in &expired {
            self.remove_key(now, *key);
        }
        expired.len()
    }

    /// Calls [`Fleet::remove`] for each server that isn't `listed`; returns how many were removed.
    pub fn retain_listed(&mut self, now: Moment, listed: &[String], store_unstable: bool) -> usize {
        let unlisted = |id: &&String| !listed.contains(id);
        let missing: Vec<String> = self.ids.keys().filter(unlisted).cloned().collect();
        let mut removed = 0;
        for id in missing {
            removed += usize::from(self.remove(now, &id, store_unstable) == RowChange::Left);
        }
        removed
    }

    fn remove_key(&mut self, now: Moment, key: ServerKey) {
        if let Some(server) = self.servers.remove(key) {
            self.departed.retain(|_, d| now.since(d.at) < DEPARTED_TIME);
            let departed = Departed {
                has_announced: server.entry.state == ServerState::Leaving,
                addr: server.entry.addr,
                paused_until: server.paused_until,
                at: now,
            };
            self.departed.insert(server.process_digest(), departed);
            self.ids.remove(&server.entry.id);
            self.held_rows.remove(&server.entry.id);
            self.remove_address(now, server.entry.addr, key);
            self.forget_outcomes(key);
        }
    }

    /// Records a fault of a server; returns whether the fault put the server out of
    /// use.
    pub fn record_fault(&mut self, now: Moment, key: ServerKey, fault: Fault) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let was_used = !server.backoff.is_backing_off(now);
        server.backoff.record_fault(now, fault);
        let is_newly_unused = was_used && server.backoff.is_backing_off(now);
        if matches!(fault, Fault::Silent | Fault::Broken) {
            self.record_doubt(now, key);
        }
        is_newly_unused
    }

    /// Records how long an answer of a server took, at least if it was cancelled.
    pub fn record_answer(&mut self, now: Moment, key: ServerKey, took: Duration) {
        if let Some(server) = self.servers.get_mut(key) {
            server.answer_time.record(now, took);
        }
    }

    /// Records that a server refused a request, or is named as the cause of a refusal.
    pub fn record_refusal(&mut self, now: Moment, key: ServerKey) {
        self.record_fault(now, key, Fault::Full);
        if let Some(server) = self.servers.get_mut(key) {
            server.refused_at = Some(now);
            // Neither a pause nor a limit that the server names is a lack of memory.
            let has_cause = server.is_paused(now) || !server.takes_requests(now);
            if !has_cause {
                server.room.record_full(now, server.memory_used);
                metric::count_room("reduced");
            }
        }
    }

    /// Records that servers accepted a request, with the memory that it takes at each.
    pub fn record_accepted(&mut self, parts: impl Iterator<Item = (ServerKey, f64)>) {
        for (key, memory) in parts {
            if let Some(server) = self.servers.get_mut(key) {
                server.room.record_accepted(memory);
            }
        }
    }

    /// Records that servers run a request.
    pub fn record_use(&mut self, keys: impl Iterator<Item = ServerKey>) {
        for key in keys {
            if let Some(server) = self.servers.get_mut(key) {
                server.refused_at = None;
                server.refusals.record_use();
            }
        }
    }

    /// Records a report that a server was asked for, and returns the process that made it: another one whose row
    /// names the same address may have answered. `None` if no row names it, or the server is no longer listed.
    pub fn record_report(
        &mut self,
        now: Moment,
        key: ServerKey,
        report: Rc<ServerReport>,
    ) -> Option<ServerKey> {
        let asked = self.get(key)?;
        // A report that doesn't say when its process started can't be told from that of the server.
        let is_own = [0, asked.entry.started_ms].contains(&report.started_ms);
        let sender = if is_own {
            Some(key)
        } else {
            self.started_at(asked.entry.addr, report.started_ms)
        };
        let Some(sender) = sender else {
            self.record_replaced(now, key);
            return None;
        };
        self.record_present(now, sender);
        if let Some(server) = self.servers.get_mut(sender) {
            server.apply_report(now, report);
        }
        Some(sender)
    }

    /// Records that a server has restarted under its id, as its report and its health check say before its row
    /// does.
    pub fn record_restart(
        &mut self,
        now: Moment,
        former: &ServerProcess,
        report: &Rc<ServerReport>,
    ) {
        let Some(server) = self.get(former.key) else {
            return;
        };
        let entry = ServerEntry {
            started_ms: report.started_ms,
            state: ServerState::Ready,
            held: report.held,
            ..server.entry.clone()
        };
        self.upsert(now, entry, None);
        if let Some(key) = self.key_of(&former.id) {
            if let Some(server) = self.servers.get_mut(key) {
                server.is_unlisted = true;
            }
            self.record_report(now, key, Rc::clone(report));
        }
    }

    /// Returns the processes of the servers on a path; those that are no longer listed are left out.
    pub fn processes(&self, keys: impl Iterator<Item = ServerKey>) -> Vec<ServerProcess> {
        keys.filter_map(|key| self.process(key)).collect()
    }

    /// Returns what is known of a process at or after `since`.
    pub fn process_state(&self, process: &ServerProcess, since: Moment) -> ProcessState {
        // Its row may have gone and come back.
        let listed = self.get(process.key).or_else(|| {
            let key = self.find_process(&process.id, process.started_ms)?;
            self.get(key)
        });
        if let Some(server) = listed {
            return server.process_state(since);
        }
        let digest = process_digest(&process.id, process.started_ms);
        let departed = self.departed.get(&digest);
        if departed.is_some_and(|d| d.has_announced) {
            ProcessState::Running
        } else {
            ProcessState::Ended
        }
    }

    /// Records that nothing listens at the address of a server.
    pub fn record_no_listener(&mut self, now: Moment, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.has_no_listener = true;
            self.record_doubt(now, key);
        }
    }

    /// Records that a server announced in an answer that it is leaving; tells whether this is new.
    pub fn record_leaving(&mut self, process: &ServerProcess) -> bool {
        let digest = process_digest(&process.id, process.started_ms);
        if let Some(departed) = self.departed.get_mut(&digest) {
            departed.has_announced = true;
        }
        let Some(server) = self.servers.get_mut(process.key) else {
            return false;
        };
        let is_new = server.is_ready();
        server.entry.state = ServerState::Leaving;
        server.left_at_row = None;
        is_new
    }

    /// Records that a server wants nothing from this gateway for a time.
    pub fn record_pause(&mut self, now: Moment, key: ServerKey, pause: Duration) {
        if let Some(server) = self.servers.get_mut(key) {
            server.paused_until = server.paused_until.max(now + pause);
        }
    }

    /// Tells whether a server wants nothing from this gateway now.
    pub fn is_paused(&self, now: Moment, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|s| s.is_paused(now))
    }

    /// Returns when the first of the servers of a service that want nothing now may be used again;
    /// none if no server of the service is paused.
    pub fn pause_end(&self, service: &str, now: Moment) -> Option<Moment> {
        let paused = self
            .iter()
            .map(|(_, s)| s)
            .filter(|s| s.entry.service == service && s.is_ready() && s.is_paused(now));
        paused.map(|s| s.paused_until).min()
    }

    /// Records that a server didn't answer; tells whether this is new.
    pub fn record_silence(&mut self, now: Moment, key: ServerKey) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let newly_silent = server.silent_since.is_none();
        server.silent_since.get_or_insert(now);
        server.backoff.record_fault(now, Fault::Silent);
        self.record_doubt(now, key);
        newly_silent
    }

    /// Tells whether a server didn't answer the last call.
    pub fn is_silent(&self, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|s| s.silent_since.is_some())
    }

    /// Returns the servers that probably answer calls for reports, without one of them.
    pub fn answering_servers(&self, now: Moment, without: ServerKey) -> Vec<ServerKey> {
        let others = self.iter().filter(|(key, s)| {
            *key != without
                && s.entry.held.is_some()
                && self.named.allows(&s.entry)
                && s.silent_since.is_none()
                && !s.presence.is_away()
                && !s.is_paused(now)
        });
        others.map(|(key, _)| key).collect()
    }

    /// Tells whether any server is loading layers.
    pub fn is_loading(&self, now: Moment) -> bool {
        self.iter().any(|(_, s)| s.is_loading(now))
    }

    /// Returns the servers that didn't answer the last call and may be called.
    pub fn silent_servers(&self, now: Moment) -> Vec<ServerKey> {
        let is_gone = |s: &Server| s.presence.is_away() && self.is_shared(s.entry.addr);
        let silent = self
            .iter()
            .filter(|(_, s)| s.silent_since.is_some() && !is_gone(s) && !s.is_paused(now));
        silent.map(|(key, _)| key).collect()
    }

    /// Returns the last report of a server if it is not older than `since`.
    pub fn fresh_report(&self, key: ServerKey, since: Moment) -> Option<Rc<ServerReport>> {
        let (at, report) = self.servers.get(key)?.last_report.as_ref()?;
        (*at >= since).then(|| Rc::clone(report))
    }

    /// Returns the servers of a service that a path may use.
    ///
    /// `gateways` is the number of gateways; each is assumed to send as many requests as this one.
    pub fn holders(
        &self,
        service: &str,
        engine: &Engine,
        now: Moment,
        gateways: f64,
        filter: ServerFilter,
    ) -> Vec<LayerHolder> {
        self.holders_with_room(service, engine, now, gateways, filter, None)
    }

    /// Returns the servers of a service that a path may use, without those whose window has no room for
    /// the request.
    pub fn holders_with_room(
        &self,
        service: &str,
        engine: &Engine,
        now: Moment,
        gateways: f64,
        filter: ServerFilter,
        room: Option<RequestRoom>,
    ) -> Vec<LayerHolder> {
        let admits = |s: &Server| room.is_none_or(|r| s.admits(engine, now, gateways, r));
        let usable = |s: &Server| match filter {
            ServerFilter::Listed => s.is_usable(now),
            ServerFilter::IncludeMissing => s.is_last_resort(now) && s.standing.takes_requests(now),
            ServerFilter::LastResort => s.is_last_resort(now),
            ServerFilter::Present => s.is_present(now),
        };
        let usable = self
            .iter()
            .filter(|(_, s)| s.entry.service == service && usable(s));
        usable
            .filter(|(_, s)| admits(s))
            .filter_map(|(key, s)| s.holder(key, engine, now, gateways))
            .collect()
    }

    /// Returns the servers of a service as input for the planner, with their keys.
    pub fn placement_servers(
        &self,
        service: &str,
        engine: &Engine,
        now: Moment,
    ) -> Vec<(ServerKey, PlacementServer)> {
        let listed = self.iter().filter(|(_, s)| s.entry.service == service);
        let numbered = listed.enumerate();
        numbered
            .filter_map(|(i, (key, s))| Some((key, s.placement_server(i, engine, now)?)))
            .collect()
    }
}
