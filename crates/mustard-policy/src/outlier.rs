//! Ejection of servers whose requests fail while their own reports are good.
//!
//! A server that fails every request at once also has the lowest load, so that the choice of servers
//! prefers it. Its health checks and reports may be good nevertheless; only the outcomes of attempts
//! show the fault.
//!
//! Each gateway keeps the evidence against each server of a service: its own failed attempts and what
//! other gateways report. Evidence with the same content counts once, and a content that fails at more
//! than one server is taken for the cause instead. A server with enough evidence is ejected for a time
//! that doubles, and returns through a single request, its trial. One that is suspected by a single failure
//! gets one request at a time, so that a gateway without peers loses two requests and not those that it
//! would send while the second one fails.

use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;

/// The age up to which evidence counts.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(10);
/// The failures with distinct contents, each of which identifies the server, that eject it.
const CERTAIN_FAILURES: usize = 2;
/// The failures with distinct contents that eject a server if some of them don't identify it.
const MIN_FAILURES: usize = 3;
/// The failures that eject a server although each of their contents has failed at another server too. Two
/// servers at fault may get all requests one after the other, first attempt and retry.
const SHARED_FAILURES: usize = 4;
/// How many more failures than any other server of the service a server must have in that case. On a
/// path that fails again and again, all servers have the same number.
const MIN_LEAD: usize = 2;
/// The time of a first ejection. It doubles with each consecutive one, and is lengthened by up to as much
/// again at random so that the trials of many gateways don't coincide.
const FIRST_TIME: Duration = Duration::from_secs(4);
/// The most times that it doubles.
const MAX_DOUBLINGS: u32 = 6;
/// An ejection this soon after the return of the server is consecutive.
const RELAPSE_TIME: Duration = Duration::from_secs(60);
/// How long the outcome of a trial is waited for before another may begin.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// The interval between two trials if the first one showed nothing.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// How long the outcome of a suspected server's request is waited for before another may be sent. Each gateway
/// of deployment B sends about 3.6 requests a second to a server.
const PROBATION_TIME: Duration = Duration::from_millis(250);
/// The least number of failing servers from which failures at most of them are recognized. A gateway that is
/// cut off fails at this many as soon as it has retried once or twice.
const MIN_MASS_SERVERS: usize = 3;
/// The timer lateness up to which a failure that depends on time counts.
const MAX_LATENESS: Duration = Duration::from_millis(60);
/// The same for failures that don't. It is longer than the pauses of a gateway with a tenth of a core,
/// which are just under 100 ms.
const MAX_LATENESS_CERTAIN: Duration = Duration::from_millis(250);
/// The most own failures that are kept for each server.
const MAX_OWN_FAILURES: usize = 8;
/// The most contents that are remembered as failing at more than one server.
const MAX_CONTENTS: usize = 256;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection to the first server was reset or closed before the first event of the answer.
    Reset,
    /// The answer ended early, or the connection was lost within it.
    EndedEarly,
    /// The server answered with a status from 500 on.
    ServerError,
    /// The answer can't be decoded.
    Invalid,
    /// The server refused the request although it has room.
    Refused,
    /// There was no answer in time, or no further event.
    NoAnswer,
}

impl Failure {
    /// Returns the name of the failure in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Failure::Reset => "reset",
            Failure::EndedEarly => "ended early",
            Failure::ServerError => "server error",
            Failure::Invalid => "invalid",
            Failure::Refused => "refused",
            Failure::NoAnswer => "no answer",
        }
    }

    /// Tells whether the failure shows by itself which server of a path of `servers` is at fault, which
    /// is then the first one.
    fn identifies_server(self, servers: usize) -> bool {
        match self {
            Failure::Reset => true,
            Failure::EndedEarly | Failure::Invalid => servers == 1,
            // A content may be the cause of an error, and load that of a late answer.
            Failure::ServerError | Failure::Refused | Failure::NoAnswer => false,
        }
    }
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a, K> {
    /// When it was sent, or its last event if there was one.
    pub began: Moment,
    /// Whether it had an event.
    pub has_begun: bool,
    /// The servers that it used, the first one first.
    pub path: &'a [K],
    /// The content of the request.
    pub content: Fingerprint,
    /// How it failed.
    pub failure: Failure,
    /// How late the timers of this process fired while it ran.
    pub lateness: Duration,
}

