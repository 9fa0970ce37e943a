//! The HTTP server around a stand-in.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use ntex::web::types::{PayloadConfig, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::errors::Result;
use crate::fault::{FaultCommand, Faults};

/// Limit on the header fields of one request.
const MAX_HEADERS: usize = 64;
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const JSON: &str = "application/json";
const REFERENCE_HEADER: &str = "x-reference";

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path without its query.
    pub path: String,
    /// The query string, not decoded; empty if there is none.
    pub query: String,
    /// The value of the header `X-Reference`.
    pub reference: Option<String>,
    /// The request body.
    pub body: Bytes,
}

impl Call {
    /// Returns the segments of the path, without empty ones.
    pub fn path_segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Returns the value of a query parameter, not decoded.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Decodes the body from JSON; the error is the answer to send, with status 400.
    pub fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|e| Answer::text(400, &e.to_string()))
    }

    /// Tells whether the call changes data; `POST /table/read` and `/table/scan` only read.
    fn is_write(&self) -> bool {
        self.method != Method::GET && !self.path.ends_with("/read") && !self.path.ends_with("/scan")
    }
}

/// An answer of a stand-in.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the header `Content-Type`.
    pub media_type: &'static str,
    /// The response body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates an answer in JSON.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        Answer {
            status,
            media_type: JSON,
            body: serde_json::to_vec(value).unwrap_or_default(),
        }
    }

    /// Creates an answer in plain text.
    pub fn text(status: u16, text: &str) -> Self {
        Answer {
            status,
            media_type: "text/plain",
            body: text.as_bytes().to_vec(),
        }
    }

    /// Creates an answer of raw bytes, with status 200.
    pub fn bytes(body: Vec<u8>) -> Self {
        Answer {
            status: 200,
            media_type: "application/octet-stream",
            body,
        }
    }
}

/// An HTTP server that replaces an outside system in tests.
#[allow(async_fn_in_trait)]
pub trait StandIn: Send + Sync + 'static {
    /// Returns the faults of the part that handles a call.
    fn faults(&self, call: &Call) -> &Faults;

    /// Applies the body of `POST /control`.
    fn apply_command(&self, command: &FaultCommand);

    /// Handles a call. The server around it applies all faults but the slow factor.
    async fn answer(&self, call: Call) -> Answer;
}

/// Serves a stand-in until a stop signal, and prints the address once it listens.
pub async fn run_server<S: StandIn>(stand_in: Arc<S>, listen: SocketAddr) -> Result<()> {
    let listener = TcpListener::bind(listen)?;
    println!("listening {}", listener.local_addr()?);
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&stand_in))
            .state(PayloadConfig::new(MAX_BODY_BYTES))
            .default_service(web::to(handle_request::<S>))
    });
    server
        .workers(1)
        .config(mustard_net::server::config("stand-in", MAX_HEADERS))
        .shutdown_timeout(shutdown_time())
        .listen(listener)?
        .run()
        .await?;
    Ok(())
}

fn shutdown_time() -> ntex::time::Seconds {
    ntex::time::Seconds(1)
}

async fn handle_request<S: StandIn>(
    request: HttpRequest,
    body: Bytes,
    state: State<Arc<S>>,
) -> HttpResponse {
    let reference = request.headers().get(REFERENCE_HEADER);
    let call = Call {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.query_string().to_owned(),
        reference: reference
            .and_then(|v| v.to_str().ok())
            .map(ToOwned::to_owned),
        body,
    };
    let stand_in: &S = &state;
    if call.path == "/control" {
        return handle_control(stand_in, &call);
    }
    let faults = stand_in.faults(&call);
    // Tests read the ledger, so no fault applies to it.
    if call.path == "/ledger" {
        return to_response(stand_in.answer(call).await);
    }
    faults.delay_call().await;
    if faults.is_down() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let is_write = call.is_write();
    if is_write && faults.take_lost_write() {
        return cut_off_response();
    }
    let answer = run_to_completion(Arc::clone(&state), call).await;
    if is_write && faults.take_lost_answer() {
        return cut_off_response();
    }
    to_response(answer)
}

/// Runs a call to completion even if the client disconnects, as a real server does.
async fn run_to_completion<S: StandIn>(stand_in: Arc<S>, call: Call) -> Answer {
    let (sender, answer) = oneshot::channel();
    ntex::rt::spawn(async move {
        let _ = sender.send(stand_in.answer(call).await);
    });
    let dropped = |_| Answer::text(500, "the call ended without an answer");
    answer.await.unwrap_or_else(dropped)
}

fn handle_control(stand_in: &impl StandIn, call: &Call) -> HttpResponse {
    match call.json::<FaultCommand>() {
        Ok(command) => {
            stand_in.apply_command(&command);
            to_response(Answer::json(200, &command))
        }
        Err(answer) => to_response(answer),
    }
}

fn to_response(answer: Answer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status)
        .content_type(answer.media_type)
        .body(answer.body)
}

/// Returns a response whose connection is closed before the body ends.
fn cut_off_response() -> HttpResponse {
    let aborted = || io::Error::from(io::ErrorKind::ConnectionAborted);
    let (sender, receiver) =
        ntex::channel::mpsc::channel::<std::result::Result<Bytes, io::Error>>();
    let _ = sender.send(Err(aborted()));
    HttpResponse::Ok().streaming(receiver)
}
