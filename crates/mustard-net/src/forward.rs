//! Sends requests to other servers and reads the responses.
//!
//! All responses are read here, also those to the client of [`crate::http`]. What is a response, and where its body
//! ends, is decided in `response_head.rs`. What is buffered of a response is limited, and so is the time from its
//! first byte to the end of its head.

use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue};
use ntex::http::{HeaderMap, Method};
use ntex::util::{Bytes, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::errors::{CallError, Result};
use crate::http::{Answer, CONNECTION_CLOSE, MAX_ANSWER_BYTES, Request};
use crate::response_head::{Framing, Head, has_empty_line, parse_head};

/// The largest head of a response, interim responses included.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The time from the first byte of a response to the end of its head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest body that is sent in one piece with the head.
const MAX_JOINED_BODY: usize = 16 * 1024;
/// How long [`exchange_unpooled`] waits for a connection; a lost first packet is sent again only after
/// seconds, so that another connection is opened sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The most bytes that one read takes off the connection.
const READ_BYTES: usize = 16 * 1024;
/// After so many bytes of a body other tasks have a turn, though more may be there already.
const TURN_BYTES: usize = 16 * 1024;

/// A request of a remote client that is forwarded.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The receiver.
    pub to: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers, without those that concern a connection.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
}

/// The head of a response, and its body, which is still to be read.
#[derive(Debug)]
pub struct ForwardedResponse {
    /// The status.
    pub status: u16,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseBody,
}

/// The body of a response. Dropping it closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    connection: Connection,
    framing: Framing,
    /// Whether the connection may carry another request once the body has ended.
    is_kept: bool,
    /// How the body goes on after the bytes that were returned last, if that was read with them.
    next: Option<Result<Bytes>>,
    /// The bytes that were read since other tasks had a turn.
    turn_bytes: usize,
}

/// A connection on which requests are sent one after the other.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    /// What is still to be sent; a receiver may respond before it has read a long body.
    unsent: Vec<Bytes>,
    /// Whether the connection failed while a request was being sent. Sending takes the error off the socket, so that
    /// reading sees the end of the connection only.
    has_failed: bool,
    /// What was read and not yet used.
    buffer: BytesMut,
}

/// Forwards a request and returns the head of the response. Dropping the future or the response
/// closes the connection.
///
/// # Errors
///
/// [`CallError::NotSent`] and [`CallError::NoListener`] mean that the receiver did not see the
/// request; after any other error it may have acted.
pub async fn forward_request(
    request: &ForwardedRequest,
    connect_timeout: Duration,
) -> Result<ForwardedResponse> {
    let connection = Connection::open(request.to, connect_timeout).await?;
    connection.send(request, false).await
}

/// Sends a request over a connection of its own and reads the complete answer, of at most
/// [`MAX_ANSWER_BYTES`], all within the time limit of the request.
///
/// # Errors
///
/// As for [`forward_request`].
pub async fn exchange_unpooled(request: &Request<'_>) -> Result<Answer> {
    match timeout(request.timeout, exchange_once(request)).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::TimedOut(request.timeout.as_millis() as u64)),
    }
}

async fn exchange_once(request: &Request<'_>) -> Result<Answer> {
    let connect_timeout = request.timeout.min(CONNECT_TIMEOUT);
    let response = forward_request(&new_request(request)?, connect_timeout).await?;
    let (answer, _) = response.read_answer(MAX_ANSWER_BYTES).await?;
    Ok(answer)
}

/// Returns the request to send for a call.
///
/// # Errors
///
/// [`CallError::NotSent`] if the path or a header would end its line.
pub(crate) fn new_request(call: &Request<'_>) -> Result<ForwardedRequest> {
    let unsendable = |what: &str| CallError::NotSent(format!("{what:?} can't be sent"));
    if !call.path.starts_with('/') || call.path.bytes().any(|b| b <= b' ' || b == 0x7f) {
        return Err(unsendable(call.path));
    }
    let header = |(name, value): (&str, &str)| {
        let pair = HeaderName::try_from(name).ok();
        let pair = pair.zip(HeaderValue::from_str(value).ok());
        pair.ok_or_else(|| unsendable(name))
    };
    let own = [
        ("host", call.to.to_string()),
        ("content-type", call.content_type.to_owned()),
    ];
    let own = own.iter().map(|(n, v)| (*n, v.as_str()));
    let given = call.headers.iter().copied();
    let given = given.filter(|h| *h != CONNECTION_CLOSE);
    Ok(ForwardedRequest {
        to: call.to,
        method: call.method.clone(),
        path: call.path.to_owned(),
        headers: own.chain(given).map(header).collect::<Result<_>>()?,
        body: Bytes::from(call.body.clone()),
    })
}

