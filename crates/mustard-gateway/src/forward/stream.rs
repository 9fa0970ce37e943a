//! Forwards streams of events, and resumes them on other servers when an attempt ends early.

use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::http::header::{CONTENT_TYPE, HeaderValue};
use ntex::http::{HeaderMap, Response, ResponseBuilder, StatusCode};
use ntex::io::{IoRef, OnDisconnect};
use ntex::util::{Bytes, Stream};
use slog::{info, warn};
use thiserror::Error;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Sleep, sleep, timeout};

use mustard_adapter::responses;
use mustard_core::deployment::RouteKind;
use mustard_policy::outlier;

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;
use crate::outliers;
use crate::strikes::{self, Failure};

use super::open_stream::{
    ActiveAttempt, Attempts, OpenError, Opened, log_failed_attempt, open_stream,
    record_faulty_server,
};
use super::send::{BodyChunk, SendError};
use super::{AdmittedRequest, ENDS_SERVERS, GatewayResponse, record_served, waiting};

/// The most chunks of events that are queued for a caller that reads slowly.
const QUEUED_CHUNKS: usize = 32;
/// Retry delay for callers if there is no path; a restarted server takes about this long to load
/// its layers again.
const PATH_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// How long the events of an aborted stream that were already written may take to leave. The HTTP server
/// doesn't always finish a close that it was asked for while it waits for the body.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Retry delay for callers if the servers are full or can't be reached.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(700);

/// The cause of an attempt's end if the connection to its first server was lost.
const CONNECTION_LOST: &str = "connection lost";

/// The error in the body of a stream that ends early.
#[derive(Clone, Copy, Debug, Error)]
#[error("stream was aborted")]
struct StreamAborted;

/// The response body of a stream; dropping it signals the forwarding task that the caller has left.
struct EventBody {
    receiver: Receiver<Result<Bytes, StreamAborted>>,
    /// The caller's connection; `None` if the HTTP server gives no access to it.
    io: Option<IoRef>,
    /// Set once the body closes the connection because the stream was aborted.
    closing: Option<Closing>,
}

/// A connection that is being closed.
struct Closing {
    disconnected: OnDisconnect,
    /// When the connection is closed at once, whatever is still to be written.
    limit: Pin<Box<Sleep>>,
}

impl EventBody {
    /// Closes the connection after the events that were already written.
    ///
    /// If the body returned an error instead, the HTTP server would write a second response head
    /// into the stream, which no caller can read. Only without access to the connection does the
    /// body return the error.
    fn close(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamAborted>>> {
        let Some(io) = &self.io else {
            return Poll::Ready(Some(Err(StreamAborted)));
        };
        let closing = self.closing.get_or_insert_with(|| {
            io.close();
            Closing {
                disconnected: io.on_disconnect(),
                limit: Box::pin(sleep(CLOSE_TIMEOUT)),
            }
        });
        if Pin::new(&mut closing.disconnected).poll(cx).is_ready() {
            cx.waker().wake_by_ref();
        } else if closing.limit.as_mut().poll(cx).is_ready() {
            io.terminate();
        }
        Poll::Pending
    }
}

impl Stream for EventBody {
    type Item = Result<Bytes, StreamAborted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.closing.is_some() {
            return self.close(cx);
        }
        match self.receiver.poll_recv(cx) {
            Poll::Ready(Some(Err(StreamAborted))) => self.close(cx),
            other => other,
        }
    }
}

/// Serves a request whose response is a stream.
pub(super) async fn run(app: &Rc<App>, request: AdmittedRequest, io: Option<IoRef>) -> Response {
    let mut attempts = Attempts::default();
    let left = app.now().until(request.deadline);
    let opened = timeout(
        left,
        open_stream(app, &request, &mut attempts, request.params.last_event),
    )
    .await;
    let opened = match opened {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) => return refuse(app, &request, error),
        Err(_) => {
            for (path, sent_at) in std::mem::take(&mut attempts.current) {
                let failure = outlier::Failure::NoAnswer;
                outliers::record_failure(app, &request, &path, sent_at, failure);
            }
            metric::count_request("stream", "timeout");
            return GatewayResponse::new("timeout", 504)
                .for_request(&request.params)
                .respond(app);
        }
    };
    let attempt = match opened {
        Opened::Stream(attempt) => *attempt,
        Opened::Failure(failure) => {
            return begin_response(app, failure.status, &failure.headers).body(failure.body);
        }
    };
    let mut out = begin_response(app, attempt.head.status, &attempt.head.headers);
    let (sender, receiver) = channel(QUEUED_CHUNKS);
    let session = StreamSession {
        app: Rc::clone(app),
        last_event: request.params.last_event,
        content_type: attempt.head.headers.get(CONTENT_TYPE).cloned(),
        request: Rc::new(request),
        attempts,
        sender,
        io: io.clone(),
        event_sent: false,
    };
    ntex::rt::spawn(forward_events(session, attempt));
    out.streaming(EventBody {
        receiver,
        io,
        closing: None,
    })
}

