//! Calls to other processes and to outside systems, over kept connections and with a time limit.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{HeaderMap, Method};
use ntex::time::Seconds;
use ntex::util::Bytes;
use tokio::time::Instant;

use crate::errors::{CallError, Result};
use crate::forward::{self, Connection, ForwardedResponse, forward_request, new_request};
use crate::kept_connections::{KEEP_TIME, KeptConnections};

/// The largest answer body that a client reads, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How long an HTTP server keeps an idle connection. It is longer than any client's time, so that a
/// client never sends on a connection that the HTTP server is closing.
pub(crate) const SERVER_KEEP_ALIVE: Seconds = Seconds(75);
/// How long an HTTP server waits for the complete header of a request.
pub(crate) const HEADER_TIMEOUT: Seconds = Seconds(5);
/// The header that makes [`exchange`] use a connection of its own and close it.
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
    /// The time limit of [`exchange`]; [`send`] applies it to the connection only.
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

/// A client that keeps connections for further calls; it belongs to the calling thread. Clones share the connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    kept: Rc<RefCell<KeptConnections>>,
    connect_timeout: Duration,
    max_bytes: usize,
}

impl HttpClient {
    /// Sends a request and reads the complete answer, without a time limit.
    async fn exchange(&self, request: &Request<'_>) -> Result<Answer> {
        let outgoing = new_request(request)?;
        let is_kept = !request.headers.contains(&CONNECTION_CLOSE);
        let kept = is_kept.then(|| self.kept.borrow_mut().take(request.to));
        let connection = match kept.flatten() {
            Some(connection) => connection,
            None => Connection::open(request.to, self.connect_timeout).await?,
        };
        let response = connection.send(&outgoing, is_kept).await?;
        let (answer, connection) = response.read_answer(self.max_bytes).await?;
        if let Some(connection) = connection {
            self.kept.borrow_mut().keep(request.to, connection);
        }
        Ok(answer)
    }
}

/// Creates an HTTP client.
pub fn new_client() -> HttpClient {
    new_limited_client(Duration::MAX, MAX_ANSWER_BYTES)
}

/// Creates an HTTP client that gives up connecting after `connect_timeout` and reads answers of at most `max_bytes`.
pub fn new_limited_client(connect_timeout: Duration, max_bytes: usize) -> HttpClient {
    HttpClient {
        kept: Rc::default(),
        connect_timeout,
        max_bytes,
    }
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
            self.unpooled_until.set(Some(Instant::now() + KEEP_TIME));
        }
        answer
    }
}

/// Sends a request and reads the complete answer within the time limit of the request.
///
/// # Errors
///
/// [`CallError::NotSent`] and [`CallError::NoListener`] mean that the receiver did not see the
/// request; after any other error it may have acted.
pub async fn exchange(client: &HttpClient, request: Request<'_>) -> Result<Answer> {
    match tokio::time::timeout(request.timeout, client.exchange(&request)).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::TimedOut(request.timeout.as_millis() as u64)),
    }
}

/// Sends a request over a connection of its own and returns the head of the answer; the body is still to be read.
///
/// # Errors
///
/// As for [`exchange`].
pub async fn send(request: &Request<'_>) -> Result<ForwardedResponse> {
    forward_request(&new_request(request)?, request.timeout).await
}
