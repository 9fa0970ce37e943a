//! Opens a stream: chooses a path, sends the request, and retries over other servers.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::HeaderMap;
use ntex::util::Bytes;
use slog::info;
use tokio::sync::Notify;
use tokio::time::timeout;

use mustard_core::clock::Moment;
use mustard_core::deployment::{PathPart, RouteKind, ServerKey};
use mustard_policy::backoff::Fault;
use mustard_policy::hedge::Delay;
use mustard_policy::outlier;
use mustard_policy::pipeline::{
    LayerHolder, Path, PrefillView, RequestDemand, choose_path, choose_soonest,
};
use mustard_policy::stall::Progress;

use crate::active_streams::{ActiveStream, ActiveStreamGuard};
use crate::app::App;
use crate::crossing_share::is_scarce;
use crate::fleet::{Fleet, LoadGuard, RequestRoom, Server, ServerFilter};
use crate::log_limit::Topic;
use crate::moves;
use crate::outliers;
use crate::server_probe::probe_faulty_server;
use crate::strikes::{self, Failure, format_segments};

use super::events::EventParser;
use super::hedging::{self, DueCopy, WaitGuard};
use super::plain_server::choose_plain_server;
use super::send::{BODY_TIMEOUT, BodyChunk, ResponseHead, SendError, Target, send_request};
use super::waiting::{self, Wait};
use super::{AdmittedRequest, memory_per_server, memory_tokens, spend_retry};

/// How long a request waits for a path, as a share of the route's target time to the first event.
pub(super) const PATH_WAIT_SHARE: f64 = 0.5;
/// The least time between two searches for a path.
pub(super) const MIN_WAIT: Duration = Duration::from_millis(5);
/// The longest time between two searches for a path.
const SEARCH_INTERVAL: Duration = Duration::from_millis(80);
/// A request is given up after this many sends that no server ran.
const MAX_UNRUN_SENDS: u32 = 4;

/// An attempt whose response has begun.
pub(super) struct ActiveAttempt {
    pub(super) head: ResponseHead,
    pub(super) parser: EventParser,
    pub(super) guard: ActiveStreamGuard,
    /// Notified when the stream watch finds that the attempt is to be abandoned.
    pub(super) abandon: Rc<Notify>,
    /// The first server of the path, to which the request was sent.
    pub(super) first_server: ServerKey,
}

/// How a request was answered.
pub(super) enum Opened {
    /// By a stream, which has begun.
    Stream(Box<ActiveAttempt>),
    /// By a complete response that is no success.
    Failure(FailureResponse),
}

