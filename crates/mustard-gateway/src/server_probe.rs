//! Asks servers for their reports, and decides which of them don't answer.

use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use mustard_core::clock::Moment;
use mustard_core::deployment::{ServerKey, ServerReport};
use mustard_net::CallError;
use mustard_policy::silence::Verdict;

use crate::app::App;
use crate::fleet::ServerProcess;
use crate::log_limit::Topic;
use crate::metric;
use crate::placement::{CallKind, fetch_report};
use crate::quiet_servers;
use crate::stream_watch::move_streams_off;

/// The result of a call to a server.
type Result<T> = std::result::Result<T, CallError>;

/// The time within which a live server answers, unless this process or its link is busy.
const REPORT_TIMEOUT: Duration = Duration::from_millis(25);
/// How long a call for a report is waited for after that, while control calls are made.
const LATE_REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval between two looks at the control calls.
const JUDGE_INTERVAL: Duration = Duration::from_millis(5);
/// How long an answer that arrived together with that to a control call may take to be read; the second
/// call also opens a connection first.
const READ_GRACE: Duration = Duration::from_millis(8);
/// The greatest age at which a report is used instead of asking for a new one.
const MAX_REPORT_AGE: Duration = Duration::from_millis(40);
/// The interval between two calls to a server that didn't answer.
const SILENT_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout of these calls.
const SILENT_RETRY_TIMEOUT: Duration = Duration::from_millis(400);

/// What a server said when it was asked for a report.
#[derive(Clone, Debug)]
pub enum Probed {
    /// Its report.
    Report(Rc<ServerReport>),
    /// Nothing, while other servers answer.
    Silent,
    /// Nothing, and no other server answered either.
    Unknown,
}

/// A call for a report that is in progress.
type PendingReport<'a> = Pin<&'a mut dyn Future<Output = Result<Rc<ServerReport>>>>;

/// How waiting for a report ended.
enum Waited {
    Answer(Result<Rc<ServerReport>>),
    Judged(Verdict),
}

/// Returns the oldest report that is used instead of asking for a new one.
pub fn oldest_report(now: Moment) -> Moment {
    now - MAX_REPORT_AGE
}

/// Returns the report that a server sent at or after `since`, or else asks it for one. A server that
/// doesn't answer is put out of use and all streams are moved off it.
pub async fn probe(app: &Rc<App>, key: ServerKey, since: Moment) -> Probed {
    let known = app.fleet.borrow().fresh_report(key, since);
    if let Some(report) = known {
        return Probed::Report(report);
    }
    let Some(process) = app.fleet.borrow().process(key) else {
        return Probed::Unknown;
    };
    let asked = app.now();
    let probed = ask(app, &process).await;
    let error = match probed {
        Ok(report) => return Probed::Report(report),
        Err(None) => {
            metric::count_probe("unknown");
            return Probed::Unknown;
        }
        Err(Some(error)) => error,
    };
    let newly_silent = app.fleet.borrow_mut().record_silence(app.now(), key);
    if newly_silent {
        if let Some(log) = app.log.logger_for(Topic::Server) {
            warn!(log, "watch: A server doesn't answer."; "server" => %process.addr,
                "error" => %error, "took_ms" => app.now().ms_since(asked),
                "late_ms" => app.lateness.borrow().since(asked).as_millis() as u64);
        }
        quiet_servers::send_alert(app, key);
        move_streams_off(app, key);
    }
    Probed::Silent
}

