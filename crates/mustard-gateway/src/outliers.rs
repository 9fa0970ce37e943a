//! Records the outcomes of attempts at servers, and reports the servers at fault to other gateways.
//!
//! Reports are sent at once to all gateways that are alive, in the messages about the ends of servers; the
//! regular exchange carries those that still count. Gateways don't pass on the reports of others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use mustard_core::clock::Moment;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::outlier::{Change, Decision, FailedAttempt, Failure, Report, Standing};
use mustard_policy::quarantine;

use crate::app::App;
use crate::fleet::{ServerKey, ServerProcess};
use crate::forward::AdmittedRequest;
use crate::log_limit::Topic;
use crate::metric;
use crate::stream_watch::SCAN_INTERVAL;
use crate::strike_news;

/// A report about a server in a message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OutlierMessage {
    #[serde(rename = "s")]
    server: String,
    #[serde(rename = "b")]
    started_ms: u64,
    #[serde(rename = "c")]
    content: Fingerprint,
    #[serde(rename = "y")]
    is_certain: bool,
    #[serde(rename = "l")]
    level: u32,
    #[serde(rename = "a")]
    age_ms: u64,
}

impl OutlierMessage {
    fn encode(now: Moment, process: ServerProcess, report: Report) -> Self {
        OutlierMessage {
            server: process.id,
            started_ms: process.started_ms,
            content: report.content,
            is_certain: report.is_certain,
            level: report.level,
            age_ms: now.ms_since(report.at),
        }
    }

    fn report(&self, now: Moment) -> Report {
        Report {
            at: now - Duration::from_millis(self.age_ms),
            content: self.content,
            is_certain: self.is_certain,
            level: self.level,
        }
    }
}

/// Records a failed attempt of a request, which was sent over `path` at `began`.
///
/// It doesn't count if something else explains it: a content or segment under which servers end, or a
/// server of the path that doesn't answer calls either.
pub fn record_failure(
    app: &Rc<App>,
    request: &AdmittedRequest,
    path: &[ServerKey],
    began: Moment,
    failure: Failure,
) {
    metric::count_failed_attempt(failure.name());
    let now = app.now();
    if is_suspected(app, now, request) {
        return;
    }
    let attempt = FailedAttempt {
        began,
        path,
        content: request.content.fingerprint,
        failure,
        lateness: lateness(app, now, began),
    };
    let spread = app.rng.borrow_mut().random();
    let decision = {
        let mut fleet = app.fleet.borrow_mut();
        if fleet.has_silent(path) {
            return;
        }
        fleet.record_failed_attempt(now, &request.service.name, &attempt, spread)
    };
    let Decision { changes, reports } = decision;
    for change in &changes {
        log_change(app, change, Some(failure));
    }
    if !changes.is_empty() {
        app.changed.notify_waiters();
    }
    send_reports(app, now, &reports);
}

/// Records that an attempt, which was sent at `began`, goes well at the servers that it uses.
pub fn record_success(
    app: &App,
    service: &str,
    path: impl Iterator<Item = ServerKey>,
    began: Moment,
) {
    let now = app.now();
    let changes = app
        .fleet
        .borrow_mut()
        .record_outcome(now, began, service, path);
    for change in &changes {
        log_change(app, change, None);
    }
    if !changes.is_empty() {
        app.changed.notify_waiters();
    }
}

/// Returns the reports for the regular exchange with other gateways.
pub fn messages(app: &App) -> Vec<OutlierMessage> {
    let now = app.now();
    let reports = app.fleet.borrow().outlier_reports(now);
    let reports = reports.into_iter();
    reports
        .map(|(process, r)| OutlierMessage::encode(now, process, r))
        .collect()
}

/// Records the reports of another gateway.
pub fn apply_messages(app: &App, from: SocketAddr, messages: Vec<OutlierMessage>) {
    let now = app.now();
    for message in messages {
        let spread = app.rng.borrow_mut().random();
        let process = (message.server.as_str(), message.started_ms);
        let report = message.report(now);
        let change = app
            .fleet
            .borrow_mut()
            .record_outlier_report(now, from, process, report, spread);
        if let Some(change) = change {
            log_change(app, &change, None);
            app.changed.notify_waiters();
        }
    }
}

/// Tells all gateways that are alive of servers at fault.
fn send_reports(app: &Rc<App>, now: Moment, reports: &[(ServerKey, Report)]) {
    let fleet = app.fleet.borrow();
    let reports = reports.iter();
    let messages: Vec<OutlierMessage> = reports
        .filter_map(|(key, report)| {
            let process = fleet.process(*key)?;
            Some(OutlierMessage::encode(now, process, *report))
        })
        .collect();
    drop(fleet);
    if messages.is_empty() {
        return;
    }
    let peers = strike_news::send_outliers(app, &messages);
    if let Some(log) = app.log.logger_for(Topic::Server) {
        for message in &messages {
            info!(log, "outlier: Reported a server to the other gateways."; "server" => &message.server,
                "certain" => message.is_certain, "age_ms" => message.age_ms, "peers" => peers);
        }
    }
}

/// Tells whether servers have ended under the content of a request or a segment of its prompt.
fn is_suspected(app: &App, now: Moment, request: &AdmittedRequest) -> bool {
    let standing = app.quarantine.borrow().standing(now, request.content);
    let filter = app.segments.borrow();
    standing != quarantine::Standing::Clear
        || request.segments.iter().any(|s| filter.end_count(*s) > 0)
}

/// Returns how late the timers of this process have fired since a moment, the one that is due included.
fn lateness(app: &App, now: Moment, since: Moment) -> Duration {
    let timers = app.lateness.borrow();
    let overdue = timers.overdue(now, SCAN_INTERVAL);
    timers.since(since).max(overdue)
}

fn log_change(app: &App, change: &Change<ServerKey>, failure: Option<Failure>) {
    let cause = change.cause.name();
    metric::count_ejection(cause);
    let Some(log) = app.log.logger_for(Topic::Server) else {
        return;
    };
    let now = app.now();
    let fleet = app.fleet.borrow();
    let Some(server) = fleet.get(change.server) else {
        return;
    };
    match change.standing {
        Standing::InUse => {
            info!(log, "outlier: A server is in use again."; "server" => %server.entry.addr,
                "id" => &server.entry.id, "cause" => cause, "level" => change.level);
        }
        Standing::Ejected(until) | Standing::Trial(until) => {
            warn!(log, "outlier: A server was ejected."; "server" => %server.entry.addr,
                "id" => &server.entry.id, "cause" => cause,
                "failure" => failure.map(Failure::name), "own" => change.own,
                "reports" => change.reports, "oldest_ms" => change.age.as_millis() as u64,
                "level" => change.level, "for_ms" => now.until(until).as_millis() as u64,
                "ejected" => fleet.ejected_count());
        }
    }
}