/// A server's complete response that is no success.
pub(super) struct FailureResponse {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Why no attempt brought a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OpenError {
    /// No path over usable servers.
    NoPath,
    /// No server ran the request: they refused it or could not be reached.
    NotRun,
    /// The response was lost; a server may have run the request.
    Lost,
    /// No server ran the request, and its content or a segment of its prompt ends servers; the caller
    /// may try again after this time.
    Quarantined(Duration),
}

/// The attempts of one request.
#[derive(Clone, Default)]
pub(super) struct Attempts {
    /// The number of sends that a server may have run.
    pub(super) possible_runs: u32,
    /// The number of sends that no server ran.
    pub(super) unrun_sends: u32,
    /// The servers that are probably at fault for earlier failed attempts. Whether they are is
    /// known only once they have sent a report, and the next attempt doesn't wait for that.
    pub(super) avoid: Vec<ServerKey>,
    /// The first servers of earlier attempts that were lost before an answer; the next attempt goes to
    /// another server, if there is one.
    pub(super) lost: Vec<ServerKey>,
    /// The id of the last event that the caller got if the next attempt resumes the stream, by which the
    /// tokens to be processed again are counted.
    pub(super) tokens_sent: Option<u64>,
    /// Whether the caller's response has begun, which only a stream can continue.
    pub(super) is_resuming: bool,
    /// The servers of each copy whose answer is waited for, and when it was sent.
    pub(super) current: Vec<(Vec<ServerKey>, Moment)>,
}

impl Attempts {
    /// Records that a copy is sent, until it is concluded.
    fn begin_copy(&mut self, now: Moment, target: &Target) {
        self.current.push((target.keys().collect(), now));
    }
}

/// Sends the request until a server begins a stream, has sent a complete other response, or no further attempt is
/// allowed. With `last_event`, the stream resumes after the event with that id.
///
/// The caller limits the time of the whole; nothing of the response but a stream is left to be read afterwards.
pub(super) async fn open_stream(
    app: &Rc<App>,
    request: &AdmittedRequest,
    attempts: &mut Attempts,
    last_event: Option<u64>,
) -> Result<Opened, OpenError> {
    loop {
        if let Some(retry_after) = strikes::refusal(app, request) {
            return Err(if attempts.possible_runs > 0 {
                OpenError::Lost
            } else {
                OpenError::Quarantined(retry_after)
            });
        }
        let waiting = WaitGuard::begin(app, &request.service.name);
        let found = match request.priority {
            Some(priority) => {
                let wait = Wait {
                    request,
                    priority,
                    attempts,
                    is_first: attempts.possible_runs + attempts.unrun_sends == 0,
                    is_resumed: last_event != request.params.last_event,
                };
                wait.wait_for_path(app).await
            }
            None => wait_for_path(app, request, attempts).await,
        };
        drop(waiting);
        let Some((target, demand)) = found else {
            return Err(if attempts.possible_runs > 0 {
                OpenError::Lost
            } else {
                OpenError::NoPath
            });
        };
        let is_retry = attempts.possible_runs + attempts.unrun_sends > 0;
        if is_retry && !spend_retry(app, request) {
            return Err(if attempts.possible_runs > 0 {
                OpenError::Lost
            } else {
                OpenError::NotRun
            });
        }
        let copy = send_copies(app, request, attempts, target, demand, last_event).await;
        let Some(concluded) = conclude_copy(app, request, attempts, copy) else {
            continue;
        };
        let attempt = concluded?;
        if attempt.head.is_success() {
            return Ok(Opened::Stream(Box::new(attempt)));
        }
        if attempts.is_resuming {
            return Err(OpenError::Lost);
        }
        if let Some(end) = read_failure(app, request, attempts, attempt).await {
            return end;
        }
    }
}

/// Reads the body of a response that is no success. Returns the response, or the error if its body was lost and no
/// further attempt is allowed; `None` if the request may be sent again.
async fn read_failure(
    app: &Rc<App>,
    request: &AdmittedRequest,
    attempts: &mut Attempts,
    attempt: ActiveAttempt,
) -> Option<Result<Opened, OpenError>> {
    let ActiveAttempt {
        mut head,
        guard,
        abandon,
        first_server,
        ..
    } = attempt;
    let is_repeatable = matches!(request.route.kind, RouteKind::Stream { resumable: true });
    let may_retry = is_repeatable && attempts.possible_runs < request.route.max_attempts;
    let limit = if may_retry {
        BODY_TIMEOUT
    } else {
        Duration::MAX
    };
    // The failure itself counts against the servers if its status is from 500 on.
    let path = guard.servers().filter(|_| head.status < 500);
    let path = path.map(|(path, sent_at, _)| (path, sent_at));
    attempts.current.extend(path.clone());
    let body = tokio::select! {
        body = timeout(limit, head.read_body(app)) => body.unwrap_or(Err(SendError::Lost)),
        () = abandon.notified() => Err(SendError::GivenUp),
    };
    if path.is_some() {
        attempts.current.pop();
    }
    let error = match body {
        Ok(body) => {
            return Some(Ok(Opened::Failure(FailureResponse {
                status: head.status,
                headers: head.headers,
                body,
            })));
        }
        Err(error) => error,
    };
    if let Some((path, sent_at)) = path {
        let failure = outlier::Failure::EndedEarly;
        outliers::record_failure(app, request, &path, sent_at, failure);
    }
    log_failed_attempt(app, request, first_server, "body of a failure lost");
    attempts
        .avoid
        .extend(record_faulty_server(app, first_server, error));
    attempts.lost.push(first_server);
    (!may_retry).then_some(Err(OpenError::Lost))
}

/// One copy of a request that was sent, with its response once that has begun.
struct StreamCopy {
    result: Result<ResponseHead, SendError>,
    parser: EventParser,
    guard: ActiveStreamGuard,
    abandon: Rc<Notify>,
    first_server: ServerKey,
    /// The servers of its path and when it was sent to them; of the path that it was moved to last, if any.
    path: Vec<ServerKey>,
    sent_at: Moment,
    /// The failure that is recorded at its servers if its response was lost.
    lost_as: outlier::Failure,
}

impl StreamCopy {
    /// Returns whether its stream has begun.
    fn has_begun(&self) -> bool {
        self.result.as_ref().is_ok_and(ResponseHead::is_success)
    }
}

/// Sends one copy of a request, and reads the head of the response, with `reads_event` also the first event.
/// `attempts_left` counts the attempts that the route allows, this one included.
async fn send_copy(
    app: &Rc<App>,
    request: &AdmittedRequest,
    target: &Target,
    demand: RequestDemand,
    last_event: Option<u64>,
    reads_event: bool,
    attempts_left: u32,
) -> StreamCopy {
    let first_server = target.server;
    let abandon = Rc::new(Notify::new());
    let now = app.now();
    let repeatable = matches!(request.route.kind, RouteKind::Stream { resumable: true });
    let may_restart = repeatable && attempts_left > 1;
    // A request of a plain service takes one slot of its server.
    let plain = target.path.is_empty().then_some((first_server, 1.0));
    let load = memory_per_server(&target.path, &demand).chain(plain);
    let stream = ActiveStream {
        id: request.params.id.clone(),
        service: request.service.name.clone(),
        parts: target.path.clone(),
        processes: target.processes.clone(),
        content: request.content,
        segments: Rc::clone(&request.segments),
        rank: request.priority.map_or(0, |p| p.rank),
        tokens_sent: last_event.unwrap_or(0),
        may_restart,
        moves: 0,
        demand,
        crossings: target.crossings,
        sent_at: now,
        target_latency: request.route.target_latency,
        progress: Progress::start(now),
        abandon: Rc::clone(&abandon),
        moving: false,
        load: LoadGuard::begin(app, load),
    };
    let guard = ActiveStreamGuard::register(app, stream);
    log_chosen_path(app, request, target, last_event);
    let mut parser = EventParser::default();
    let mut lost_as = outlier::Failure::Reset;
    let begin = async {
        let mut head = send_request(app, request, target, last_event).await?;
        if reads_event && head.is_success() {
            let read = read_first_event(app, &mut head, &mut parser).await;
            read.map_err(|failure| {
                lost_as = failure;
                SendError::Lost
            })?;
        }
        Ok(head)
    };
    let result = tokio::select! {
        result = begin => result,
        () = abandon.notified() => Err(SendError::GivenUp),
    };
    // A copy may have been moved to another path while its first event was awaited.
    let used = guard.servers().map(|(path, at, _)| (path, at));
    let (path, sent_at) = used.unwrap_or_else(|| (target.keys().collect(), now));
    StreamCopy {
        result,
        parser,
        guard,
        abandon,
        first_server,
        path,
        sent_at,
        lost_as,
    }
}

/// Reads until the first event is complete; returns the failure of the first server if it never is.
async fn read_first_event(
    app: &App,
    head: &mut ResponseHead,
    parser: &mut EventParser,
) -> Result<(), outlier::Failure> {
    while !parser.has_event() {
        match head.next_chunk().await {
            BodyChunk::Bytes(bytes) if !parser.push(app.now(), &bytes) => {}
            BodyChunk::Bytes(_) | BodyChunk::End => return Err(outlier::Failure::Invalid),
            BodyChunk::Failed => return Err(outlier::Failure::Reset),
        }
    }
    Ok(())
}

/// Sends a request over a path and, if streams get second copies and its first event takes longer than usual,
/// over a second one. Returns the copy that began first, or else the one that failed last; the other one is
/// cancelled or concluded.
async fn send_copies(
    app: &Rc<App>,
    request: &AdmittedRequest,
    attempts: &mut Attempts,
    target: Target,
    demand: RequestDemand,
    last_event: Option<u64>,
) -> StreamCopy {
    let sent_at = app.now();
    attempts.begin_copy(sent_at, &target);
    let repeatable = matches!(request.route.kind, RouteKind::Stream { resumable: true });
    let may_copy = repeatable && last_event.is_none() && hedging::includes_streams(app);
    let attempts_left = request
        .route
        .max_attempts
        .saturating_sub(attempts.possible_runs);
    let mut primary = pin!(send_copy(
        app,
        request,
        &target,
        demand,
        last_event,
        may_copy,
        attempts_left
    ));
    let Some(delay) = hedging::delay(app, request).filter(|_| may_copy) else {
        return primary.await;
    };
    if let Ok(copy) = timeout(delay.wait, &mut primary).await {
        record_begin(app, request, &copy, sent_at);
        return copy;
    }
    let Some((second, due)) = find_second_path(app, request, attempts, &target, &demand, delay)
    else {
        let copy = primary.await;
        record_begin(app, request, &copy, sent_at);
        return copy;
    };
    attempts.begin_copy(app.now(), &second);
    let left = attempts_left.saturating_sub(1);
    let mut secondary = pin!(send_copy(
        app, request, &second, demand, last_event, true, left
    ));
    let (copy, is_second) = tokio::select! {
        copy = &mut primary => (copy, false),
        copy = &mut secondary => (copy, true),
    };
    record_begin(app, request, &copy, sent_at);
    if copy.has_begun() {
        // A server may have run the copy that is cancelled.
        attempts.possible_runs += 1;
        attempts.current.clear();
        due.record_winner(is_second, false);
        return copy;
    }
    // The other copy may still begin, also if the limit of attempts is reached.
    let _ = conclude_copy(app, request, attempts, copy);
    let other = if is_second {
        primary.await
    } else {
        secondary.await
    };
    record_begin(app, request, &other, sent_at);
    if other.has_begun() {
        due.record_winner(!is_second, true);
    } else {
        due.record_failure();
    }
    other
}

/// Records the time to the first event of a copy that has begun. A copy that is cancelled would have taken at
/// least as long.
fn record_begin(app: &App, request: &AdmittedRequest, copy: &StreamCopy, sent_at: Moment) {
    if copy.has_begun() {
        hedging::record_time(app, request, app.now().since(sent_at));
    }
}

/// Records the end of a copy, or the begin of its response. Returns the response, or the error if no further
/// attempt is allowed; `None` if the request may be sent again.
fn conclude_copy(
    app: &Rc<App>,
    request: &AdmittedRequest,
    attempts: &mut Attempts,
    copy: StreamCopy,
) -> Option<Result<ActiveAttempt, OpenError>> {
    let repeatable = matches!(request.route.kind, RouteKind::Stream { resumable: true });
    let StreamCopy {
        result,
        parser,
        guard,
        abandon,
        first_server,
        path,
        sent_at,
        lost_as,
    } = copy;
    attempts
        .current
        .retain(|(p, _)| p.first() != Some(&first_server));
    let record_failure = |failure| outliers::record_failure(app, request, &path, sent_at, failure);
    match result {
        Ok(head) => {
            attempts.possible_runs += 1;
            if !head.is_success() {
                guard.conclude();
            }
            if head.status >= 500 {
                record_failure(outlier::Failure::ServerError);
            }
            let failed = repeatable && head.status >= 500;
            if failed {
                let cause = format!("status {}", head.status);
                log_failed_attempt(app, request, first_server, &cause);
            }
            if !failed || attempts.possible_runs >= request.route.max_attempts {
                return Some(Ok(ActiveAttempt {
                    head,
                    parser,
                    guard,
                    abandon,
                    first_server,
                }));
            }
        }
        Err(error) => {
            let failure = match error {
                SendError::Lost => Some(Failure::ConnectionLost),
                SendError::GivenUp => Some(Failure::Stalled),
                SendError::NotSent | SendError::NotRun(..) => {
                    guard.conclude();
                    moves::cancel_work(app, &request.params.id);
                    None
                }
            };
            if let Some(run) = failure.and_then(|f| guard.failed_run(f)) {
                strikes::record_run(app, run);
            }
            drop(guard);
            match error {
                SendError::Lost => {
                    if lost_as == outlier::Failure::Reset {
                        attempts.lost.push(first_server);
                    }
                    record_failure(lost_as);
                }
                SendError::GivenUp => record_failure(outlier::Failure::NoAnswer),
                SendError::NotRun(status, _) => hedging::record_refusal(app, request, status),
                SendError::NotSent => {}
            }
            attempts
                .avoid
                .extend(record_faulty_server(app, first_server, error));
            waiting::log_full_server(app, request, first_server, error);
            log_failed_attempt(app, request, first_server, &format!("{error:?}"));
            match error {
                SendError::NotSent | SendError::NotRun(..) => attempts.unrun_sends += 1,
                SendError::Lost | SendError::GivenUp => attempts.possible_runs += 1,
            }
            let exhausted = attempts.possible_runs >= request.route.max_attempts
                || attempts.unrun_sends >= MAX_UNRUN_SENDS;
            if attempts.possible_runs > 0 && (exhausted || !repeatable) {
                return Some(Err(OpenError::Lost));
            }
            if exhausted {
                return Some(Err(OpenError::NotRun));
            }
        }
    }
    None
}

/// Returns the target of a second copy, if the limits allow it; the copy is taken out of them. It is another
/// server, in another failure domain if there is one, and for an engine a path over other servers if there is one.
fn find_second_path<'a>(
    app: &'a App,
    request: &'a AdmittedRequest,
    attempts: &Attempts,
    first: &Target,
    demand: &RequestDemand,
    delay: Delay,
) -> Option<(Target, DueCopy<'a>)> {
    let now = app.now();
    let service = &request.service;
    let runs = attempts.possible_runs + 1;
    let attempts_left = request.route.max_attempts.saturating_sub(runs);
    let is_avoided = |key: &ServerKey| attempts.avoid.contains(key) || attempts.lost.contains(key);
    let domain = app.fleet.borrow().get(first.server).map(|s| s.domain);
    let deny =
        |reason| DueCopy::new(app, request, "stream", delay, 1.0, attempts_left).deny(reason);
    let (path, crossings, server, load) = match &service.engine {
        Some(engine) => {
            let gateways = app.gateway_count() as f64;
            let fleet = app.fleet.borrow();
            let room = request.priority.map(|p| RequestRoom {
                tokens: memory_tokens(demand),
                rank: p.rank,
            });
            let filter = ServerFilter::Listed;
            let mut holders =
                fleet.holders_with_room(&service.name, engine, now, gateways, filter, room);
            drop(fleet);
            holders.retain(|h| !is_avoided(&h.server));
            let choose = |is_admitted: &dyn Fn(&LayerHolder) -> bool| {
                let admitted: Vec<LayerHolder> =
                    holders.iter().filter(|h| is_admitted(h)).cloned().collect();
                choose_path(engine, &admitted, demand, &mut *app.rng.borrow_mut())
            };
            let is_used = |h: &LayerHolder| first.path.iter().any(|p| p.server == h.server);
            let chosen = choose(&|h| Some(h.domain) != domain && !is_used(h))
                .or_else(|| choose(&|h| !is_used(h)))
                .or_else(|| choose(&|h| h.server != first.server));
            let Some(chosen) = chosen else {
                deny("no other path");
                return None;
            };
            let on_path = |h: &&LayerHolder| chosen.parts.iter().any(|p| p.server == h.server);
            let loads = holders.iter().filter(on_path).map(|h| h.memory_share);
            let load = loads.fold(0.0, f64::max);
            let server = chosen.parts.first()?.server;
            (chosen.parts, chosen.crossings, server, load)
        }
        None => {
            let may_take = |key: ServerKey, s: &Server| {
                let is_other = key != first.server && !is_avoided(&key);
                is_other && s.is_usable(now) && s.takes_requests(now)
            };
            let is_far = |key, s: &Server| may_take(key, s) && Some(s.domain) != domain;
            let key = choose_plain_server(app, &service.name, now, is_far)
                .or_else(|| choose_plain_server(app, &service.name, now, may_take));
            let Some(key) = key else {
                deny("no other server");
                return None;
            };
            let load = hedging::plain_load(app, &service.name);
            (Vec::new(), 0, key, load)
        }
    };
    let due = DueCopy::new(app, request, "stream", delay, load, attempts_left);
    if !due.is_allowed() {
        return None;
    }
    let Some(target) = take_target(app, request, server, path, crossings) else {
        due.deny("crossings");
        return None;
    };
    due.spend(target.server).then_some((target, due))
}