/// Begins the response to the caller with the status and headers of a server's.
fn begin_response(app: &App, status: u16, headers: &HeaderMap) -> ResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut out = Response::build(status);
    for (name, value) in responses::forwarded_headers(headers) {
        out.header(name, value);
    }
    if app.stop.is_set() {
        out.force_close();
    }
    out
}

/// Responds to a request for which no server opened the stream, or whose error response was lost.
fn refuse(app: &Rc<App>, request: &AdmittedRequest, error: OpenError) -> Response {
    metric::count_request("stream", "refused");
    let delay = |usual: Duration| {
        let priority = request.priority;
        priority.map_or(usual, |p| waiting::retry_after(app, request, p))
    };
    let response = match error {
        OpenError::NoPath => GatewayResponse::not_run("no path", delay(PATH_RETRY_AFTER)),
        OpenError::NotRun => {
            GatewayResponse::not_run("servers full or out of reach", delay(FULL_RETRY_AFTER))
        }
        OpenError::Quarantined(retry_after) => GatewayResponse::not_run(ENDS_SERVERS, retry_after),
        OpenError::Lost => GatewayResponse::new("no answer of the servers", 502),
    };
    response.for_request(&request.params).respond(app)
}

/// A stream whose response to the caller has begun.
struct StreamSession {
    app: Rc<App>,
    request: Rc<AdmittedRequest>,
    attempts: Attempts,
    sender: Sender<Result<Bytes, StreamAborted>>,
    /// The caller's connection; `None` if the HTTP server gives no access to it.
    io: Option<IoRef>,
    /// The media type of the response that the caller gets.
    content_type: Option<HeaderValue>,
    /// The id of the last event that was sent to the caller.
    last_event: Option<u64>,
    /// Whether this gateway has sent an event to the caller.
    event_sent: bool,
}