/// What decisions depend on beside the evidence.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// The number of servers of the service.
    pub servers: usize,
    /// A random number from 0 to 1 that spreads the trials.
    pub spread: f64,
}

/// What one gateway reports to others about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// When the attempt that failed last was sent.
    pub at: Moment,
    /// The content of that attempt.
    pub content: Fingerprint,
    /// Whether the gateway is sure that the server is at fault.
    pub is_certain: bool,
    /// The number of ejections before this one, if they are consecutive.
    pub level: u32,
}

/// Whether a server gets requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    #[default]
    InUse,
    /// A failure of this gateway identified it: it gets one request at a time, the next one at this moment.
    Suspected(Moment),
    /// It doesn't until this moment; then a single request is its trial.
    Ejected(Moment),
    /// Its trial is running; another may begin at this moment.
    Trial(Moment),
}

impl Standing {
    /// Tells whether the server may get a request now, which is its trial if it was ejected.
    pub fn takes_requests(self, now: Moment) -> bool {
        match self {
            Standing::InUse => true,
            Standing::Suspected(until) | Standing::Ejected(until) | Standing::Trial(until) => {
                now >= until
            }
        }
    }

    /// Tells whether the server is out of use until its trial has gone well.
    pub fn is_ejected(self) -> bool {
        matches!(self, Standing::Ejected(_) | Standing::Trial(_))
    }
}

/// Why the standing of a server changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This gateway's own failures.
    OwnFailures,
    /// What other gateways reported, alone or together with own failures.
    Reports,
    /// Its trial failed.
    FailedTrial,
    /// The trial of another gateway failed.
    ReportedTrial,
    /// A request went well.
    Success,
}

impl Cause {
    /// Returns the name of the cause in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Cause::OwnFailures => "own failures",
            Cause::Reports => "reports",
            Cause::FailedTrial => "failed trial",
            Cause::ReportedTrial => "reported trial",
            Cause::Success => "success",
        }
    }
}

/// A change of a server's standing, and the evidence for it.
#[derive(Clone, Copy, Debug)]
pub struct Change<K> {
    /// The server.
    pub server: K,
    /// Its standing from now on.
    pub standing: Standing,
    /// Why it changed.
    pub cause: Cause,
    /// The number of consecutive ejections before this one.
    pub level: u32,
    /// The number of this gateway's failures that count.
    pub own: usize,
    /// The number of gateways whose reports count.
    pub reports: usize,
    /// The age of the oldest evidence that counts.
    pub age: Duration,
}

/// What follows from an outcome.
#[derive(Clone, Debug)]
pub struct Decision<K> {
    /// The servers whose standing changed.
    pub changes: Vec<Change<K>>,
    /// The reports to send to other gateways at once.
    pub reports: Vec<(K, Report)>,
    /// The server that gets one request at a time from now on, and when its next one may be sent.
    pub suspected: Option<(K, Moment)>,
}

impl<K> Default for Decision<K> {
    fn default() -> Self {
        Decision {
            changes: Vec::new(),
            reports: Vec::new(),
            suspected: None,
        }
    }
}

/// One failure that counts against a server.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    /// The gateway that reported it; none for this one.
    from: Option<SocketAddr>,
    at: Moment,
    content: Fingerprint,
    is_certain: bool,
    /// Whether the attempt had an event before; the first event of another one doesn't disprove it.
    has_begun: bool,
    /// Whether the content has failed at another server too, and is probably the cause.
    is_shared: bool,
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct Record {
    evidence: Vec<Evidence>,
    /// When the newest attempt that went well was sent; older failures don't count.
    cleared: Moment,
    /// The same for the newest attempt that was answered whole, which counts for failures after an event.
    completed: Moment,
    last_success: Option<Moment>,
    standing: Standing,
    /// The number of consecutive ejections, the current one included.
    ejections: u32,
    ejected_at: Moment,
    returned_at: Option<Moment>,
    /// Whether it fails after an event, so that its trial has to be answered whole.
    needs_whole: bool,
    /// The gateways whose failed trials have prolonged the ejection, each once, so that one that is cut
    /// off doesn't keep a server out of use at all others.
    prolonged_by: Vec<SocketAddr>,
    /// When a report was last sent to others, and whether it was certain.
    reported: Option<(Moment, bool)>,
}