impl ForwardedResponse {
    /// Reads the complete answer, of at most `max_bytes`. Returns the connection too if it may carry another request.
    ///
    /// # Errors
    ///
    /// As for [`ResponseBody::read_all`].
    pub(crate) async fn read_answer(
        mut self,
        max_bytes: usize,
    ) -> Result<(Answer, Option<Connection>)> {
        let body = self.body.read_all(max_bytes).await?;
        let content_type = self.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|v| v.to_str().ok());
        let answer = Answer {
            status: self.status,
            content_type: content_type.unwrap_or_default().to_owned(),
            headers: self.headers,
            body,
        };
        Ok((answer, self.body.into_connection()))
    }
}

async fn connect(to: SocketAddr, limit: Duration) -> Result<TcpStream> {
    match timeout(limit, TcpStream::connect(to)).await {
        Ok(Ok(stream)) => {
            // Without it, the end of a long body would wait for an acknowledgement.
            stream.set_nodelay(true).map_err(|e| lost(&e))?;
            Ok(stream)
        }
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
            Err(CallError::NoListener(e.to_string()))
        }
        Ok(Err(e)) if is_connect_error(e.kind()) => Err(CallError::NotSent(e.to_string())),
        // A connection that is reset at once was open for a moment.
        Ok(Err(e)) => Err(lost(&e)),
        Err(_) => Err(CallError::NotSent("connection timed out".to_owned())),
    }
}

/// Returns whether an error can only occur while connecting.
fn is_connect_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::AddrNotAvailable | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Returns the bytes of a request, the last piece first. A small body is sent together with the head:
/// a second small segment would wait until the receiver has acknowledged the first one.
fn encode(request: &ForwardedRequest, is_kept: bool) -> Vec<Bytes> {
    let mut head = encode_head(request, is_kept);
    if request.body.len() <= MAX_JOINED_BODY {
        head.extend_from_slice(&request.body);
        vec![Bytes::from(head)]
    } else {
        vec![request.body.clone(), Bytes::from(head)]
    }
}

