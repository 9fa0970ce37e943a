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
use crate::fault::{Command, Faults};

/// Header fields of one request.
const MAX_HEADERS: usize = 64;
const MAX_BODY: usize = 16 * 1024 * 1024;
const JSON: &str = "application/json";
const REFERENCE: &str = "x-reference";

/// A request to a stand-in.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path without its query.
    pub path: String,
    /// The query, not decoded.
    pub query: String,
    /// The header `X-Reference`.
    pub reference: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Returns the parts of the path.
    pub fn parts(&self) -> Vec<&str> {
        self.path.split('/').filter(|p| !p.is_empty()).collect()
    }

    /// Returns a member of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Decodes the body.
    pub fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|e| Answer::text(400, &e.to_string()))
    }

    fn writes(&self) -> bool {
        self.method != Method::GET && !self.path.ends_with("/read") && !self.path.ends_with("/scan")
    }
}

/// An answer of a stand-in.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub media: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates an answer in JSON.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        Answer {
            status,
            media: JSON,
            body: serde_json::to_vec(value).unwrap_or_default(),
        }
    }

    /// Creates an answer in plain text.
    pub fn text(status: u16, text: &str) -> Self {
        Answer {
            status,
            media: "text/plain",
            body: text.as_bytes().to_vec(),
        }
    }

    /// Creates an answer of bytes.
    pub fn bytes(body: Vec<u8>) -> Self {
        Answer {
            status: 200,
            media: "application/octet-stream",
            body,
        }
    }
}

/// A program that takes the place of an outside system.
#[allow(async_fn_in_trait)]
pub trait StandIn: Send + Sync + 'static {
    /// Returns the faults of the part that a call is for.
    fn faults(&self, call: &Call) -> &Faults;

    /// Obeys a command.
    fn obey(&self, command: &Command);

    /// Answers a call.
    async fn answer(&self, call: Call) -> Answer;
}

/// Serves a stand-in until a stop signal; prints the address once it listens.
pub async fn run<S: StandIn>(stand_in: Arc<S>, listen: SocketAddr) -> Result<()> {
    let listener = TcpListener::bind(listen)?;
    println!("listening {}", listener.local_addr()?);
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&stand_in))
            .state(PayloadConfig::new(MAX_BODY))
            .default_service(web::to(handle::<S>))
    });
    server
        .workers(1)
        .config(mustard_net::server::config("stand-in", MAX_HEADERS))
        .shutdown_timeout(ntex_seconds())
        .listen(listener)?
        .run()
        .await?;
    Ok(())
}

fn ntex_seconds() -> ntex::time::Seconds {
    ntex::time::Seconds(1)
}

async fn handle<S: StandIn>(
    request: HttpRequest,
    body: Bytes,
    state: State<Arc<S>>,
) -> HttpResponse {
    let reference = request.headers().get(REFERENCE);
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
        return control(stand_in, &call);
    }
    let faults = stand_in.faults(&call);
    // Ledgers are for tests, which read them through every fault.
    if call.path == "/ledger" {
        return respond(stand_in.answer(call).await);
    }
    faults.hold().await;
    if faults.is_down() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let writes = call.writes();
    if writes && faults.loses_write() {
        return broken();
    }
    let answer = run_whole(Arc::clone(&state), call).await;
    if writes && faults.loses_answer() {
        return broken();
    }
    respond(answer)
}

/// Runs a call to its end even if the caller goes away, as a real server does.
async fn run_whole<S: StandIn>(stand_in: Arc<S>, call: Call) -> Answer {
    let (sender, answer) = oneshot::channel();
    ntex::rt::spawn(async move {
        let _ = sender.send(stand_in.answer(call).await);
    });
    let ended = |_| Answer::text(500, "the call ended without an answer");
    answer.await.unwrap_or_else(ended)
}

fn control(stand_in: &impl StandIn, call: &Call) -> HttpResponse {
    match call.json::<Command>() {
        Ok(command) => {
            stand_in.obey(&command);
            respond(Answer::json(200, &command))
        }
        Err(answer) => respond(answer),
    }
}

fn respond(answer: Answer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status)
        .content_type(answer.media)
        .body(answer.body)
}

/// Closes the connection in the middle of an answer.
fn broken() -> HttpResponse {
    let cut = || io::Error::from(io::ErrorKind::ConnectionAborted);
    let (sender, receiver) =
        ntex::channel::mpsc::channel::<std::result::Result<Bytes, io::Error>>();
    let _ = sender.send(Err(cut()));
    HttpResponse::Ok().streaming(receiver)
}