impl Record {
    fn expire(&mut self, now: Moment) {
        let (cleared, completed) = (self.cleared, self.completed);
        self.evidence.retain(|e| {
            now.since(e.at) < MAX_EVIDENCE_AGE
                && e.at > if e.has_begun { completed } else { cleared }
        });
    }

    /// Returns the moment up to which failures don't count, by whether their attempts had an event.
    fn cleared_until(&self, has_begun: bool) -> Moment {
        if has_begun {
            self.completed
        } else {
            self.cleared
        }
    }

    fn count(&self, counts: impl Fn(&Evidence) -> bool) -> usize {
        let mut contents: Vec<Fingerprint> = Vec::new();
        for evidence in self.evidence.iter().filter(|e| counts(e)) {
            if !contents.contains(&evidence.content) {
                contents.push(evidence.content);
            }
        }
        contents.len()
    }

    /// Returns the number of failures that count, with distinct contents.
    fn failures(&self) -> usize {
        self.count(|e| !e.is_shared)
    }

    fn has_content(&self, content: Fingerprint) -> bool {
        self.evidence.iter().any(|e| e.content == content)
    }

    /// Adds a failure of this gateway, in place of an earlier one with the same content or else, if there
    /// are too many, the oldest one.
    fn add_own(&mut self, evidence: Evidence) {
        let is_own = |e: &Evidence| e.from.is_none();
        self.evidence
            .retain(|e| !is_own(e) || e.content != evidence.content);
        if self.evidence.iter().filter(|e| is_own(e)).count() >= MAX_OWN_FAILURES
            && let Some(oldest) = self.evidence.iter().position(is_own)
        {
            self.evidence.remove(oldest);
        }
        self.evidence.push(evidence);
    }

    /// Tells whether the evidence suffices without a comparison with other servers: two failures that
    /// identify the server, or a certain report and any other evidence.
    fn is_convicted(&self) -> bool {
        let is_report = |e: &Evidence| e.from.is_some() && e.is_certain && !e.is_shared;
        let has_report = self.evidence.iter().any(is_report);
        self.count(|e| e.is_certain && !e.is_shared) >= CERTAIN_FAILURES
            || (has_report && self.failures() >= CERTAIN_FAILURES)
            || self.has_shared_failures()
    }

    /// Tells whether so many contents failed here that these can't be the cause, whether or not they failed
    /// elsewhere too.
    fn has_shared_failures(&self) -> bool {
        self.count(|e| e.is_certain) >= SHARED_FAILURES
    }

    /// Tells whether a failure of this gateway identifies the server.
    fn is_suspected(&self) -> bool {
        let identifies = |e: &Evidence| e.from.is_none() && e.is_certain && !e.is_shared;
        self.evidence.iter().any(identifies)
    }

    /// Returns the standing of a server that isn't ejected; if it is suspected, its next request is sent at
    /// `next`.
    fn unejected(&self, next: Moment) -> Standing {
        if self.is_suspected() {
            Standing::Suspected(next)
        } else {
            Standing::InUse
        }
    }

    fn is_trial_due(&self, now: Moment) -> bool {
        match self.standing {
            Standing::InUse | Standing::Suspected(_) => false,
            Standing::Ejected(until) => now >= until,
            Standing::Trial(_) => true,
        }
    }

    fn change<K>(&self, now: Moment, server: K, cause: Cause) -> Change<K> {
        let oldest = self.evidence.iter().map(|e| e.at).min();
        Change {
            server,
            standing: self.standing,
            cause,
            level: self.ejections.saturating_sub(1),
            own: self.count(|e| e.from.is_none()),
            reports: self.evidence.iter().filter(|e| e.from.is_some()).count(),
            age: oldest.map_or(Duration::ZERO, |at| now.since(at)),
        }
    }

