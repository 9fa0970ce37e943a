//! HTTP requests with a time limit that does not depend on the HTTP client's coarse timers.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client as HttpClient, ClientResponse, Connector};
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::io::{Io, IoConfig};
use ntex::service::ServiceFactory;
use ntex::time::{Millis, Seconds};
use ntex::util::Bytes;
use tokio::time::Instant;

use crate::errors::{CallError, Result};
use crate::forward;
use crate::undecoded::UndecodedLimit;

/// The largest answer body that a client reads, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

// The connection pool wakes tasks that wait for a connection only if it has a limit above zero.
const MAX_CONNECTIONS: usize = 65_536;
/// How long an HTTP client keeps an idle connection.
const CLIENT_KEEP_ALIVE: Seconds = Seconds(15);
/// How long an HTTP server keeps an idle connection. It is longer than any client's time, so that a
/// client never sends on a connection that the HTTP server is closing.
pub(crate) const SERVER_KEEP_ALIVE: Seconds = Seconds(75);
/// How long an HTTP server waits for the complete header of a request.
pub(crate) const HEADER_TIMEOUT: Seconds = Seconds(5);
/// The age after which an HTTP client no longer reuses a connection.
const CONNECTION_LIFETIME: Seconds = Seconds(600);

/// The header that makes [`send`] close the connection after the exchange.
pub const CONNECTION_CLOSE: (&str, &str) = ("connection", "close");

/// A request to another process or to an outside system.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The receiver.
    pub to: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: &'a str,
    /// The media type of the body.
    pub content_type: &'a str,
    /// Further headers, besides the media type.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Vec<u8>,
    /// The time limit of [`exchange`]; [`send`] doesn't apply it.
    pub timeout: Duration,
}

/// An answer with its complete body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The media type of the body; empty if the answer has none.
    pub content_type: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Creates an HTTP client; it belongs to the calling thread.
pub async fn new_client() -> HttpClient {
    build_client(SharedCfg::default(), MAX_ANSWER_BYTES).await
}

/// Creates an HTTP client that gives up connecting after `connect` and reads answers of at most
/// `max_bytes`; it belongs to the calling thread.
pub async fn new_limited_client(connect: Duration, max_bytes: usize) -> HttpClient {
    let millis = Millis(connect.as_millis() as u32);
    let io = IoConfig::new().set_connect_timeout(millis);
    build_client(SharedCfg::new("client").add(io).into(), max_bytes).await
}

async fn build_client(shared: SharedCfg, max_bytes: usize) -> HttpClient {
    let tcp = ntex::connect::Connector::new().map(|io: Io| io.add_filter(UndecodedLimit));
    let connector = Connector::new()
        .connector(tcp)
        .limit(MAX_CONNECTIONS)
        .keep_alive(CLIENT_KEEP_ALIVE)
        .lifetime(CONNECTION_LIFETIME);
    HttpClient::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .response_payload_limit(max_bytes)
        .response_payload_timeout(Millis::ZERO)
        .build(shared)
        .await
        .expect("an HTTP client without TLS is always built")
}

/// A client for calls to one service, over connections that are kept for further calls.
///
/// Connections may go silent without a sign, several at the same moment. After a call that went
/// unanswered, each call has a connection of its own until all that were idle then are gone. Clones share
/// this state.
#[derive(Clone)]
pub struct PooledClient {
    client: Rc<HttpClient>,
    unpooled_until: Rc<Cell<Option<Instant>>>,
}

impl PooledClient {
    /// Creates a client that shares the connections of `client`.
    pub fn new(client: Rc<HttpClient>) -> Self {
        PooledClient {
            client,
            unpooled_until: Rc::default(),
        }
    }

    /// Sends a request and reads the complete answer; see [`exchange`].
    ///
    /// # Errors
    ///
    /// As for [`exchange`].
    pub async fn exchange(&self, request: Request<'_>) -> Result<Answer> {
        let until = self.unpooled_until.get();
        let answer = if until.is_some_and(|until| Instant::now() < until) {
            forward::exchange_unpooled(&request).await
        } else {
            exchange(&self.client, request).await
        };
        if matches!(answer, Err(CallError::TimedOut(_))) {
            let idle_time = Duration::from(CLIENT_KEEP_ALIVE);
            self.unpooled_until.set(Some(Instant::now() + idle_time));
        }
        answer
    }
}

/// Sends a request and reads the complete answer.
///
/// The HTTP client can't read an answer whose body only the end of the connection delimits. If nothing
/// but its connection distinguishes a second request from the first one (`GET`), it is sent again.
///
/// # Errors
///
/// [`CallError::NotSent`] and [`CallError::NoListener`] mean that the receiver did not see the
/// request; after any other error it may have acted.
pub async fn exchange(client: &HttpClient, request: Request<'_>) -> Result<Answer> {
    let timeout = request.timeout;
    let again = (request.method == Method::GET).then(|| request.clone());
    let round_trip = async {
        let response = send(client, request).await?;
        if !has_body(&response) || is_framed(&response) {
            return read_answer(response).await;
        }
        match again {
            Some(request) => forward::exchange_unpooled(&request).await,
            None => Err(CallError::Lost("an answer without a length".to_owned())),
        }
    };
    match tokio::time::timeout(timeout, round_trip).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::TimedOut(timeout.as_millis() as u64)),
    }
}

/// Sends a request and returns the head of the answer; the body is still to be read.
pub async fn send(client: &HttpClient, request: Request<'_>) -> Result<ClientResponse> {
    let url = format!("http://{}{}", request.to, request.path);
    let mut builder = client
        .request(request.method, url)
        .address(request.to)
        .header("content-type", request.content_type);
    for header in request.headers {
        builder = match *header {
            CONNECTION_CLOSE => builder.force_close(),
            (name, value) => builder.header(name, value),
        };
    }
    builder
        .send_body(Bytes::from(request.body))
        .await
        .map_err(|e| classify_error(&e))
}

/// Returns whether the status allows a body.
fn has_body(answer: &ClientResponse) -> bool {
    !matches!(
        answer.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    )
}

/// Returns whether the headers say where the body ends.
fn is_framed(answer: &ClientResponse) -> bool {
    let headers = answer.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn read_answer(response: ClientResponse) -> Result<Answer> {
    let status = response.status().as_u16();
    let content_type = response
        .header("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let headers = response.headers().clone();
    let body = response
        .body()
        .await
        .map_err(|e| CallError::Lost(e.to_string()))?;
    Ok(Answer {
        status,
        content_type,
        headers,
        body,
    })
}

fn classify_error(e: &ClientError) -> CallError {
    match e {
        ClientError::Connect(ConnectError::Disconnected(Some(io)))
            if io.kind() == ErrorKind::ConnectionRefused =>
        {
            CallError::NoListener(e.to_string())
        }
        // A connection that closes while the request is being sent is reported as disconnected
        // too, so only errors that occur while connecting mean "not sent".
        ClientError::Connect(ConnectError::Disconnected(Some(io)))
            if is_connect_error(io.kind()) =>
        {
            CallError::NotSent(e.to_string())
        }
        ClientError::Connect(ConnectError::Disconnected(_)) => CallError::Lost(e.to_string()),
        ClientError::Url(_) | ClientError::Connect(_) => CallError::NotSent(e.to_string()),
        _ => CallError::Lost(e.to_string()),
    }
}

/// Returns whether an error can only occur while connecting.
pub(crate) fn is_connect_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::AddrNotAvailable | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}
