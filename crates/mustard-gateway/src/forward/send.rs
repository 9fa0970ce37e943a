//! Sends a request to one server and reads the response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::HeaderMap;
use ntex::util::Bytes;
use slog::info;
use tokio::time::timeout;

use mustard_adapter::requests::{self, ForwardParams};
use mustard_adapter::responses::{self, Verdict};
use mustard_core::deployment::{PathPart, ServerKey};
use mustard_net::CallError;
use mustard_net::forward::{ForwardedRequest, ForwardedResponse, ResponseBody, forward_request};
use mustard_net::http::MAX_ANSWER_BYTES;
use mustard_net::pieces::Pieces;

use crate::app::{App, CONNECT_TIMEOUT};
use crate::fleet::ServerProcess;
use crate::limits;
use crate::log_limit::Topic;
use crate::metric;

use super::AdmittedRequest;

/// The time within which a body ends whose head doesn't say how long it is; that of a stream isn't
/// read at once.
pub(super) const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// A server that a request is sent to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// The server that the request is sent to.
    pub server: ServerKey,
    /// The address of that server.
    pub addr: SocketAddr,
    /// The id of the server that is meant; another server that has the address now refuses the
    /// request.
    pub identity: String,
    /// The server processes that the request uses, the first one first.
    pub processes: Vec<ServerProcess>,
    /// The servers of the pipeline that the request crosses; empty for a plain service.
    pub path: Vec<PathPart>,
    /// How often the path crosses from one failure domain to another.
    pub crossings: u32,
}

impl Target {
    /// Returns the servers that the request uses, the first one first.
    pub(super) fn keys(&self) -> impl Iterator<Item = ServerKey> {
        self.processes.iter().map(|p| p.key)
    }

    /// Returns the server at an address that an answer names, if the request uses it.
    fn find_server(&self, addr: SocketAddr) -> Option<ServerKey> {
        let named = self.processes.iter().find(|p| p.addr == addr);
        named.map(|p| p.key)
    }
}

/// The status and headers of a server's response, and its unread body.
pub(super) struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The body, not yet read.
    pub body: ResponseBody,
}

/// Why a send brought no usable response from the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendError {
    /// Nothing was sent.
    NotSent,
    /// The server refused the request without running it; with the HTTP status and the server that
    /// the refusal names as the cause.
    NotRun(u16, Option<ServerKey>),
    /// The connection failed, the response can't be trusted or its body is too large; the request
    /// may have run.
    Lost,
    /// The gateway abandoned the attempt; the request may have run.
    GivenUp,
}

/// Sends the request and reads the head of the response.
pub(super) async fn send_request(
    app: &Rc<App>,
    request: &AdmittedRequest,
    target: &Target,
    last_event: Option<u64>,
) -> Result<ResponseHead, SendError> {
    let left = app.now().until(request.deadline);
    let forward_params = ForwardParams {
        identity: &target.identity,
        customer: request.customer.as_deref(),
        priority: request.priority.map(|p| p.level),
        time_left: Some(left),
        last_event,
        path: &target.path,
    };
    let outgoing = ForwardedRequest {
        to: target.addr,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: requests::forwarded_headers(&request.headers, &forward_params),
        body: request.body.clone(),
    };
    let response = forward_request(&outgoing, CONNECT_TIMEOUT)
        .await
        .map_err(|e| match e {
            CallError::NotSent(_) | CallError::NoListener(_) => SendError::NotSent,
            _ => SendError::Lost,
        })?;
    record_announcements(app, target, &response);
    record_presence(app, &request.params.id, target, &response);
    check_response(&request.params.id, target, response)
}

/// Records whether a response shows that the server which the request names is at its address.
fn record_presence(app: &App, id: &str, target: &Target, response: &ForwardedResponse) {
    let mut fleet = app.fleet.borrow_mut();
    if responses::is_sealed(id, &response.headers) {
        fleet.record_present(app.now(), target.server);
    } else if response.status == 421 && target.path.is_empty() {
        // That of a server with layers may mean those.
        fleet.record_misdirected(app.now(), target.server);
    }
}