    fn eject(&mut self, now: Moment, level: u32, spread: f64) {
        let time = FIRST_TIME * 2u32.pow(level.min(MAX_DOUBLINGS));
        self.standing = Standing::Ejected(now + time.mul_f64(1.0 + spread.clamp(0.0, 1.0)));
        self.ejections = level + 1;
        self.needs_whole = self.evidence.iter().any(|e| e.has_begun);
        self.ejected_at = now;
    }

    /// Returns the level of an ejection now.
    fn next_level(&self, now: Moment) -> u32 {
        let is_relapse = self
            .returned_at
            .is_none_or(|at| now.since(at) < RELAPSE_TIME);
        if is_relapse { self.ejections } else { 0 }
    }
}

/// The outcomes at the servers of one service, and which of the servers are ejected; `K` identifies a
/// server process.
#[derive(Clone, Debug)]
pub struct Outliers<K> {
    records: Map<K, Record>,
    /// Contents that failed at more than one server, and when they last did.
    contents: Map<Fingerprint, Moment>,
    /// When attempts of this gateway last failed at most servers; its failures don't count until one that
    /// was sent later goes well.
    cut_off: Option<Moment>,
}

impl<K> Default for Outliers<K> {
    fn default() -> Self {
        Outliers {
            records: Map::default(),
            contents: Map::default(),
            cut_off: None,
        }
    }
}

impl<K: Copy + Eq + Hash> Outliers<K> {
    /// Returns the standing of a server.
    pub fn standing(&self, server: K) -> Standing {
        self.records
            .get(&server)
            .map_or(Standing::InUse, |r| r.standing)
    }

    /// Returns the number of servers that are ejected or haven't passed their trial.
    pub fn ejected_count(&self) -> usize {
        let out = |r: &&Record| r.standing.is_ejected();
        self.records.values().filter(out).count()
    }

    /// Drops what is known of a server whose process has ended.
    pub fn forget(&mut self, server: K) {
        self.records.remove(&server);
    }

    /// Records that a request is sent to a server; it is the server's trial if that is due. Returns the
    /// standing from now on.
    pub fn record_send(&mut self, now: Moment, server: K) -> Standing {
        let Some(record) = self.records.get_mut(&server) else {
            return Standing::InUse;
        };
        if !record.standing.takes_requests(now) {
            return record.standing;
        }
        record.standing = if record.standing.is_ejected() {
            Standing::Trial(now + TRIAL_TIME)
        } else {
            record.expire(now);
            record.unejected(now + PROBATION_TIME)
        };
        record.standing
    }

    /// Records that an attempt has sent its first event or its complete answer; it was sent at `began`.
    /// Failures of attempts sent before that no longer count, and an ejected server returns.
    pub fn record_success(&mut self, now: Moment, began: Moment, path: &[K]) -> Vec<Change<K>> {
        self.record_outcome(now, began, path, false)
    }

    fn record_outcome(
        &mut self,
        now: Moment,
        began: Moment,
        path: &[K],
        is_whole: bool,
    ) -> Vec<Change<K>> {
        let mut changes = Vec::new();
        self.cut_off = self.cut_off.filter(|at| began <= *at);
        for server in path {
            let record = self.records.entry(*server).or_default();
            record.last_success = Some(now);
            record.cleared = record.cleared.max(began);
            if is_whole {
                record.completed = record.completed.max(began);
            }
            let has_passed = is_whole || !record.needs_whole;
            let returns = has_passed && record.standing.is_ejected() && began >= record.ejected_at;
            let change = record.change(now, *server, Cause::Success);
            record.expire(now);
            if !record.standing.is_ejected() && !record.is_suspected() {
                record.standing = Standing::InUse;
            }
            if returns {
                record.standing = Standing::InUse;
                record.returned_at = Some(now);
                record.prolonged_by.clear();
                record.reported = None;
                changes.push(Change {
                    standing: Standing::InUse,
                    ..change
                });
            }
        }
        changes
    }

    /// Records that an attempt was answered whole, like [`Outliers::record_success`]; failures after an event of
    /// attempts sent before that no longer count either.
    pub fn record_completion(&mut self, now: Moment, began: Moment, path: &[K]) -> Vec<Change<K>> {
        self.record_outcome(now, began, path, true)
    }

