//! One HTTP exchange with a time limit that does not depend on coarse timers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client as HttpClient, ClientResponse, Connector};
use ntex::http::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use ntex::http::{Method, StatusCode};
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds};
use ntex::util::Bytes;

use crate::errors::{CallError, Result};

/// The largest answer body that a client reads, in bytes.
pub const MAX_ANSWER: usize = 16 * 1024 * 1024;

// The pool wakes callers that wait for a connection only if it has a limit above zero.
const MAX_CONNECTIONS: usize = 65_536;
const KEEP_ALIVE: Seconds = Seconds(15);
/// How long a server keeps an idle connection; longer than any client, so that a client never
/// sends on a connection that the server closes at that moment.
pub(crate) const SERVER_KEEP_ALIVE: Seconds = Seconds(75);
/// How long the header of a request may take in all.
pub(crate) const HEADER_TIME: Seconds = Seconds(5);
const LIFETIME: Seconds = Seconds(600);

/// The header of a request whose connection is not kept.
pub const CLOSE: (&str, &str) = ("connection", "close");

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
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Vec<u8>,
    /// The time for the whole exchange.
    pub limit: Duration,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// A request that is passed on over a connection of its own.
#[derive(Clone, Debug)]
pub struct Passed {
    /// The receiver.
    pub to: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
}

/// Creates an HTTP client; it belongs to the calling thread.
pub async fn new_client() -> HttpClient {
    build_client(SharedCfg::default()).await
}

/// Creates an HTTP client that gives up a connection that isn't made within a time.
pub async fn new_client_within(connect: Duration) -> HttpClient {
    let millis = Millis(connect.as_millis() as u32);
    let io = IoConfig::new().set_connect_timeout(millis);
    build_client(SharedCfg::new("client").add(io).into()).await
}

async fn build_client(shared: SharedCfg) -> HttpClient {
    let connector = Connector::new()
        .limit(MAX_CONNECTIONS)
        .keep_alive(KEEP_ALIVE)
        .lifetime(LIFETIME);
    HttpClient::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .response_payload_limit(MAX_ANSWER)
        .response_payload_timeout(Millis::ZERO)
        .build(shared)
        .await
        .expect("an HTTP client without TLS is always built")
}

/// Sends a request and reads the whole answer.
///
/// # Errors
///
/// [`CallError::NotSent`] means that the receiver saw nothing; any other error leaves open
/// whether it acted.
pub async fn exchange(client: &HttpClient, request: Request<'_>) -> Result<Answer> {
    let limit = request.limit;
    let whole = async {
        let response = send(client, request).await?;
        read(response).await
    };
    match tokio::time::timeout(limit, whole).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::TimedOut(limit.as_millis() as u64)),
    }
}

/// Sends a request and returns the answer with its body still to be read.
pub async fn send(client: &HttpClient, request: Request<'_>) -> Result<ClientResponse> {
    let url = format!("http://{}{}", request.to, request.path);
    let mut out = client
        .request(request.method, url)
        .address(request.to)
        .header("content-type", request.content_type);
    for header in request.headers {
        out = match *header {
            CLOSE => out.force_close(),
            (name, value) => out.header(name, value),
        };
    }
    out.send_body(Bytes::from(request.body))
        .await
        .map_err(|e| sort_error(&e))
}

/// Passes a request on over a new connection and returns the head of the answer, whose body is
/// still to be read. Dropping either the future or the answer closes the connection.
///
/// # Errors
///
/// As for [`exchange`]. An answer without a length, whose body ends with its connection, counts as
/// lost: the HTTP client takes its body for empty.
pub async fn pass_on(client: &HttpClient, passed: Passed) -> Result<ClientResponse> {
    let url = format!("http://{}{}", passed.to, passed.path);
    let mut out = client
        .request(passed.method, url)
        .address(passed.to)
        .no_decompress()
        .force_close();
    for (name, value) in passed.headers {
        out = out.header(name, value);
    }
    let answer = out
        .send_body(passed.body)
        .await
        .map_err(|e| sort_error(&e))?;
    if has_body(&answer) && !is_framed(&answer) {
        return Err(CallError::Lost("an answer without a length".to_owned()));
    }
    Ok(answer)
}

fn has_body(answer: &ClientResponse) -> bool {
    !matches!(
        answer.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    )
}

fn is_framed(answer: &ClientResponse) -> bool {
    let headers = answer.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

async fn read(response: ClientResponse) -> Result<Answer> {
    let status = response.status().as_u16();
    let content_type = response
        .header("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = response
        .body()
        .await
        .map_err(|e| CallError::Lost(e.to_string()))?;
    Ok(Answer {
        status,
        content_type,
        body,
    })
}

fn sort_error(e: &ClientError) -> CallError {
    match e {
        // A connection that closes while the request is sent is reported as disconnected too, so
        // only errors that come before a connection exists mean "not sent".
        ClientError::Connect(ConnectError::Disconnected(Some(io))) if is_unmade(io.kind()) => {
            CallError::NotSent(e.to_string())
        }
        ClientError::Connect(ConnectError::Disconnected(_)) => CallError::Lost(e.to_string()),
        ClientError::Url(_) | ClientError::Connect(_) => CallError::NotSent(e.to_string()),
        _ => CallError::Lost(e.to_string()),
    }
}

/// Tells whether an error can only come from making a connection.
fn is_unmade(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused
            | ErrorKind::AddrNotAvailable
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
    )
}