/// Records a failed send at the server that is probably at fault, and returns that server, which
/// the request is to avoid from now on.
///
/// Which server is at fault can only be guessed here, so the server is asked for a report.
pub(super) fn record_faulty_server(
    app: &Rc<App>,
    first_server: ServerKey,
    error: SendError,
) -> Option<ServerKey> {
    let now = app.now();
    let (server, fault) = match error {
        SendError::NotSent => (first_server, Some(Fault::Full)),
        SendError::NotRun(421, named) => {
            (named.unwrap_or(first_server), Some(Fault::LayersMissing))
        }
        SendError::NotRun(_, named) => {
            let server = named.unwrap_or(first_server);
            app.fleet.borrow_mut().record_refusal(now, server);
            (server, None)
        }
        SendError::Lost => (first_server, None),
        SendError::GivenUp => return None,
    };
    if let Some(fault) = fault {
        app.fleet.borrow_mut().record_fault(now, server, fault);
    }
    probe_faulty_server(app, server);
    Some(server)
}

/// Waits until there is a path; `None` if there is none within the time that a request may wait.
async fn wait_for_path(
    app: &Rc<App>,
    request: &AdmittedRequest,
    attempts: &Attempts,
) -> Option<(Target, RequestDemand)> {
    let until = request.arrived + request.route.target_latency.mul_f64(PATH_WAIT_SHARE);
    loop {
        let changed = app.changed.notified();
        if let Some(found) = find_path(app, request, attempts, None) {
            return Some(found);
        }
        let now = app.now();
        let left = now.until(until);
        let (limit_wait, is_limited) = {
            let fleet = app.fleet.borrow();
            let service = &request.service.name;
            (
                fleet.limit_wait(service, now),
                fleet.is_limited(service, now),
            )
        };
        if left.is_zero() || (is_limited && limit_wait.is_none_or(|w| w > left)) {
            return None;
        }
        // Whether this ends by a change or by the time, the next search shows what there is. Backoffs
        // end and budgets grow without a change.
        let wait = limit_wait.map_or(SEARCH_INTERVAL, |w| w.max(MIN_WAIT));
        let wait = wait.min(left);
        let _ = timeout(wait, changed).await;
    }
}