    /// Records a failed attempt, and decides which server it ejects.
    pub fn record_failure(
        &mut self,
        now: Moment,
        attempt: &FailedAttempt<'_, K>,
        context: Context,
    ) -> Decision<K> {
        let Some(&first) = attempt.path.first() else {
            return Decision::default();
        };
        let is_certain = attempt.failure.identifies_server(attempt.path.len());
        let blamed = if is_certain {
            std::slice::from_ref(&first)
        } else {
            attempt.path
        };
        self.expire(now);
        let max_lateness = if attempt.failure == Failure::Reset {
            MAX_LATENESS_CERTAIN
        } else {
            MAX_LATENESS
        };
        if self.cut_off.is_some() {
            return self.end_trials(now, blamed);
        }
        if attempt.lateness > max_lateness {
            return self.end_trials(now, blamed);
        }
        // A path that uses a server which is ejected by now has probably failed because of it.
        let is_ejected = |s: &K| self.standing(*s).is_ejected();
        if blamed.len() > 1 && blamed.iter().any(is_ejected) {
            return self.end_trials(now, blamed);
        }
        let is_shared = self.is_content_at_fault(now, attempt.content, blamed);
        for server in blamed {
            let record = self.records.entry(*server).or_default();
            if attempt.began > record.cleared_until(attempt.has_begun) {
                record.add_own(Evidence {
                    from: None,
                    at: attempt.began,
                    content: attempt.content,
                    is_certain,
                    has_begun: attempt.has_begun,
                    is_shared,
                });
            }
        }
        if self.outcomes_since_failure().is_mass_failure() {
            self.cut_off = Some(now);
            for record in self.records.values_mut() {
                record.evidence.retain(|e| e.from.is_some());
            }
            return self.end_trials(now, blamed);
        }
        let mut decision = if blamed.len() == 1 && !is_shared {
            let change = self.fail_trial(now, attempt.began, first, context.spread);
            Decision {
                changes: change.into_iter().collect(),
                ..Decision::default()
            }
        } else {
            self.end_trials(now, blamed)
        };
        for server in blamed {
            let change = self.decide(now, *server, Cause::OwnFailures, context);
            decision.changes.extend(change);
        }
        if is_certain {
            let took = now.since(attempt.began);
            decision.suspected = self.suspect(now, first, took);
        }
        // A failure that may be due to any server of a path is reported only once it has ejected one.
        if blamed.len() == 1 {
            decision.reports.extend(self.new_report(now, first));
        } else {
            let ejected: Vec<K> = decision.changes.iter().map(|c| c.server).collect();
            for server in ejected {
                decision.reports.extend(self.new_report(now, server));
            }
        }
        decision
    }

    /// Records a report of another gateway, and decides whether it ejects the server.
    pub fn record_report(
        &mut self,
        now: Moment,
        from: SocketAddr,
        server: K,
        report: Report,
        context: Context,
    ) -> Option<Change<K>> {
        if now.since(report.at) >= MAX_EVIDENCE_AGE {
            return None;
        }
        self.expire(now);
        let is_shared = self.is_content_at_fault(now, report.content, &[server]);
        let record = self.records.entry(server).or_default();
        let known = record.evidence.iter().find(|e| e.from == Some(from));
        let is_known = known
            .is_some_and(|e| e.content == report.content && (e.is_certain || !report.is_certain));
        if is_known || report.at <= record.cleared {
            return None;
        }
        record.evidence.retain(|e| e.from != Some(from));
        record.evidence.push(Evidence {
            from: Some(from),
            at: report.at,
            content: report.content,
            is_certain: report.is_certain,
            has_begun: false,
            is_shared,
        });
        let is_ejected = matches!(record.standing, Standing::Ejected(_));
        if is_ejected && report.level >= record.ejections && !record.prolonged_by.contains(&from) {
            record.prolonged_by.push(from);
            record.eject(now, report.level, context.spread);
            return Some(record.change(now, server, Cause::ReportedTrial));
        }
        self.decide(now, server, Cause::Reports, context)
    }

