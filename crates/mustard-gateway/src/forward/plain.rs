//! Forwards requests on routes that have a single response instead of a stream.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Response, StatusCode};
use ntex::util::Bytes;
use slog::info;
use tokio::time::timeout;

use mustard_adapter::orders::MISDIRECTED;
use mustard_adapter::responses;
use mustard_core::clock::Moment;
use mustard_core::deployment::{RouteKind, ServerKey};
use mustard_policy::backoff::Fault;
use mustard_policy::outlier;

use crate::app::App;
use crate::fleet::{LoadGuard, Presence, Server, ServerProcess};
use crate::log_limit::Topic;
use crate::metric;
use crate::outliers;
use crate::strikes::{self, FailedRun, Failure};

use super::hedging::{self, DueCopy};
use super::plain_server::choose_plain_server;
use super::send::{SendError, Target, send_request};
use super::{AdmittedRequest, ENDS_SERVERS, GatewayResponse, record_served, spend_retry};

/// A request is given up after this many sends that didn't reach the server that was meant.
const MAX_UNSENT: u32 = 3;
/// Retry delay for callers if no server is available or all are full.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A server's complete response.
struct ServerResponse {
    status: u16,
    headers: ntex::http::HeaderMap,
    body: Bytes,
}

/// The result of one send to one server.
struct SendResult {
    server: ServerKey,
    sent_at: Moment,
    processes: Vec<ServerProcess>,
    took: Duration,
    result: Result<ServerResponse, SendError>,
}

/// The sends of one or two copies of a request.
struct Sends {
    /// The results, with that of a successful copy last.
    results: Vec<SendResult>,
    /// The copies that were cancelled as another one succeeded.
    cancelled: u32,
}

/// Serves a request whose response isn't a stream.
pub(super) async fn run(app: &Rc<App>, request: AdmittedRequest) -> Response {
    let left = app.now().until(request.deadline);
    let mut tried = Vec::new();
    match timeout(left, try_servers(app, &request, &mut tried)).await {
        Ok(response) => response,
        Err(_) => {
            if let Some(&server) = tried.last() {
                app.fleet
                    .borrow_mut()
                    .record_fault(app.now(), server, Fault::Broken);
                log_failed_send(app, &request, server, "no answer in time", 0);
                let failure = outlier::Failure::NoAnswer;
                outliers::record_failure(app, &request, &[server], request.arrived, failure);
                hedging::record_time(app, &request, app.now().since(request.arrived));
            }
            metric::count_request("plain", "timeout");
            GatewayResponse::new("timeout", 504)
                .for_request(&request.params)
                .respond(app)
        }
    }
}

/// Sends a request to one server after another until one gives a usable response or no further
/// attempt is allowed; adds each server to `tried`.
async fn try_servers(
    app: &Rc<App>,
    request: &AdmittedRequest,
    tried: &mut Vec<ServerKey>,
) -> Response {
    let repeatable = request.route.kind == RouteKind::Idempotent;
    let mut unsent = 0;
    let mut last_result: Option<Result<ServerResponse, SendError>> = None;
    let mut attempt = 0;
    let mut has_arrived = false;
    while attempt < request.route.max_attempts {
        if let Some(retry_after) = strikes::refusal(app, request) {
            if tried.is_empty() {
                return GatewayResponse::not_run(ENDS_SERVERS, retry_after)
                    .for_request(&request.params)
                    .respond(app);
            }
            break;
        }
        if has_arrived && !spend_retry(app, request) {
            break;
        }
        let Some(target) = choose_server(app, request, tried) else {
            break;
        };
        tried.push(target.server);
        let attempts_left = request.route.max_attempts - attempt - 1;
        let sends = if repeatable && attempts_left > 0 {
            send_hedged(app, request, target, tried, attempts_left).await
        } else {
            let sent = send_once(app, request, target).await;
            record_result(app, request, &sent);
            Sends {
                results: vec![sent],
                cancelled: 0,
            }
        };
        attempt += sends.cancelled;
        has_arrived |= sends.cancelled > 0;
        let mut is_final = false;
        for sent in sends.results {
            match &sent.result {
                Err(SendError::NotSent) => unsent += 1,
                // Another server than the one that was meant turned it away.
                Err(SendError::NotRun(MISDIRECTED, _)) => {
                    unsent += 1;
                    has_arrived = true;
                }
                _ => {
                    attempt += 1;
                    has_arrived = true;
                }
            }
            is_final |= match &sent.result {
                Ok(response) => !repeatable || response.status < 500,
                Err(SendError::Lost | SendError::GivenUp) => !repeatable,
                Err(SendError::NotSent | SendError::NotRun(..)) => false,
            };
            last_result = Some(merge_results(last_result, sent.result));
        }
        if is_final || unsent >= MAX_UNSENT {
            break;
        }
    }
    build_response(app, request, last_result, attempt)
}