/// Returns the server to send to, which counts the request, with the path if the service has an engine; `None` if no usable
/// servers form one. With `rank`, the number of more urgent priorities, only servers with room for the
/// request are used.
pub(super) fn find_path(
    app: &App,
    request: &AdmittedRequest,
    attempts: &Attempts,
    rank: Option<usize>,
) -> Option<(Target, RequestDemand)> {
    let now = app.now();
    let gateways = app.gateway_count() as f64;
    let domain = app.fleet.borrow_mut().domain_index(&app.node.domain);
    let demand = request.demand(domain);
    let sent = attempts.tokens_sent.filter(|_| {
        let engine = request.service.engine.as_ref();
        engine.is_some_and(|e| is_scarce(app, e, &request.service.name))
    });
    let rest = sent.map(|sent| moves::remaining_demand(&demand, sent));
    if rest.is_some() {
        moves::cancel_work(app, &request.params.id);
    }
    let mut work = Vec::new();
    let fleet = app.fleet.borrow();
    let (path, crossings) = match &request.service.engine {
        Some(engine) => {
            let mut rng = app.rng.borrow_mut();
            let room = rank.map(|rank| RequestRoom {
                tokens: memory_tokens(&demand),
                rank,
            });
            let mut choose = |filter, avoid: &[ServerKey]| {
                let service = &request.service.name;
                let mut holders =
                    fleet.holders_with_room(service, engine, now, gateways, filter, room);
                holders.retain(|h| !avoid.contains(&h.server));
                let Some(rest) = &rest else {
                    return choose_path(engine, &holders, &demand, &mut *rng);
                };
                let view = PrefillView {
                    engine,
                    holders: &holders,
                    load: &app.prefill.borrow(),
                    gateways,
                    now,
                };
                let predicted = choose_soonest(&view, rest, &mut *rng)?;
                work = predicted.work;
                Some(predicted.path)
            };
            let chosen = choose_over_tiers(&fleet, attempts, &mut choose)?;
            (chosen.parts, chosen.crossings)
        }
        None => (Vec::new(), 0),
    };
    let first_server = match path.first() {
        Some(part) => part.server,
        None => {
            let service = &request.service.name;
            let may_take = |s: &Server| s.takes_requests(now) && s.is_usable(now);
            let is_last =
                |s: &Server| s.takes_requests(now) && s.is_present(now) && s.is_last_resort(now);
            let is_new = |key| !attempts.avoid.contains(&key);
            let has_lost = |key| attempts.lost.contains(&key);
            let choose = |is_admitted: &dyn Fn(ServerKey, &Server) -> bool| {
                choose_plain_server(app, service, now, is_admitted)
            };
            // A server that lost an earlier attempt is used only if there is no other, ejected ones included.
            choose(&|key, s| may_take(s) && is_new(key) && !has_lost(key))
                .or_else(|| choose(&|key, s| may_take(s) && !has_lost(key)))
                .or_else(|| choose(&|key, s| is_last(s) && !has_lost(key)))
                .or_else(|| choose(&|_, s| may_take(s)))
                .or_else(|| choose(&|_, s| is_last(s)))?
        }
    };
    drop(fleet);
    let target = take_target(app, request, first_server, path, crossings)?;
    if rest.is_some() {
        moves::record_work(app, &request.params.id, &work);
    }
    Some((target, demand))
}

