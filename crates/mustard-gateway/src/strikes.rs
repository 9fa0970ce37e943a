//! Counts the ends of servers against the contents that they ran, and against the segments of prompts on
//! which they had just begun to write.
//!
//! A run is one send of a request, or one move of its stream to another path. A run that failed counts
//! one strike if a server process that it used has ended since, whichever of them and however the end
//! shows: by a closed connection, by nothing listening, or by another process at its place later on.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::sleep;

use mustard_adapter::{orders, responses};
use mustard_core::clock::{Clock, Moment};
use mustard_core::fingerprint::Fingerprint;
use mustard_net::CallError;
use mustard_policy::quarantine::{Content, Standing, Strike};
use mustard_policy::segments::{Admission, PROOF_WRITTEN, SegmentStrike, TRIAL_TURN};

use crate::app::App;
use crate::fleet::{ProcessState, ServerProcess};
use crate::forward::AdmittedRequest;
use crate::log_limit::Topic;
use crate::metric;
use crate::placement::{CallKind, call_health, fetch_report};

/// Time limit for the report of a server that closed a connection early; a live server responds
/// within a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for the health check of a plain server, which waits for a slot there.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a server that doesn't answer is watched for signs that it has ended; it is listed again
/// or removed from the list within this time.
const WATCH_TIME: Duration = Duration::from_secs(6);
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
const ABANDONED_INTERVAL: Duration = Duration::from_secs(1);
/// The age up to which a report shows that a server of a stalled stream still runs; it was asked for
/// after the stream had stalled.
const STALL_REPORT_AGE: Duration = Duration::from_millis(150);
/// Peers are told at once of a content or a segment with this many strikes.
const URGENT_STRIKES: usize = 2;
/// Retry delay for callers whose request content is quarantined because servers died running it.
pub const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(10);

/// How a run failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The first server of a path closed the connection before the end of the response.
    ConnectionLost,
    /// The server of a plain service did so; holds the path of its health check.
    PlainConnectionLost(String),
    /// The response stalled.
    Stalled,
    /// Nobody waited for the response any longer.
    Abandoned,
}

/// A run that failed.
#[derive(Clone, Debug)]
pub struct FailedRun {
    /// The digest of the request's content, its prompt included.
    pub content: Content,
    /// The segments of its prompt that other prompts may share.
    pub segments: Rc<[Fingerprint]>,
    /// For how long its servers had been writing.
    pub written: Duration,
    /// Whether it was moved to these servers; the first one had been writing before that.
    pub was_moved: bool,
    /// The id of the request.
    pub request: String,
    /// The processes that it used, in the order of the path.
    pub processes: Vec<ServerProcess>,
    /// How it failed.
    pub failure: Failure,
}

/// A run that was answered whole.
#[derive(Clone, Debug)]
pub struct FinishedRun {
    /// The segments of its prompt that other prompts may share.
    pub segments: Rc<[Fingerprint]>,
    /// The digest of the request's content, its prompt included.
    pub content: Content,
    /// For how long its servers had been writing.
    pub written: Duration,
    /// The processes that it used, in the order of the path.
    pub processes: Vec<ServerProcess>,
}

/// Returns after which time the caller may try again if the request may not run now, as too many
/// servers ended under its content or a segment of its prompt.
pub fn refusal(app: &App, request: &AdmittedRequest) -> Option<Duration> {
    if is_quarantined(app, request.content) {
        return Some(QUARANTINE_RETRY_AFTER);
    }
    let segments = &request.segments;
    if segments.is_empty() {
        return None;
    }
    let mut filter = app.segments.borrow_mut();
    match filter.admit(app.now(), segments, has_trial_turn(app)) {
        Admission::Allowed => None,
        Admission::Blocked(retry_after) => Some(retry_after),
    }
}

/// Returns whether this gateway has its turn to run trials: the live gateways have it one after the
/// other, by the time of day.
fn has_trial_turn(app: &App) -> bool {
    let turn = app.clock.wall_ms() / TRIAL_TURN.as_millis() as u64;
    app.peers.borrow().has_turn(turn, app.age())
}

/// Returns whether any of the segments is blocked, as too many servers ended on it.
pub fn is_blocked(app: &App, segments: &[Fingerprint]) -> bool {
    app.segments.borrow().is_blocked(app.now(), segments)
}

/// Returns whether a content may not run, as too many servers ended under it.
pub fn is_quarantined(app: &App, content: Content) -> bool {
    app.quarantine.borrow().is_quarantined(app.now(), content)
}