/// Why forwarding an attempt stopped.
enum AttemptEnd {
    /// The attempt sent its last event and ended.
    Complete,
    /// It ended before its last event or sent one that can't be forwarded, for this reason.
    Failed(&'static str),
    /// The stream watch found that it makes no progress; another server may resume the stream.
    Stalled,
    /// The caller closed its connection.
    CallerLeft,
    /// The request's deadline has passed.
    Deadline,
}

/// Forwards events until the stream ends, resuming it on other servers where that is allowed.
async fn forward_events(mut session: StreamSession, mut attempt: ActiveAttempt) {
    let deadline = sleep(session.app.now().until(session.request.deadline));
    let mut deadline = pin!(deadline);
    loop {
        let abandon = Rc::clone(&attempt.abandon);
        let caller = session.sender.clone();
        let end = tokio::select! {
            end = session.forward_attempt(&mut attempt) => end,
            () = abandon.notified() => AttemptEnd::Stalled,
            () = caller.closed() => AttemptEnd::CallerLeft,
            () = &mut deadline => AttemptEnd::Deadline,
        };
        let next = match end {
            AttemptEnd::Complete => {
                let has_failed = session.attempts.possible_runs > 1 || attempt.guard.was_moved();
                session.record_complete(&attempt);
                if let Some(run) = attempt.guard.finished_run() {
                    strikes::record_finished(&session.app, run);
                }
                return session.finish_served(has_failed);
            }
            AttemptEnd::CallerLeft => return metric::count_request("stream", "caller left"),
            AttemptEnd::Deadline => {
                drop(attempt);
                return session.abort("deadline").await;
            }
            AttemptEnd::Stalled => {
                session.record_failed_run(&attempt, Failure::Stalled);
                session.record_outcome(&attempt, outlier::Failure::NoAnswer);
                if !session.can_resume() {
                    continue;
                }
                tokio::select! {
                    next = session.race_resume(attempt) => next,
                    () = caller.closed() => return metric::count_request("stream", "caller left"),
                    () = &mut deadline => return session.abort("deadline").await,
                }
            }
            AttemptEnd::Failed(cause) => {
                session.record_failed_attempt(&attempt, cause);
                drop(attempt);
                if !session.can_resume() {
                    return session.abort(cause).await;
                }
                let resumed = tokio::select! {
                    next = session.resume() => next,
                    () = caller.closed() => return metric::count_request("stream", "caller left"),
                    () = &mut deadline => return session.abort("deadline").await,
                };
                match resumed {
                    Some(next) => Continuation::Resumed(next),
                    None => return session.abort("no server resumed the stream").await,
                }
            }
        };
        attempt = match next {
            Continuation::Resumed(next) => next,
            Continuation::Same(same) => {
                attempt = same;
                continue;
            }
            Continuation::Ended => return session.finish_served(true),
            Continuation::Failed => return session.abort("no server resumed the stream").await,
        };
        metric::count_moved_stream("resumed");
        if let Some(log) = session.app.log.logger_for(Topic::Stream) {
            info!(log, "request: A stream was resumed on another server.";
                "request" => &session.request.params.id, "after" => session.last_event,
                "server" => session.app.fleet.borrow().format_server(attempt.first_server));
        }
    }
}

/// How a stream continues after its attempt stalled or failed.
enum Continuation {
    /// With a new attempt on another server.
    Resumed(ActiveAttempt),
    /// With the same attempt as before.
    Same(ActiveAttempt),
    /// Not at all: meanwhile the attempt sent its last event, or the caller left.
    Ended,
    /// Not at all: the attempt failed and no other server took over.
    Failed,
}

impl StreamSession {
    /// Returns whether another server may resume the stream. An attempt counts against the limit
    /// even if its server seems dead: one that is only unreachable from here keeps running it.
    fn can_resume(&self) -> bool {
        let repeatable = matches!(
            self.request.route.kind,
            RouteKind::Stream { resumable: true }
        );
        repeatable && self.attempts.possible_runs < self.request.route.max_attempts
    }

    /// Opens the stream on another server after the last event.
    async fn resume(&mut self) -> Option<ActiveAttempt> {
        self.attempts.tokens_sent = self.last_event;
        self.attempts.is_resuming = true;
        let opened = open_stream(
            &self.app,
            &self.request,
            &mut self.attempts,
            self.last_event,
        )
        .await;
        match opened {
            Ok(Opened::Stream(next)) if self.is_continued_by(&next) => Some(*next),
            _ => None,
        }
    }

    /// Returns whether an attempt's response may follow what the caller got. An error, also one with a status that
    /// says success, is no part of the stream.
    fn is_continued_by(&self, next: &ActiveAttempt) -> bool {
        next.head.status == 200 && next.head.headers.get(CONTENT_TYPE) == self.content_type.as_ref()
    }

    /// Opens the stream on another server while still forwarding the current attempt. The new
    /// attempt is kept once its response begins, unless the current one has ended by then.
    async fn race_resume(&mut self, mut attempt: ActiveAttempt) -> Continuation {
        let (app, request) = (Rc::clone(&self.app), Rc::clone(&self.request));
        self.attempts.tokens_sent = self.last_event;
        self.attempts.is_resuming = true;
        let mut attempts = self.attempts.clone();
        let last_event = self.last_event;
        let mut has_failed = false;
        let next = {
            let mut opening = pin!(open_stream(&app, &request, &mut attempts, last_event));
            loop {
                if has_failed {
                    break opening.await;
                }
                tokio::select! {
                    opened = &mut opening => break opened,
                    end = self.forward_attempt(&mut attempt) => match end {
                        AttemptEnd::Failed(_) => has_failed = true,
                        _ => return Continuation::Ended,
                    },
                }
            }
        };
        self.attempts = attempts;
        match next {
            Ok(Opened::Stream(next)) if self.is_continued_by(&next) => Continuation::Resumed(*next),
            _ if has_failed => Continuation::Failed,
            _ => Continuation::Same(attempt),
        }
    }