fn encode_head(request: &ForwardedRequest, is_kept: bool) -> Vec<u8> {
    let mut head = Vec::with_capacity(512);
    // Writing to a vector doesn't fail.
    let _ = write!(head, "{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    let has_body =
        !request.body.is_empty() || !matches!(request.method, Method::GET | Method::HEAD);
    if has_body {
        let _ = write!(head, "{CONTENT_LENGTH}: {}\r\n", request.body.len());
    }
    if !is_kept {
        let _ = write!(head, "{CONNECTION}: close\r\n");
    }
    head.extend_from_slice(b"\r\n");
    head
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// As for [`forward_request`].
    pub(crate) async fn open(to: SocketAddr, limit: Duration) -> Result<Self> {
        Ok(Connection {
            stream: connect(to, limit).await?,
            unsent: Vec::new(),
            has_failed: false,
            buffer: BytesMut::new(),
        })
    }

    /// Returns whether neither further bytes nor the end of the connection came since the last response.
    pub(crate) fn is_silent(&self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a request, after which the connection is kept or not, and reads the head of the response.
    ///
    /// # Errors
    ///
    /// As for [`forward_request`].
    pub(crate) async fn send(
        mut self,
        request: &ForwardedRequest,
        is_kept: bool,
    ) -> Result<ForwardedResponse> {
        self.unsent = encode(request, is_kept);
        let head = self.read_head(&request.method).await?;
        Ok(ForwardedResponse {
            status: head.status,
            headers: head.headers,
            body: ResponseBody {
                connection: self,
                framing: head.framing,
                is_kept: is_kept && head.is_kept,
                next: None,
                turn_bytes: 0,
            },
        })
    }

    /// Waits for further bytes and reads them, at most [`READ_BYTES`], while the rest of the request is
    /// sent. Returns 0 at the end of the connection. Cancel-safe.
    ///
    /// Reads before it sends, as a connection that was reset tells so only once.
    async fn read_more(&mut self) -> Result<usize> {
        loop {
            let interest = if self.unsent.is_empty() {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            self.stream.ready(interest).await.map_err(|e| lost(&e))?;
            let mut bytes = [0; READ_BYTES];
            match self.stream.try_read(&mut bytes) {
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(count);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.write_some(),
                Err(e) => return Err(lost(&e)),
            }
        }
    }

    /// Sends as much as the connection takes now.
    fn write_some(&mut self) {
        while let Some(bytes) = self.unsent.last_mut() {
            if bytes.is_empty() {
                self.unsent.pop();
                continue;
            }
            match self.stream.try_write(bytes) {
                Ok(count) => bytes.advance_to(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The receiver may have responded before; what it sent is still read.
                Err(_) => {
                    self.has_failed = true;
                    self.unsent.clear();
                }
            }
        }
    }

    async fn read_head(&mut self, method: &Method) -> Result<Head> {
        if self.read_more().await? == 0 {
            return Err(CallError::Lost("connection closed".to_owned()));
        }
        match timeout(HEAD_TIMEOUT, self.read_rest_of_head(method)).await {
            Ok(head) => head,
            Err(_) => Err(CallError::Lost("the head doesn't end".to_owned())),
        }
    }

    async fn read_rest_of_head(&mut self, method: &Method) -> Result<Head> {
        let mut interim_bytes = 0;
        // A head that comes in small pieces isn't parsed anew for each of them.
        let (mut parsed, mut searched) = (0, 0);
        loop {
            let unsearched = &self.buffer[usize::saturating_sub(searched, 2)..];
            let is_due = self.buffer.len() >= 2 * parsed || has_empty_line(unsearched);
            searched = self.buffer.len();
            let head = if is_due {
                parsed = self.buffer.len();
                parse_head(&self.buffer, method)?
            } else {
                None
            };
            if let Some((head, len)) = head {
                self.buffer.advance_to(len);
                (parsed, searched) = (0, 0);
                if !head.is_interim() {
                    return Ok(head);
                }
                interim_bytes += len;
            } else if self.read_more().await? == 0 {
                return Err(CallError::Lost("connection closed in the head".to_owned()));
            }
            if interim_bytes + self.buffer.len() > MAX_HEAD_BYTES {
                return Err(CallError::Lost("the head is too large".to_owned()));
            }
        }
    }
}

impl ResponseBody {
    /// Reads the next piece of the body; `None` at its end. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was cut off. One that only the end of the connection delimits was
    /// cut off if the connection was reset, or failed while the request was being sent.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        loop {
            if let Some(piece) = self.take_pieces()? {
                return Ok((!piece.is_empty()).then_some(piece));
            }
            if self.turn_bytes >= TURN_BYTES {
                self.turn_bytes = 0;
                tokio::task::yield_now().await;
            }
            match self.connection.read_more().await? {
                0 => {
                    return match self.framing {
                        Framing::Connection if !self.connection.has_failed => Ok(None),
                        _ => Err(CallError::Lost("connection closed in the body".to_owned())),
                    };
                }
                count => self.turn_bytes += count,
            }
        }
    }

    /// Returns all of the body that is buffered, empty at the end of the body; `None` if more has to be read
    /// first. A body may come in very small chunks, each of which would cost as much as a large one.
    fn take_pieces(&mut self) -> Result<Option<Bytes>> {
        if let Some(next) = self.next.take() {
            return next.map(Some);
        }
        let Some(first) = self.take_piece()? else {
            return Ok(None);
        };
        if first.is_empty() || self.connection.buffer.is_empty() {
            return Ok(Some(first));
        }
        let mut pieces = BytesMut::from(first);
        loop {
            self.next = match self.take_piece() {
                Ok(Some(piece)) if !piece.is_empty() => {
                    pieces.extend_from_slice(&piece);
                    continue;
                }
                Ok(end) => end.map(Ok),
                Err(fault) => Some(Err(fault)),
            };
            return Ok(Some(pieces.freeze()));
        }
    }

    /// Returns the connection if it may carry another request: the body has ended, nothing follows it, and the whole
    /// request was sent.
    fn into_connection(self) -> Option<Connection> {
        let connection = &self.connection;
        let has_sent = connection.unsent.iter().all(Bytes::is_empty) && !connection.has_failed;
        let is_over = self.framing.is_over() && connection.buffer.is_empty();
        (self.is_kept && has_sent && is_over).then_some(self.connection)
    }

    /// Returns whether the head says how long the body is.
    pub fn has_length(&self) -> bool {
        matches!(self.framing, Framing::Length(_))
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was cut off or has more than `max_bytes`.
    pub async fn read_all(&mut self, max_bytes: usize) -> Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.next_chunk().await? {
            if body.len() + piece.len() > max_bytes {
                return Err(CallError::Lost("the body is too large".to_owned()));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    /// Returns the piece of the body that is buffered, empty at the end of the body; `None` if more has
    /// to be read first.
    fn take_piece(&mut self) -> Result<Option<Bytes>> {
        let buffer = &mut self.connection.buffer;
        match &mut self.framing {
            Framing::Length(0) => Ok(Some(Bytes::new())),
            _ if buffer.is_empty() => Ok(None),
            Framing::Length(left) => {
                let count = (*left).min(buffer.len() as u64);
                *left -= count;
                Ok(Some(buffer.split_to(count as usize)))
            }
            Framing::Chunked(decoder) => decoder.decode(buffer),
            Framing::Connection => Ok(Some(buffer.take())),
        }
    }
}

fn lost(e: &std::io::Error) -> CallError {
    CallError::Lost(e.to_string())
}