/// Returns whether servers ended under a request's content or a segment of its prompt, though maybe too few
/// for it to be refused.
pub fn is_suspect(app: &App, request: &AdmittedRequest) -> bool {
    let standing = app.quarantine.borrow().standing(app.now(), request.content);
    if standing != Standing::Clear {
        return true;
    }
    let filter = app.segments.borrow();
    let mut segments = request.segments.iter();
    segments.any(|s| filter.end_count(*s) > 0)
}

/// Records strikes for a failed run once one of its servers is known to have ended: against its
/// content and, if the servers had just begun to write, against the segments of its prompt. Peers
/// receive the strikes with the next message.
pub fn record_run(app: &Rc<App>, run: FailedRun) {
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        let failed_at = app.now();
        let Some(Ended {
            process,
            is_certain,
        }) = find_ended(&app, &run, failed_at).await
        else {
            return;
        };
        if let Some(log) = app.log.logger_for(Topic::Server) {
            info!(log, "request: A server ended under a request."; "request" => &run.request,
                "content" => %run.content.fingerprint, "server" => %process.addr, "process" => %process,
                "certain" => is_certain, "segments" => format_segments(&run.segments),
                "written_ms" => run.written.as_millis() as u64,
                "after_ms" => app.now().ms_since(failed_at));
        }
        strike_content(&app, run.content, &process, failed_at);
        let has_begun = run.was_moved || run.written >= PROOF_WRITTEN;
        if has_begun || run.segments.is_empty() {
            return;
        }
        // A server that is only cut off is no evidence against what many requests share.
        let process = if is_certain {
            Some(process)
        } else {
            watch_ended(&app, &run, failed_at).await
        };
        if let Some(process) = process {
            let content = run.content.fingerprint;
            strike_segments(&app, &run.segments, content, &process, failed_at);
        }
    });
}

/// Records a run that was answered whole. If its servers wrote for a short time only, they may still
/// end a moment later, which counts like a failed run.
pub fn record_finished(app: &Rc<App>, run: FinishedRun) {
    if run.segments.is_empty() || run.written >= PROOF_WRITTEN {
        return;
    }
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        let finished_at = app.now();
        sleep(PROOF_WRITTEN - run.written).await;
        let ended = {
            let fleet = app.fleet.borrow();
            let has_ended =
                |p: &&ServerProcess| fleet.process_state(p, finished_at) == ProcessState::Ended;
            run.processes.iter().find(has_ended).cloned()
        };
        if let Some(ended) = ended {
            let content = run.content.fingerprint;
            return strike_segments(&app, &run.segments, content, &ended, finished_at);
        }
        let first = run.processes.first();
        if first.is_some_and(|p| app.fleet.borrow().is_silent(p.key)) {
            return;
        }
        acquit_segments(&app, &run.segments, finished_at);
    });
}

/// Records that a run with these segments went well.
pub fn acquit_segments(app: &App, segments: &[Fingerprint], at: Moment) {
    let mut filter = app.segments.borrow_mut();
    for segment in segments {
        if filter.record_success(at, *segment)
            && let Some(log) = app.log.logger_for(Topic::Server)
        {
            info!(log, "request: A segment with strikes was acquitted."; "segment" => %segment);
        }
    }
}

fn strike_content(app: &App, content: Content, ended: &ServerProcess, at: Moment) {
    let strike = Strike {
        content,
        vm: ended.to_string(),
        shared: 1,
        at,
    };
    let mut quarantine = app.quarantine.borrow_mut();
    let is_quarantined = quarantine.record_strike(app.now(), &strike);
    metric::count_strike("seen");
    if is_quarantined {
        if let Some(log) = app.log.logger_for(Topic::Server) {
            warn!(log, "request: Content was quarantined after servers died running it.";
                "content" => %content.fingerprint);
        }
        app.quarantined.notify_waiters();
    }
    app.evidence.borrow_mut().record_end(strike.clone());
    app.has_evidence.notify_one();
    app.news.borrow_mut().record_content(strike, is_quarantined);
    app.has_news.notify_one();
    // Single strikes are frequent while servers fail, and the next round is early enough for them.
    if quarantine.death_count(content.fingerprint) >= URGENT_STRIKES {
        app.strike_news.notify_one();
    }
}

fn strike_segments(
    app: &App,
    segments: &[Fingerprint],
    content: Fingerprint,
    ended: &ServerProcess,
    at: Moment,
) {
    let now = app.now();
    let process = ended.to_string();
    let mut evidence = app.evidence.borrow_mut();
    evidence.record_segments(segments, content, process, at);
    app.has_evidence.notify_one();
    let mut filter = app.segments.borrow_mut();
    for segment in segments {
        let strike = SegmentStrike {
            segment: *segment,
            process: ended.to_string(),
            content,
            at,
            is_trial: false,
        };
        let known_ends = filter.end_count(*segment);
        let newly_blocked = filter.record_strike(now, &strike);
        metric::count_segment_strike("seen");
        if newly_blocked && let Some(log) = app.log.logger_for(Topic::Server) {
            warn!(log, "request: A segment was blocked after servers ended on it.";
                "segment" => %segment, "ends" => filter.end_count(*segment));
        }
        if filter.end_count(*segment) > known_ends && filter.is_blocked(now, &[*segment]) {
            app.quarantined.notify_waiters();
        }
        if filter.end_count(*segment) >= URGENT_STRIKES {
            app.strike_news.notify_one();
        }
        app.news.borrow_mut().record_segment(strike, newly_blocked);
        app.has_news.notify_one();
    }
}

