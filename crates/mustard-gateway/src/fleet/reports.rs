//! The load of servers as reports say, where gateways tell each other of it.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_policy::server_load::{
    Candidate, LoadReport, LoadTracker, is_assigned, reports_to_share,
};

use super::{Fleet, ServerKey};

/// The load of a server process, as its newest report says.
#[derive(Clone, Debug)]
pub struct ProcessLoad {
    /// The digest of the process.
    pub digest: u64,
    /// Whether this gateway rather than another one asks it for reports.
    pub is_assigned: bool,
    /// What is known of its load.
    pub tracker: LoadTracker,
}

/// A report with the digest of the server process that made it.
pub type ProcessReport = (u64, LoadReport);

impl Fleet {
    /// Exchanges the load of the servers of some services, and of no others. `own` and `others` are the digests
    /// of this gateway and of the other live ones.
    pub fn track_loads(&mut self, now: Moment, services: &[String], own: u64, others: &[u64]) {
        let keys: Vec<ServerKey> = self.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            if !services.contains(&server.entry.service) {
                server.load = None;
                continue;
            }
            if server.load.is_none() {
                let digest = server.process_digest();
                server.load = Some(ProcessLoad {
                    digest,
                    is_assigned: false,
                    tracker: LoadTracker::new(now, server.memory_used),
                });
                self.processes.insert(digest, key);
            }
            if let Some(load) = &mut server.load {
                load.is_assigned = is_assigned(load.digest, own, others);
            }
        }
        let servers = &self.servers;
        let digest_of = |key| Some(servers.get(key)?.load.as_ref()?.digest);
        self.processes
            .retain(|digest, key| digest_of(*key) == Some(*digest));
    }

    /// Returns the servers that may be asked for their load.
    pub fn load_candidates(&self, now: Moment) -> Vec<Candidate<ServerKey>> {
        let asked = self.iter().filter_map(|(key, server)| {
            let load = server.load.as_ref()?;
            let may_ask = server.is_ready()
                && !server.presence.is_away()
                && server.silent_since.is_none()
                && !server.is_paused(now);
            may_ask.then_some(Candidate {
                key,
                known_at: load.tracker.known_at(),
                is_assigned: load.is_assigned,
            })
        });
        asked.collect()
    }

    /// Returns the reports to be sent to another gateway.
    pub fn loads_to_share(&self, now: Moment, limit: usize) -> Vec<ProcessReport> {
        let reports = self.processes.iter().filter_map(|(digest, key)| {
            let load = self.servers.get(*key)?.load.as_ref()?;
            let report = load.tracker.recent_report(now)?;
            (load.digest == *digest).then_some((*digest, *report))
        });
        reports_to_share(now, reports, limit)
    }

    /// Returns the age of the oldest report by which some servers were judged; `None` if any of
    /// them has no recent report.
    pub fn load_age(&self, now: Moment, keys: impl Iterator<Item = ServerKey>) -> Option<Duration> {
        let ages = keys.map(|key| {
            let load = self.servers.get(key)?.load.as_ref()?;
            Some(now.since(load.tracker.recent_report(now)?.at))
        });
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Applies a report that another gateway passed on; tells whether it is the newest one of its server.
    pub fn apply_load(&mut self, now: Moment, report: &ProcessReport) -> bool {
        let (digest, report) = report;
        let key = self.processes.get(digest);
        let server = key.and_then(|key| self.servers.get_mut(*key));
        let Some(load) = server.and_then(|s| s.load.as_mut()) else {
            return false;
        };
        // The map may still hold a process from before the server's last restart.
        load.digest == *digest && load.tracker.apply_report(now, *report)
    }
}