/// Returns the result to answer with: that of a send which no server ran doesn't replace one of a send which
/// a server may have run, as callers take it for a guarantee that nothing ran.
fn merge_results(
    last: Option<Result<ServerResponse, SendError>>,
    next: Result<ServerResponse, SendError>,
) -> Result<ServerResponse, SendError> {
    match (last, &next) {
        (
            Some(last @ (Ok(_) | Err(SendError::Lost | SendError::GivenUp))),
            Err(SendError::NotSent | SendError::NotRun(..)),
        ) => last,
        _ => next,
    }
}

/// Sends to a server, and to a second one if the first takes longer than usual. As soon as either succeeds,
/// the other is cancelled; if one fails, the other is waited for.
async fn send_hedged(
    app: &Rc<App>,
    request: &AdmittedRequest,
    target: Target,
    tried: &mut Vec<ServerKey>,
    attempts_left: u32,
) -> Sends {
    let sent_at = app.now();
    let first_server = target.server;
    let mut primary = pin!(send_once(app, request, target));
    let single = |sent: SendResult| {
        record_result(app, request, &sent);
        if is_success(&sent) {
            hedging::record_time(app, request, sent.took);
        }
        Sends {
            results: vec![sent],
            cancelled: 0,
        }
    };
    let Some(delay) = hedging::delay(app, request) else {
        return single(primary.await);
    };
    if let Ok(sent) = timeout(delay.wait, &mut primary).await {
        return single(sent);
    }
    let load = hedging::plain_load(app, &request.service.name);
    let due = DueCopy::new(app, request, "plain", delay, load, attempts_left);
    let Some(second) = choose_second(app, request, tried, first_server, &due) else {
        return single(primary.await);
    };
    tried.push(second.server);
    let mut secondary = pin!(send_once(app, request, second));
    let (sent, is_second) = tokio::select! {
        sent = &mut primary => (sent, false),
        sent = &mut secondary => (sent, true),
    };
    record_result(app, request, &sent);
    let now = app.now();
    if is_success(&sent) {
        // The first copy took at least as long.
        let took = now.since(sent_at);
        hedging::record_time(app, request, took);
        if is_second {
            app.fleet
                .borrow_mut()
                .record_answer(now, first_server, took);
        }
        due.record_winner(is_second, false);
        return Sends {
            results: vec![sent],
            cancelled: 1,
        };
    }
    let other = if is_second {
        primary.await
    } else {
        secondary.await
    };
    record_result(app, request, &other);
    if is_success(&other) {
        hedging::record_time(app, request, app.now().since(sent_at));
        due.record_winner(!is_second, true);
    } else {
        due.record_failure();
    }
    Sends {
        results: vec![sent, other],
        cancelled: 0,
    }
}

fn is_success(sent: &SendResult) -> bool {
    matches!(&sent.result, Ok(response) if response.status < 500)
}