/// Records what a response says about its server, whoever asked for it: that it is leaving, that it
/// wants nothing more for a time, or how much it takes.
fn record_announcements(app: &App, target: &Target, response: &ForwardedResponse) {
    let status = response.status;
    let headers = &response.headers;
    if status != 421 {
        let limit = responses::request_limit(headers);
        limits::record_answer(app, target.server, limit);
    }
    let now = app.now();
    let mut fleet = app.fleet.borrow_mut();
    // Status 421 may come from another server that has the address now.
    let process = target.processes.first().filter(|_| status != 421);
    let leaves =
        responses::announces_leaving(headers) && process.is_some_and(|p| fleet.record_leaving(p));
    if leaves && let Some(log) = app.log.logger_for(Topic::Server) {
        info!(log, "servers: Leaving, as an answer says."; "id" => &target.identity,
            "server" => %target.addr);
    }
    if let Some(pause) = responses::requested_pause(status, headers) {
        fleet.record_pause(now, target.server, pause);
        metric::count_pause();
        if let Some(log) = app.log.logger_for(Topic::Server) {
            info!(log, "servers: Turned a request away for a time."; "server" => %target.addr,
                "pause_ms" => pause.as_millis() as u64);
        }
    }
}

/// Returns the head of a response that belongs to the request and comes from a server that ran it.
fn check_response(
    id: &str,
    target: &Target,
    response: ForwardedResponse,
) -> Result<ResponseHead, SendError> {
    let ForwardedResponse {
        status,
        headers,
        body,
    } = response;
    match responses::classify(id, status, &headers) {
        Verdict::Foreign => Err(SendError::Lost),
        Verdict::NotRun => Err(SendError::NotRun(
            status,
            responses::parse_faulty_server(&headers).and_then(|addr| target.find_server(addr)),
        )),
        Verdict::Genuine => Ok(ResponseHead {
            status,
            headers,
            body,
        }),
    }
}

/// The next chunk of a response body, or how the body ended.
pub(super) enum BodyChunk {
    /// The bytes that arrived.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// The body was cut off or doesn't match its head.
    Failed,
}

impl ResponseHead {
    /// Returns whether the status is that of a success.
    pub(super) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Reads the next chunk of the body.
    pub(super) async fn next_chunk(&mut self) -> BodyChunk {
        match self.body.next_chunk().await {
            Ok(Some(bytes)) => BodyChunk::Bytes(bytes),
            Ok(None) => BodyChunk::End,
            Err(_) => BodyChunk::Failed,
        }
    }

    /// Reads the rest of the body. It counts as lost if it has more than [`MAX_ANSWER_BYTES`] or finds no room in
    /// the budget of what is held for clients, or if its head doesn't say how long it is and it doesn't end within
    /// [`BODY_TIMEOUT`].
    pub(super) async fn read_body(&mut self, app: &Rc<App>) -> Result<Bytes, SendError> {
        let limit = if self.body.has_length() {
            Duration::MAX
        } else {
            BODY_TIMEOUT
        };
        let body = timeout(limit, self.read_buffered(app)).await;
        body.unwrap_or(Err(SendError::Lost))
    }

    async fn read_buffered(&mut self, app: &Rc<App>) -> Result<Bytes, SendError> {
        let mut body = Pieces::default();
        let mut guard = app.clients.begin_answer();
        loop {
            match self.next_chunk().await {
                BodyChunk::Bytes(bytes) => {
                    body.push(&bytes);
                    if body.len() > MAX_ANSWER_BYTES || guard.grow(bytes.len()).is_err() {
                        return Err(SendError::Lost);
                    }
                }
                BodyChunk::End => return Ok(body.join()),
                BodyChunk::Failed => return Err(SendError::Lost),
            }
        }
    }
}
