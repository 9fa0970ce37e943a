//! Detects streams in flight that have stalled, and moves them off servers that don't answer.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::time::sleep;

use mustard_core::clock::Moment;
use mustard_core::collections::{Map, Set};
use mustard_core::deployment::{PathPart, ServerKey, ServerReport};
use mustard_policy::backoff::Fault;
use mustard_policy::stall::Progress;

use crate::active_streams::ActiveStreamKey;
use crate::app::App;
use crate::log_limit::Topic;
use crate::moves::{StrandedStream, move_streams};
use crate::quiet_servers;
use crate::server_probe::{Probed, oldest_report, probe};

/// The interval between two scans of the streams in flight.
pub(crate) const SCAN_INTERVAL: Duration = Duration::from_millis(15);
/// The longest pause of a stream; after it the attempt is abandoned even if no server is at fault.
const MAX_PAUSE: Duration = Duration::from_millis(900);

/// The reports of the servers of stalled streams; `None` for a server that doesn't answer while others
/// do.
type Reports = Map<ServerKey, Option<Rc<ServerReport>>>;

/// Scans the streams in flight for the life of the process.
pub async fn run(app: Rc<App>) {
    loop {
        let since = app.now();
        sleep(SCAN_INTERVAL).await;
        let now = app.now();
        let late = now.since(since).saturating_sub(SCAN_INTERVAL);
        app.lateness.borrow_mut().record(now, late);
        quiet_servers::ask_quiet(&app);
        let stalled = take_stalled(&app);
        if !stalled.is_empty() {
            let app = Rc::clone(&app);
            ntex::rt::spawn(async move { handle_stalled(&app, stalled).await });
        }
    }
}

/// Returns the streams that have stalled, and records that their servers are asked for reports now.
fn take_stalled(app: &App) -> Vec<ActiveStreamKey> {
    let now = app.now();
    let limit = app.pauses.borrow().limit();
    let mut streams = app.streams.borrow_mut();
    let is_stalled = |p: &Progress| p.should_ask(now, limit);
    let stalled: Vec<ActiveStreamKey> = streams
        .iter()
        .filter(|(_, s)| !s.moving && is_stalled(&s.progress))
        .map(|(k, _)| k)
        .collect();
    for key in &stalled {
        if let Some(stream) = streams.get_mut(*key) {
            stream.progress.record_ask(now);
        }
    }
    stalled
}

async fn handle_stalled(app: &Rc<App>, stalled: Vec<ActiveStreamKey>) {
    let reports = collect_reports(app, &stalled).await;
    let mut stranded = Vec::new();
    for key in stalled {
        match choose_action(app, key, &reports) {
            Action::Keep => {}
            Action::Abandon(cause) => abandon(app, key, cause),
            Action::Repath(faulty) => stranded.push(StrandedStream { key, faulty }),
        }
    }
    ntex::rt::spawn(move_streams(Rc::clone(app), stranded));
}

/// Collects a report from every server on the paths of the streams, recent ones included. Servers
/// that want nothing from this gateway now are left out.
async fn collect_reports(app: &Rc<App>, stalled: &[ActiveStreamKey]) -> Reports {
    let mut servers: Set<ServerKey> = Set::default();
    for key in stalled {
        if let Some(stream) = app.streams.borrow().get(*key) {
            servers.extend(stream.parts.iter().map(|p| p.server));
        }
    }
    let now = app.now();
    let oldest = oldest_report(now);
    servers.retain(|key| !app.fleet.borrow().is_paused(now, *key));
    let tasks: Vec<_> = servers
        .into_iter()
        .map(|key| {
            let app = Rc::clone(app);
            (
                key,
                ntex::rt::spawn(async move { probe(&app, key, oldest).await }),
            )
        })
        .collect();
    let mut reports = Reports::default();
    for (key, task) in tasks {
        match task.await {
            Ok(Probed::Report(report)) => reports.insert(key, Some(report)),
            Ok(Probed::Silent) => reports.insert(key, None),
            Ok(Probed::Unknown) | Err(_) => continue,
        };
    }
    reports
}