    /// Returns the reports for the regular exchange with other gateways: the newest own failure of each server about
    /// which a report was sent, as long as it counts.
    pub fn reports_in_force(&self, now: Moment) -> Vec<(K, Report)> {
        let reported = self.records.iter().filter(|(_, r)| r.reported.is_some());
        reported
            .filter_map(|(server, r)| Some((*server, own_report(now, r)?)))
            .collect()
    }

    /// Ejects a server if the evidence suffices and not too many others are ejected.
    fn decide(
        &mut self,
        now: Moment,
        server: K,
        cause: Cause,
        context: Context,
    ) -> Option<Change<K>> {
        let record = self.records.get(&server)?;
        if record.standing.is_ejected() {
            return None;
        }
        let has_reports = record.evidence.iter().any(|e| e.from.is_some());
        let is_conclusive = has_reports
            || record.has_shared_failures()
            || self.outcomes_since_failure().is_conclusive();
        let is_at_fault = is_conclusive && (record.is_convicted() || self.leads(server, record));
        if !is_at_fault || self.ejected_count() >= max_ejected(context.servers) {
            return None;
        }
        let record = self.records.get_mut(&server)?;
        let level = record.next_level(now);
        record.eject(now, level, context.spread);
        record.prolonged_by.clear();
        let cause = if has_reports { Cause::Reports } else { cause };
        let change = record.change(now, server, cause);
        let explained: Vec<Fingerprint> = record.evidence.iter().map(|e| e.content).collect();
        self.withdraw(server, &explained);
        Some(change)
    }

    /// Gives a server one request at a time if a failure identifies it. The next one is sent once those in
    /// flight would have failed too, which is after the time that the failed one took.
    fn suspect(&mut self, now: Moment, server: K, took: Duration) -> Option<(K, Moment)> {
        let record = self.records.get_mut(&server)?;
        if record.standing.is_ejected() || !record.is_suspected() {
            return None;
        }
        let next = now + took.min(PROBATION_TIME);
        record.standing = Standing::Suspected(next);
        Some((server, next))
    }

    /// Withdraws the failures of paths that the ejection of one of their servers explains.
    fn withdraw(&mut self, ejected: K, contents: &[Fingerprint]) {
        let others = self.records.iter_mut().filter(|(k, _)| **k != ejected);
        for (_, record) in others {
            record
                .evidence
                .retain(|e| e.is_certain || !contents.contains(&e.content));
        }
    }

    /// Tells whether a server has clearly more failures than all others that are in use.
    fn leads(&self, server: K, record: &Record) -> bool {
        let failures = record.failures();
        if failures < MIN_FAILURES {
            return false;
        }
        let others = self
            .records
            .iter()
            .filter(|(k, r)| **k != server && !r.standing.is_ejected());
        let most = others.map(|(_, r)| r.failures()).max().unwrap_or(0);
        failures >= most + MIN_LEAD
    }

    /// Ejects a server again if its trial was due.
    fn fail_trial(
        &mut self,
        now: Moment,
        began: Moment,
        server: K,
        spread: f64,
    ) -> Option<Change<K>> {
        let record = self.records.get_mut(&server)?;
        if !record.is_trial_due(now) || began < record.ejected_at {
            return None;
        }
        let level = record.ejections;
        record.eject(now, level, spread);
        record.reported = None;
        Some(record.change(now, server, Cause::FailedTrial))
    }

    /// Ends the trials of servers without a verdict.
    fn end_trials(&mut self, now: Moment, servers: &[K]) -> Decision<K> {
        let mut decision = Decision::default();
        for server in servers {
            if let Some(record) = self.records.get_mut(server)
                && matches!(record.standing, Standing::Trial(_))
            {
                record.standing = Standing::Ejected(now + TRIAL_PAUSE);
                decision
                    .changes
                    .push(record.change(now, *server, Cause::FailedTrial));
            }
        }
        decision
    }