/// Chooses the server of a second copy, in another failure domain if there is one, and takes the copy out of
/// the limits; `None` if they don't allow it.
fn choose_second(
    app: &App,
    request: &AdmittedRequest,
    tried: &[ServerKey],
    first_server: ServerKey,
    due: &DueCopy<'_>,
) -> Option<Target> {
    if !due.is_allowed() {
        return None;
    }
    let domain = app.fleet.borrow().get(first_server).map(|s| s.domain);
    let now = app.now();
    let second = choose_among(app, request, |key, s| {
        s.is_usable(now) && !tried.contains(&key) && Some(s.domain) != domain
    });
    let second = second.or_else(|| {
        choose_among(app, request, |key, s| {
            s.is_usable(now) && !tried.contains(&key)
        })
    });
    let Some(second) = second else {
        due.deny("no other server");
        return None;
    };
    due.spend(second.server).then_some(second)
}

/// A send whose result isn't known yet. If it is dropped before that, as the caller left, the time was over
/// or another server was faster, it counts as a failed run once its server turns out to have ended.
struct OpenRun {
    app: Rc<App>,
    run: Option<FailedRun>,
}

impl OpenRun {
    fn new(app: &Rc<App>, request: &AdmittedRequest, processes: &[ServerProcess]) -> Self {
        OpenRun {
            app: Rc::clone(app),
            run: Some(failed_run(request, processes, Failure::Abandoned)),
        }
    }

    fn conclude(mut self) {
        self.run = None;
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            strikes::record_run(&self.app, run);
        }
    }
}

fn failed_run(
    request: &AdmittedRequest,
    processes: &[ServerProcess],
    failure: Failure,
) -> FailedRun {
    FailedRun {
        content: request.content,
        segments: Rc::clone(&request.segments),
        written: Duration::ZERO,
        was_moved: false,
        request: request.params.id.clone(),
        processes: processes.to_vec(),
        failure,
    }
}