/// What to do about a stalled stream.
enum Action {
    /// The attempt is kept: it has events again, or no server is known to be at fault.
    Keep,
    /// The attempt is abandoned, for this cause.
    Abandon(&'static str),
    /// These servers, which don't answer, are replaced.
    Repath(Vec<ServerKey>),
}

/// Decides what to do about a stalled stream by its servers' reports.
fn choose_action(app: &App, key: ActiveStreamKey, reports: &Reports) -> Action {
    let streams = app.streams.borrow();
    let Some(stream) = streams.get(key) else {
        return Action::Keep;
    };
    let Some(first) = stream.parts.first() else {
        return Action::Keep;
    };
    // An event that arrived meanwhile has reset `asked_at`.
    if stream.progress.asked_at.is_none() || stream.moving {
        return Action::Keep;
    }
    let first_report = reports.get(&first.server);
    if first_report.is_some_and(Option::is_none) {
        return Action::Abandon("first server silent");
    }
    let find_part = |addr| stream.parts.iter().find(|p| p.addr == addr);
    let reported_silent: Vec<ServerKey> = first_report
        .into_iter()
        .flatten()
        .flat_map(|report| &report.stalled)
        .filter(|(id, _)| *id == stream.id)
        .filter_map(|(_, addr)| Some(find_part(*addr)?.server))
        .collect();
    let silent = |p: &PathPart| {
        matches!(reports.get(&p.server), Some(None)) || reported_silent.contains(&p.server)
    };
    let faulty = stream.parts[1..].iter().filter(|p| silent(p));
    let faulty: Vec<ServerKey> = faulty.map(|p| p.server).collect();
    if !faulty.is_empty() {
        let now = app.now();
        for key in reported_silent {
            app.fleet.borrow_mut().record_fault(now, key, Fault::Broken);
        }
        // Without a report the first server takes no orders either.
        return if stream.progress.has_begun && first_report.is_some() {
            Action::Repath(faulty)
        } else {
            Action::Abandon("part silent before the first event")
        };
    }
    // A request without a first event may be queued behind others, as it would be elsewhere.
    let overdue = app.now().since(stream.progress.last_event) >= MAX_PAUSE;
    if stream.progress.has_begun && overdue {
        return Action::Abandon("silent, no server at fault");
    }
    Action::Keep
}

pub(crate) fn abandon(app: &App, key: ActiveStreamKey, cause: &'static str) {
    let streams = app.streams.borrow();
    let Some(stream) = streams.get(key) else {
        return;
    };
    if let Some(log) = app.log.logger_for(Topic::Stream) {
        info!(log, "watch: An attempt is abandoned."; "request" => &stream.id, "cause" => cause,
            "silent_ms" => silent_ms(app.now(), stream.progress.last_event));
    }
    stream.abandon.notify_one();
}

/// Moves every stream whose path uses a server that doesn't answer to another path. The
/// attempt is abandoned instead if it has no event yet, or if its first server is that server or
/// takes no orders now.
pub(crate) fn move_streams_off(app: &Rc<App>, server: ServerKey) {
    let affected: Vec<(ActiveStreamKey, bool)> = {
        let now = app.now();
        let fleet = app.fleet.borrow();
        let streams = app.streams.borrow();
        let affected = streams
            .iter()
            .filter(|(_, s)| !s.moving && s.uses_server(server));
        affected
            .map(|(k, s)| {
                let first = s.parts.first().map(|p| p.server);
                let takes_orders = first.is_some_and(|f| f != server && !fleet.is_paused(now, f));
                (k, s.progress.has_begun && takes_orders)
            })
            .collect()
    };
    let mut stranded = Vec::new();
    for (key, movable) in affected {
        if movable {
            let faulty = vec![server];
            stranded.push(StrandedStream { key, faulty });
        } else {
            abandon(app, key, "server silent");
        }
    }
    ntex::rt::spawn(move_streams(Rc::clone(app), stranded));
}

pub(crate) fn silent_ms(now: Moment, last: Moment) -> u64 {
    now.ms_since(last)
}