    /// Returns the report about a server unless one that says as much was sent lately.
    fn new_report(&mut self, now: Moment, server: K) -> Option<(K, Report)> {
        let record = self.records.get_mut(&server)?;
        let report = own_report(now, record)?;
        let is_known = record.reported.is_some_and(|(at, was_certain)| {
            now.since(at) < MAX_EVIDENCE_AGE && (was_certain || !report.is_certain)
        });
        if is_known {
            return None;
        }
        record.reported = Some((now, report.is_certain));
        Some((server, report))
    }

    /// Tells whether a content rather than a server is the cause of a failure, as it has failed at other
    /// servers before; what it is the cause of is marked so.
    fn is_content_at_fault(&mut self, now: Moment, content: Fingerprint, blamed: &[K]) -> bool {
        let mut failed = self.records.iter().filter(|(_, r)| r.has_content(content));
        let is_elsewhere =
            failed.clone().next().is_some() && !failed.any(|(k, _)| blamed.contains(k));
        let is_known = self
            .contents
            .get(&content)
            .is_some_and(|at| now.since(*at) < MAX_EVIDENCE_AGE);
        if !is_elsewhere && !is_known {
            return false;
        }
        if self.contents.len() >= MAX_CONTENTS {
            self.contents
                .retain(|_, at| now.since(*at) < MAX_EVIDENCE_AGE);
        }
        if self.contents.len() < MAX_CONTENTS {
            self.contents.insert(content, now);
        }
        let evidence = self.records.values_mut().flat_map(|r| &mut r.evidence);
        for evidence in evidence.filter(|e| e.content == content) {
            evidence.is_shared = true;
        }
        true
    }

    /// Returns at how many servers in use attempts of this gateway fail, and at how many one that was sent
    /// since the first of these failures goes well.
    fn outcomes_since_failure(&self) -> Outcomes {
        let in_use = || self.records.values().filter(|r| !r.standing.is_ejected());
        let own = in_use().filter_map(|r| {
            let own = r.evidence.iter().filter(|e| e.from.is_none());
            own.map(|e| e.at).min()
        });
        let (failing, first) = own.fold((0, None), |(count, first), at| {
            (count + 1, Some(first.map_or(at, |f: Moment| f.min(at))))
        });
        let succeeding = first.map_or(0, |f| in_use().filter(|r| r.cleared >= f).count());
        Outcomes {
            failing,
            succeeding,
        }
    }

    fn expire(&mut self, now: Moment) {
        self.records.retain(|_, r| {
            r.expire(now);
            let is_recent = r
                .last_success
                .is_some_and(|at| now.since(at) < MAX_EVIDENCE_AGE);
            let may_relapse = r.returned_at.is_some_and(|at| now.since(at) < RELAPSE_TIME);
            !r.evidence.is_empty() || r.standing.is_ejected() || is_recent || may_relapse
        });
    }
}

/// At how many servers attempts of this gateway fail and go well.
#[derive(Clone, Copy, Debug)]
struct Outcomes {
    failing: usize,
    succeeding: usize,
}

impl Outcomes {
    /// Tells whether the fault is on this gateway's side, as its attempts fail at most of the servers.
    fn is_mass_failure(self) -> bool {
        self.failing >= MIN_MASS_SERVERS && self.succeeding < self.failing
    }

    /// Tells whether own failures alone are enough to tell servers apart.
    fn is_conclusive(self) -> bool {
        self.failing <= 1 || self.succeeding >= self.failing
    }
}

/// Returns the most servers of a service that are ejected at the same time: a third of them, but one if
/// there is another one.
fn max_ejected(servers: usize) -> usize {
    let least = usize::from(servers > 1);
    (servers / 3).max(least)
}

/// Returns the newest own failure as a report.
fn own_report(now: Moment, record: &Record) -> Option<Report> {
    let own = record.evidence.iter().filter(|e| e.from.is_none());
    let own = own.filter(|e| !e.is_shared && now.since(e.at) < MAX_EVIDENCE_AGE);
    let newest = own.max_by_key(|e| e.at)?;
    let is_ejected = record.standing.is_ejected();
    Some(Report {
        at: newest.at,
        content: newest.content,
        is_certain: newest.is_certain || is_ejected,
        level: record
            .ejections
            .saturating_sub(usize::from(is_ejected) as u32),
    })
}