/// Returns a server with the path to send to, which counts the request; `None` if it is no longer listed, or if
/// the path crosses between failure domains more often than this gateway may.
fn take_target(
    app: &App,
    request: &AdmittedRequest,
    first_server: ServerKey,
    path: Vec<PathPart>,
    crossings: u32,
) -> Option<Target> {
    let fleet = app.fleet.borrow();
    let server = fleet.get(first_server)?;
    let later = path.iter().skip(1).map(|p| p.server);
    let target = Target {
        server: first_server,
        addr: server.entry.addr,
        identity: server.entry.id.clone(),
        processes: fleet.processes(std::iter::once(first_server).chain(later)),
        path,
        crossings,
    };
    drop(fleet);
    if let Some(engine) = &request.service.engine
        && !app.take_crossings(engine, &request.service.name, &request.params.id, crossings)
    {
        return None;
    }
    let now = app.now();
    let mut fleet = app.fleet.borrow_mut();
    fleet.take_request(now, first_server);
    fleet.begin_trials(now, target.keys());
    drop(fleet);
    Some(target)
}

/// Returns the first path that there is, over ever more servers: at first none that failed earlier attempts,
/// then those that refused them, those whose rows are missing, and those that are ejected. A server that
/// lost an earlier attempt is used only if it is the last one for some layer.
fn choose_over_tiers(
    fleet: &Fleet,
    attempts: &Attempts,
    mut choose: impl FnMut(ServerFilter, &[ServerKey]) -> Option<Path>,
) -> Option<Path> {
    let Attempts { avoid, lost, .. } = attempts;
    let has_ejected = fleet.ejected_count() > 0;
    let mut chosen = choose(ServerFilter::Listed, avoid);
    if chosen.is_none() && avoid != lost {
        chosen = choose(ServerFilter::Listed, lost);
    }
    chosen = chosen.or_else(|| choose(ServerFilter::IncludeMissing, lost));
    if has_ejected {
        chosen = chosen.or_else(|| choose(ServerFilter::LastResort, lost));
    }
    if chosen.is_some() || lost.is_empty() || choose(ServerFilter::Present, lost).is_some() {
        return chosen;
    }
    choose(ServerFilter::LastResort, &[])
}

