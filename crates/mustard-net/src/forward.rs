//! Forwards requests to other servers, each over a connection of its own, and reads the responses.
//!
//! Unlike the HTTP client of [`crate::http`], this one reads bodies that only the end of the
//! connection delimits. What it buffers of a response is limited, and so is the time from the first
//! byte of a response to the end of its head.

use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use ntex::http::{HeaderMap, Method};
use ntex::util::{Bytes, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::chunked::ChunkedDecoder;
use crate::errors::{CallError, Result};
use crate::http::{Answer, CONNECTION_CLOSE, MAX_ANSWER_BYTES, Request, is_connect_error};

/// The largest head of a response, interim responses included.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The most headers of a response.
const MAX_HEADERS: usize = 128;
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
    /// How the body goes on after the bytes that were returned last, if that was read with them.
    next: Option<Result<Bytes>>,
    /// The bytes that were read since other tasks had a turn.
    turn_bytes: usize,
}

/// A connection on which one request is sent and its response read.
#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    /// What is still to be sent; a receiver may respond before it has read a long body.
    unsent: Vec<Bytes>,
    /// What was read and not yet used.
    buffer: BytesMut,
}

/// What says where a body ends.
#[derive(Debug)]
enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// The last chunk.
    Chunked(ChunkedDecoder),
    /// The end of the connection, unless it is reset.
    Connection,
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
    let stream = connect(request.to, connect_timeout).await?;
    let mut connection = Connection {
        unsent: encode(request),
        stream,
        buffer: BytesMut::new(),
    };
    let (status, headers, framing) = connection.read_head(&request.method).await?;
    Ok(ForwardedResponse {
        status,
        headers,
        body: ResponseBody {
            connection,
            framing,
            next: None,
            turn_bytes: 0,
        },
    })
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
    let header = |name: &str, value: &str| {
        let name = HeaderName::try_from(name).ok()?;
        Some((name, HeaderValue::from_str(value).ok()?))
    };
    let own = [
        ("host", request.to.to_string()),
        ("content-type", request.content_type.to_owned()),
    ];
    let own = own.iter().map(|(n, v)| (*n, v.as_str()));
    let given = request.headers.iter().copied();
    let given = given.filter(|h| *h != CONNECTION_CLOSE);
    let outgoing = ForwardedRequest {
        to: request.to,
        method: request.method.clone(),
        path: request.path.to_owned(),
        headers: own.chain(given).filter_map(|(n, v)| header(n, v)).collect(),
        body: Bytes::from(request.body.clone()),
    };
    let connect_timeout = request.timeout.min(CONNECT_TIMEOUT);
    let mut response = forward_request(&outgoing, connect_timeout).await?;
    let body = response.body.read_all(MAX_ANSWER_BYTES).await?;
    let content_type = response.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|v| v.to_str().ok());
    Ok(Answer {
        status: response.status,
        content_type: content_type.unwrap_or_default().to_owned(),
        headers: response.headers,
        body,
    })
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

/// Returns the bytes of a request, the last piece first. A small body is sent together with the head:
/// a second small segment would wait until the receiver has acknowledged the first one.
fn encode(request: &ForwardedRequest) -> Vec<Bytes> {
    let mut head = encode_head(request);
    if request.body.len() <= MAX_JOINED_BODY {
        head.extend_from_slice(&request.body);
        vec![Bytes::from(head)]
    } else {
        vec![request.body.clone(), Bytes::from(head)]
    }
}

fn encode_head(request: &ForwardedRequest) -> Vec<u8> {
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
    let _ = write!(head, "{CONNECTION}: close\r\n\r\n");
    head
}