/// Asks a server for a report; fails with the reason why it counts as silent, or without one if nothing
/// is known.
async fn ask(
    app: &Rc<App>,
    process: &ServerProcess,
) -> std::result::Result<Rc<ServerReport>, Option<CallError>> {
    let sent = app.now();
    let mut first = pin!(fetch_report(
        app,
        process,
        CallKind::Pooled,
        REPORT_TIMEOUT + LATE_REPORT_TIMEOUT
    ));
    match timeout(REPORT_TIMEOUT, &mut first).await {
        Ok(Ok(report)) => return Ok(report),
        // A kept connection may have been closed by the server.
        Ok(Err(CallError::Lost(_))) => {
            let again = fetch_report(app, process, CallKind::Unpooled, REPORT_TIMEOUT * 2).await;
            return again.map_err(Some);
        }
        Ok(Err(e)) => return Err(Some(e)),
        Err(_) => {}
    }
    // A kept connection may also have gone silent.
    let mut again = pin!(fetch_report(
        app,
        process,
        CallKind::Unpooled,
        LATE_REPORT_TIMEOUT
    ));
    let timed_out = CallError::TimedOut(REPORT_TIMEOUT.as_millis() as u64);
    loop {
        begin_control(app, process.key);
        let step = wait_step(app, sent, first.as_mut(), again.as_mut()).await;
        match step {
            Waited::Answer(Ok(report)) => return Ok(report),
            Waited::Answer(Err(CallError::TimedOut(_))) | Waited::Judged(Verdict::Unknown) => {
                return Err(None);
            }
            Waited::Answer(Err(e)) => return Err(Some(e)),
            Waited::Judged(Verdict::Silent) => {
                let late = async {
                    tokio::select! {
                        biased;
                        answer = first.as_mut() => answer,
                        answer = again.as_mut() => answer,
                    }
                };
                return match timeout(READ_GRACE, late).await {
                    Ok(Ok(report)) => Ok(report),
                    _ => Err(Some(timed_out)),
                };
            }
            Waited::Judged(Verdict::Pending) => {}
        }
    }
}

/// Waits until a call is answered or it is time to judge the server.
async fn wait_step(
    app: &App,
    sent: Moment,
    first: PendingReport<'_>,
    again: PendingReport<'_>,
) -> Waited {
    tokio::select! {
        biased;
        answer = first => Waited::Answer(answer),
        answer = again => Waited::Answer(answer),
        () = sleep(JUDGE_INTERVAL) => {
            let log = app.answers.borrow();
            Waited::Judged(log.judge(app.now(), sent, REPORT_TIMEOUT))
        }
    }
}

/// Calls another server, whose answer shows that those of live servers arrive.
fn begin_control(app: &Rc<App>, suspect: ServerKey) {
    let now = app.now();
    if !app.answers.borrow_mut().begin_control(now) {
        return;
    }
    let others = app.fleet.borrow().answering_servers(now, suspect);
    let control = others.choose(&mut *app.rng.borrow_mut());
    let Some(control) = control.and_then(|key| app.fleet.borrow().process(*key)) else {
        return;
    };
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        // The answer, or its absence, shows in `App::answers`.
        let _ = fetch_report(&app, &control, CallKind::Pooled, LATE_REPORT_TIMEOUT).await;
    });
}

/// Asks a server that is probably at fault for a report, so that its actual state decides.
pub fn probe_faulty_server(app: &Rc<App>, key: ServerKey) {
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        let now = app.now();
        if app.fleet.borrow().is_paused(now, key) {
            return;
        }
        if matches!(
            probe(&app, key, oldest_report(now)).await,
            Probed::Report(_)
        ) {
            app.changed.notify_waiters();
        }
    });
}

/// Retries servers that don't answer, and returns them to use once they do.
pub async fn retry_silent_servers(app: Rc<App>) {
    loop {
        sleep(SILENT_RETRY_INTERVAL).await;
        let silent = app.fleet.borrow().silent_servers(app.now());
        for key in silent {
            let Some(process) = app.fleet.borrow().process(key) else {
                continue;
            };
            let app = Rc::clone(&app);
            ntex::rt::spawn(async move {
                let report = fetch_report(&app, &process, CallKind::Pooled, SILENT_RETRY_TIMEOUT);
                if report.await.is_ok() {
                    app.changed.notify_waiters();
                    if let Some(log) = app.log.logger_for(Topic::Server) {
                        info!(log, "watch: A server answers again."; "server" => %process.addr);
                    }
                }
            });
        }
    }
}