fn log_chosen_path(app: &App, request: &AdmittedRequest, target: &Target, last_event: Option<u64>) {
    if let Some(log) = app.log.logger_for(Topic::Chosen) {
        let version = app.config().map_or(0, |c| c.version);
        let path = target.path.iter().map(|p| p.server);
        let load_ms = app.fleet.borrow().load_age(app.now(), path);
        info!(log, "request: Path chosen."; "request" => &request.params.id,
            "service" => &request.service.name, "first" => %target.addr,
            "servers" => format_servers(&target.path), "crossings" => target.crossings,
            "segments" => format_segments(&request.segments),
            "after" => last_event, "config" => version, "view_ms" => app.list_age_ms(),
            "load_ms" => load_ms.map(|age| age.as_millis() as u64),
            "waited_ms" => app.now().ms_since(request.arrived));
    }
}

/// Formats the servers of a path after the first one, each with the layers that it runs.
fn format_servers(path: &[PathPart]) -> String {
    let parts = path.iter().skip(1);
    let parts = parts.map(|p| format!("{}/{}", p.addr, p.layers));
    parts.collect::<Vec<_>>().join(",")
}

pub(super) fn log_failed_attempt(
    app: &App,
    request: &AdmittedRequest,
    first_server: ServerKey,
    cause: &str,
) {
    if let Some(log) = app.log.logger_for(Topic::Attempt) {
        info!(log, "request: An attempt failed."; "request" => &request.params.id,
            "server" => app.fleet.borrow().format_server(first_server), "cause" => cause,
            "took_ms" => app.now().ms_since(request.arrived));
    }
}