    /// Forwards the events of one attempt. Cancel-safe: it may be dropped and called again.
    async fn forward_attempt(&mut self, attempt: &mut ActiveAttempt) -> AttemptEnd {
        loop {
            let Ok(permit) = self.sender.reserve().await else {
                return AttemptEnd::CallerLeft;
            };
            // The first event may have been read already.
            if !attempt.parser.has_event() {
                match attempt.head.next_chunk().await {
                    BodyChunk::Bytes(bytes) => {
                        if attempt.parser.push(self.app.now(), &bytes) {
                            return AttemptEnd::Failed("event doesn't end");
                        }
                    }
                    BodyChunk::End if attempt.parser.is_empty() => return AttemptEnd::Complete,
                    BodyChunk::End => return AttemptEnd::Failed("ended within an event"),
                    BodyChunk::Failed => return AttemptEnd::Failed(CONNECTION_LOST),
                }
            }
            let taken = attempt.parser.take_events(&mut self.last_event);
            if taken.has_progress {
                let now = self.app.now();
                attempt.guard.record_events(now, self.last_event);
                if !self.event_sent {
                    self.event_sent = true;
                    metric::record_first_response("stream", now.since(self.request.arrived));
                }
            }
            if !taken.bytes.is_empty() {
                permit.send(Ok(taken.bytes));
            }
            if let Some(fault) = taken.fault {
                return AttemptEnd::Failed(fault);
            }
        }
    }

    fn record_failed_run(&self, attempt: &ActiveAttempt, failure: Failure) {
        if let Some(run) = attempt.guard.failed_run(failure) {
            strikes::record_run(&self.app, run);
        }
    }

    fn record_failed_attempt(&mut self, attempt: &ActiveAttempt, cause: &'static str) {
        let first_server = attempt.first_server;
        self.record_failed_run(attempt, Failure::ConnectionLost);
        self.record_outcome(
            attempt,
            match cause {
                CONNECTION_LOST => outlier::Failure::EndedEarly,
                _ => outlier::Failure::Invalid,
            },
        );
        self.attempts.avoid.extend(record_faulty_server(
            &self.app,
            first_server,
            SendError::Lost,
        ));
        log_failed_attempt(&self.app, &self.request, first_server, cause);
    }

    /// Records a failed attempt at its servers. A connection lost before the first event is the fault of the
    /// first one, like one lost before the head of the answer.
    fn record_outcome(&mut self, attempt: &ActiveAttempt, failure: outlier::Failure) {
        let Some((path, sent_at, has_begun)) = attempt.guard.servers() else {
            return;
        };
        let is_reset = failure == outlier::Failure::EndedEarly && !has_begun;
        let failure = if is_reset {
            self.attempts.lost.push(attempt.first_server);
            outlier::Failure::Reset
        } else {
            failure
        };
        outliers::record_failure(&self.app, &self.request, &path, sent_at, failure);
    }

    fn record_complete(&self, attempt: &ActiveAttempt) {
        if let Some((path, sent_at, _)) = attempt.guard.servers() {
            let service = &self.request.service.name;
            outliers::record_success(&self.app, service, path.into_iter(), sent_at);
        }
    }

    /// Records that the stream was served. Unless a run of it failed, this clears the request's
    /// content: strikes for earlier deaths of servers that ran the content no longer count. A stream that
    /// was moved may have ended the servers that it was moved off.
    fn finish_served(self, has_failed_run: bool) {
        if !has_failed_run {
            let now = self.app.now();
            let content = self.request.content;
            let mut quarantine = self.app.quarantine.borrow_mut();
            quarantine.record_success(now, content);
        }
        record_served(
            &self.app,
            &self.request,
            "stream",
            self.attempts.possible_runs,
        );
    }

    /// Aborts the stream so that the caller sees it as incomplete; the metric counts it as broken off.
    async fn abort(self, cause: &'static str) {
        metric::count_request("stream", "broken off");
        if let Some(log) = self.app.log.logger_for(Topic::Failed) {
            warn!(log, "request: A stream was aborted."; "request" => &self.request.params.id,
                "cause" => cause, "after" => self.last_event,
                "took_ms" => self.app.now().ms_since(self.request.arrived));
        }
        let left = self.app.now().until(self.request.deadline);
        let notice = self.sender.send(Err(StreamAborted));
        // If the caller has left, there is nobody to tell. One that doesn't read leaves no room for the notice.
        let told = timeout(left.max(CLOSE_TIMEOUT), notice).await;
        if told.is_err()
            && let Some(io) = &self.io
        {
            io.terminate();
        }
    }
}