/// Formats the segments of a prompt for the log.
pub fn format_segments(segments: &[Fingerprint]) -> String {
    let texts: Vec<String> = segments.iter().map(Fingerprint::to_string).collect();
    texts.join(",")
}

/// A process that has ended.
struct Ended {
    process: ServerProcess,
    /// Whether something shows its end; otherwise it closed a connection and doesn't answer.
    is_certain: bool,
}

/// Returns the first process of a failed run that is found to have ended; `None` if all of them
/// still run or none shows its end within [`WATCH_TIME`].
async fn find_ended(app: &Rc<App>, run: &FailedRun, failed_at: Moment) -> Option<Ended> {
    let first = run.processes.first()?;
    let is_certain = match &run.failure {
        // A server that closes a connection and doesn't answer is taken for ended at once.
        Failure::ConnectionLost => match ask_report(app, first).await {
            ProcessState::Running => None,
            ProcessState::Ended => Some(true),
            ProcessState::Unknown => Some(false),
        },
        Failure::PlainConnectionLost(path) => match check_health(app, first, path).await {
            ProcessState::Running => return None,
            ProcessState::Ended => Some(true),
            ProcessState::Unknown => None,
        },
        Failure::Stalled | Failure::Abandoned => None,
    };
    if let Some(is_certain) = is_certain {
        let process = first.clone();
        return Some(Ended {
            process,
            is_certain,
        });
    }
    let process = watch_ended(app, run, failed_at).await?;
    let is_certain = true;
    Some(Ended {
        process,
        is_certain,
    })
}

/// Watches the processes of a failed run, for [`WATCH_TIME`] at most, until one shows that it has
/// ended.
async fn watch_ended(app: &Rc<App>, run: &FailedRun, failed_at: Moment) -> Option<ServerProcess> {
    let since = match run.failure {
        Failure::Stalled | Failure::Abandoned => failed_at - STALL_REPORT_AGE,
        _ => failed_at,
    };
    // Many callers may leave at once, so that many runs are watched.
    let interval = match run.failure {
        Failure::Abandoned => ABANDONED_INTERVAL,
        _ => WATCH_INTERVAL,
    };
    loop {
        let states: Vec<_> = {
            let fleet = app.fleet.borrow();
            let state = |p: &ServerProcess| fleet.process_state(p, since);
            run.processes.iter().map(state).collect()
        };
        if let Some(i) = states.iter().position(|s| *s == ProcessState::Ended) {
            return Some(run.processes[i].clone());
        }
        let all_run = states.iter().all(|s| *s == ProcessState::Running);
        if all_run || app.now().since(failed_at) >= WATCH_TIME {
            return None;
        }
        sleep(interval).await;
    }
}

/// Asks a process for its report. It has ended if another process answers, or if the connection is
/// refused or closed. One that doesn't answer in time is unknown, one that may not be asked now counts
/// as running.
async fn ask_report(app: &App, process: &ServerProcess) -> ProcessState {
    if app.fleet.borrow().is_paused(app.now(), process.key) {
        return ProcessState::Running;
    }
    match fetch_report(app, process, CallKind::Pooled, REPORT_TIMEOUT).await {
        Ok(_) => ProcessState::Running,
        Err(
            CallError::NoListener(_) | CallError::Lost(_) | CallError::Status(orders::MISDIRECTED),
        ) => ProcessState::Ended,
        Err(_) => ProcessState::Unknown,
    }
}

/// Asks the server of a plain service for its health. It has ended if nothing listens or another
/// server answers; whether it is healthy doesn't matter.
async fn check_health(app: &App, process: &ServerProcess, path: &str) -> ProcessState {
    if app.fleet.borrow().is_paused(app.now(), process.key) {
        return ProcessState::Unknown;
    }
    match call_health(app, process.addr, path, HEALTH_TIMEOUT).await {
        Ok(answer) => match responses::server_id(&answer.headers) {
            Some(id) if id != process.id => ProcessState::Ended,
            _ => ProcessState::Running,
        },
        Err(CallError::NoListener(_)) => ProcessState::Ended,
        Err(_) => ProcessState::Unknown,
    }
}