impl Connection {
    /// Waits for further bytes and reads them, at most [`READ_BYTES`], while the rest of the request is
    /// sent. Returns 0 at the end of the connection. Cancel-safe.
    async fn read_more(&mut self) -> Result<usize> {
        loop {
            let interest = if self.unsent.is_empty() {
                Interest::READABLE
            } else {
                Interest::READABLE | Interest::WRITABLE
            };
            let ready = self.stream.ready(interest).await.map_err(|e| lost(&e))?;
            if ready.is_writable() {
                self.write_some();
            }
            let mut bytes = [0; READ_BYTES];
            match self.stream.try_read(&mut bytes) {
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(count);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
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
                // The receiver may have responded before it closed the connection; reading shows that.
                Err(_) => self.unsent.clear(),
            }
        }
    }

    async fn read_head(&mut self, method: &Method) -> Result<(u16, HeaderMap, Framing)> {
        if self.read_more().await? == 0 {
            return Err(CallError::Lost("connection closed".to_owned()));
        }
        match timeout(HEAD_TIMEOUT, self.read_rest_of_head(method)).await {
            Ok(head) => head,
            Err(_) => Err(CallError::Lost("the head doesn't end".to_owned())),
        }
    }

    async fn read_rest_of_head(&mut self, method: &Method) -> Result<(u16, HeaderMap, Framing)> {
        let mut interim_bytes = 0;
        // A head that comes in small pieces isn't parsed anew for each of them.
        let (mut parsed, mut searched) = (0, 0);
        loop {
            let unsearched = &self.buffer[usize::saturating_sub(searched, 2)..];
            let is_due = self.buffer.len() >= 2 * parsed || has_empty_line(unsearched);
            searched = self.buffer.len();
            let head = if is_due {
                parsed = self.buffer.len();
                parse_head(&self.buffer)?
            } else {
                None
            };
            if let Some((status, headers, len)) = head {
                self.buffer.advance_to(len);
                (parsed, searched) = (0, 0);
                if !(100..200).contains(&status) {
                    let framing = find_framing(status, &headers, method)?;
                    return Ok((status, headers, framing));
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

/// Tells whether there is an empty line, which ends a head.
fn has_empty_line(bytes: &[u8]) -> bool {
    let mut pairs = bytes.windows(2);
    let mut triples = bytes.windows(3);
    pairs.any(|w| w == b"\n\n") || triples.any(|w| w == b"\n\r\n")
}

/// Returns the status, the headers and the length of a head; `None` if it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<(u16, HeaderMap, usize)>> {
    let mut list = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut list);
    let parsed = response.parse(bytes);
    let httparse::Status::Complete(len) = parsed.map_err(|e| CallError::Lost(e.to_string()))?
    else {
        return Ok(None);
    };
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(CallError::Lost(format!("header {}", header.name)));
        };
        headers.append(name, value);
    }
    Ok(Some((response.code.unwrap_or_default(), headers, len)))
}

/// Returns what says where the body ends (RFC 9112, section 6.3).
fn find_framing(status: u16, headers: &HeaderMap, method: &Method) -> Result<Framing> {
    if *method == Method::HEAD || matches!(status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    let text = |v: &HeaderValue| v.to_str().map(str::to_ascii_lowercase).unwrap_or_default();
    let codings: Vec<String> = headers.get_all(TRANSFER_ENCODING).map(text).collect();
    if !codings.is_empty() {
        return if codings == ["chunked"] {
            Ok(Framing::Chunked(ChunkedDecoder::default()))
        } else {
            Err(CallError::Lost(format!("transfer coding {codings:?}")))
        };
    }
    let lengths: Vec<String> = headers.get_all(CONTENT_LENGTH).map(text).collect();
    let Some((first, rest)) = lengths.split_first() else {
        return Ok(Framing::Connection);
    };
    let is_number = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
    match first.parse() {
        Ok(length) if is_number && rest.iter().all(|l| l == first) => Ok(Framing::Length(length)),
        _ => Err(CallError::Lost(format!("length {lengths:?}"))),
    }
}

impl ResponseBody {
    /// Reads the next piece of the body; `None` at its end. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was cut off. One that only the end of the connection delimits was
    /// cut off if the connection was reset.
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
                        Framing::Connection => Ok(None),
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