async fn send_once(app: &Rc<App>, request: &AdmittedRequest, target: Target) -> SendResult {
    let server = target.server;
    let sent_at = app.now();
    let open_run = OpenRun::new(app, request, &target.processes);
    let _load = LoadGuard::begin(app, std::iter::once((server, 1.0)));
    let response = async {
        let mut head = send_request(app, request, &target, None).await?;
        let body = head.read_body(app).await?;
        Ok(ServerResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    let result = response.await;
    open_run.conclude();
    SendResult {
        server,
        sent_at,
        took: app.now().since(sent_at),
        result,
        processes: target.processes,
    }
}

/// Records the result of a send at its server and for the request's content; logs a failure.
fn record_result(app: &Rc<App>, request: &AdmittedRequest, sent: &SendResult) {
    let now = app.now();
    let mut fleet = app.fleet.borrow_mut();
    let cause = match &sent.result {
        Ok(response) if response.status < 500 => {
            if let Some(server) = fleet.get_mut(sent.server) {
                server.backoff.clear();
            }
            fleet.record_answer(now, sent.server, sent.took);
            let content = request.content;
            app.quarantine.borrow_mut().record_success(now, content);
            drop(fleet);
            let path = std::iter::once(sent.server);
            outliers::record_success(app, &request.service.name, path, sent.sent_at);
            return;
        }
        Ok(_) => "error answer",
        Err(SendError::NotSent) => {
            fleet.record_fault(now, sent.server, Fault::Silent);
            "not sent"
        }
        Err(SendError::NotRun(status, _)) => {
            hedging::record_refusal(app, request, *status);
            fleet.record_fault(now, sent.server, Fault::Full);
            "not run"
        }
        Err(SendError::Lost | SendError::GivenUp) => {
            fleet.record_fault(now, sent.server, Fault::Broken);
            "lost"
        }
    };
    drop(fleet);
    let failure = match sent.result {
        Ok(_) => Some(outlier::Failure::ServerError),
        Err(SendError::Lost) => Some(outlier::Failure::Reset),
        Err(SendError::GivenUp) => Some(outlier::Failure::NoAnswer),
        Err(SendError::NotSent | SendError::NotRun(..)) => None,
    };
    if let Some(failure) = failure {
        outliers::record_failure(app, request, &[sent.server], sent.sent_at, failure);
    }
    if matches!(sent.result, Err(SendError::Lost)) {
        let failure = Failure::PlainConnectionLost(request.service.health_path.clone());
        let run = failed_run(request, &sent.processes, failure);
        strikes::record_run(app, run);
    }
    let status = sent.result.as_ref().map_or(0, |r| r.status);
    log_failed_send(app, request, sent.server, cause, status);
}

fn log_failed_send(
    app: &App,
    request: &AdmittedRequest,
    server: ServerKey,
    cause: &str,
    status: u16,
) {
    if let Some(log) = app.log.logger_for(Topic::Attempt) {
        info!(log, "request: An attempt failed."; "request" => &request.params.id,
            "server" => app.fleet.borrow().format_server(server), "cause" => cause, "status" => status,
            "took_ms" => app.now().ms_since(request.arrived));
    }
}

/// Chooses a server among those not tried, which counts the request.
fn choose_server(app: &App, request: &AdmittedRequest, tried: &[ServerKey]) -> Option<Target> {
    let now = app.now();
    let is_new = |key| !tried.contains(&key);
    // Servers that failed or refused lately are used if there are no others, and ejected ones only after them.
    // That another row names a server's address keeps it out of use only once something else has answered there, as
    // a request that names the server runs nowhere else.
    let is_fallback = |s: &Server| {
        s.is_last_resort(now)
            || (s.is_ready()
                && s.presence != Presence::Replaced
                && s.missing_since.is_none()
                && s.is_confirmed(now)
                && !s.is_paused(now))
    };
    choose_among(app, request, |key, s| is_new(key) && s.is_usable(now))
        .or_else(|| {
            let in_use = |s: &Server| s.standing.takes_requests(now);
            choose_among(app, request, |key, s| {
                is_new(key) && is_fallback(s) && in_use(s)
            })
        })
        .or_else(|| choose_among(app, request, |key, s| is_new(key) && is_fallback(s)))
}

/// Chooses a server among those that a filter admits and that take a request now, which counts the request.
fn choose_among(
    app: &App,
    request: &AdmittedRequest,
    is_admitted: impl Fn(ServerKey, &Server) -> bool,
) -> Option<Target> {
    let now = app.now();
    let key = choose_plain_server(app, &request.service.name, now, |key, s| {
        s.takes_requests(now) && is_admitted(key, s)
    })?;
    let mut fleet = app.fleet.borrow_mut();
    let server = fleet.get(key)?;
    let target = Target {
        server: key,
        addr: server.entry.addr,
        identity: server.entry.id.clone(),
        processes: vec![server.process(key)],
        path: Vec::new(),
        crossings: 0,
    };
    fleet.take_request(now, key);
    fleet.begin_trials(now, std::iter::once(key));
    Some(target)
}

fn build_response(
    app: &Rc<App>,
    request: &AdmittedRequest,
    last_result: Option<Result<ServerResponse, SendError>>,
    attempts: u32,
) -> Response {
    match last_result {
        Some(Ok(response)) => {
            record_served(app, request, "plain", attempts);
            metric::record_first_response("plain", app.now().since(request.arrived));
            let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut out = Response::build(status);
            for (name, value) in responses::forwarded_headers(&response.headers) {
                out.header(name, value);
            }
            if app.stop.is_set() {
                out.force_close();
            }
            out.body(response.body)
        }
        Some(Err(SendError::Lost | SendError::GivenUp)) => {
            metric::count_request("plain", "lost");
            GatewayResponse::new("no answer of the server", 502)
                .for_request(&request.params)
                .respond(app)
        }
        Some(Err(SendError::NotSent | SendError::NotRun(..))) | None => {
            metric::count_request("plain", "refused");
            let now = app.now();
            let pause_end = app.fleet.borrow().pause_end(&request.service.name, now);
            let retry_after = pause_end.map_or(BUSY_RETRY_AFTER, |end| now.until(end));
            GatewayResponse::not_run(
                "servers full or out of reach",
                retry_after.max(BUSY_RETRY_AFTER),
            )
            .for_request(&request.params)
            .respond(app)
        }
    }
}
