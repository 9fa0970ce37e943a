//! The standing of servers by the outcomes of attempts, kept for each service.

use std::net::SocketAddr;

use mustard_core::clock::Moment;
use mustard_policy::outlier::{
    Change, Context, Decision, FailedAttempt, Outliers, Report, Standing,
};

use super::{Fleet, ServerKey, ServerProcess};

impl Fleet {
    /// Records that a request is sent to servers; it is the trial of those that were ejected.
    pub fn begin_trials(&mut self, now: Moment, keys: impl Iterator<Item = ServerKey>) {
        for key in keys {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            if server.standing == Standing::InUse {
                continue;
            }
            let outliers = self.outliers.get_mut(&server.entry.service);
            if let Some(standing) = outliers.and_then(|o| o.record_send(now, key)) {
                server.standing = standing;
            }
        }
    }

    /// Records an attempt at servers of a service that went well so far; it was sent at `began`.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        began: Moment,
        service: &str,
        keys: impl Iterator<Item = ServerKey>,
    ) -> Vec<Change<ServerKey>> {
        let path = self.listed(keys);
        let changes = self.outliers_of(service).record_success(now, began, &path);
        self.apply_standings(&changes);
        changes
    }

    /// Records a failed attempt at servers of a service.
    pub fn record_failed_attempt(
        &mut self,
        now: Moment,
        service: &str,
        attempt: &FailedAttempt<'_, ServerKey>,
        spread: f64,
    ) -> Decision<ServerKey> {
        let path = self.listed(attempt.path.iter().copied());
        // The first server is the one that some failures identify.
        if path.len() != attempt.path.len() {
            return Decision::default();
        }
        let attempt = FailedAttempt {
            path: &path,
            began: attempt.began,
            content: attempt.content,
            failure: attempt.failure,
            lateness: attempt.lateness,
        };
        let context = self.outlier_context(service, spread);
        let decision = self
            .outliers_of(service)
            .record_failure(now, &attempt, context);
        self.apply_standings(&decision.changes);
        decision
    }

    /// Records what another gateway has told about a server process; ignores one that isn't known.
    pub fn record_outlier_report(
        &mut self,
        now: Moment,
        from: SocketAddr,
        (id, started_ms): (&str, u64),
        report: Report,
        spread: f64,
    ) -> Option<Change<ServerKey>> {
        let key = self.find_process(id, started_ms)?;
        let service = self.get(key)?.entry.service.clone();
        let context = self.outlier_context(&service, spread);
        let outliers = self.outliers_of(&service);
        let change = outliers.record_report(now, from, key, report, context)?;
        self.apply_standings(&[change]);
        Some(change)
    }

    /// Returns the reports about servers that the regular exchange carries.
    pub fn outlier_reports(&self, now: Moment) -> Vec<(ServerProcess, Report)> {
        let reports = self.outliers.values();
        let reports = reports.flat_map(|o| o.reports_in_force(now));
        let with_process = reports.filter_map(|(key, r)| Some((self.process(key)?, r)));
        with_process.collect()
    }

    /// Returns the number of servers that are ejected or haven't passed their trial.
    pub fn ejected_count(&self) -> usize {
        self.outliers.values().map(Outliers::ejected_count).sum()
    }

    /// Tells whether any of the servers doesn't answer calls, which explains a failed attempt.
    pub fn has_silent(&self, keys: &[ServerKey]) -> bool {
        keys.iter().any(|key| self.is_silent(*key))
    }

    /// Drops what is known of a server whose process has ended.
    pub(super) fn forget_outcomes(&mut self, key: ServerKey) {
        for outliers in self.outliers.values_mut() {
            outliers.forget(key);
        }
    }

    /// Returns the servers among some that are still listed.
    fn listed(&self, keys: impl Iterator<Item = ServerKey>) -> Vec<ServerKey> {
        keys.filter(|key| self.get(*key).is_some()).collect()
    }

    fn outliers_of(&mut self, service: &str) -> &mut Outliers<ServerKey> {
        if !self.outliers.contains_key(service) {
            self.outliers
                .insert(service.to_owned(), Outliers::default());
        }
        self.outliers
            .get_mut(service)
            .expect("it was inserted above")
    }

    fn outlier_context(&self, service: &str, spread: f64) -> Context {
        let servers = self.iter().map(|(_, s)| s);
        let servers = servers.filter(|s| s.entry.service == service && s.is_ready());
        Context {
            servers: servers.count(),
            spread,
        }
    }

    fn apply_standings(&mut self, changes: &[Change<ServerKey>]) {
        for change in changes {
            if let Some(server) = self.servers.get_mut(change.server) {
                server.standing = change.standing;
            }
        }
    }
}
