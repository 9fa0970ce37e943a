//! Decides what is a response, and where its body ends (RFC 9112, sections 4 to 6).
//!
//! Bytes that are no response are an error here, so that no reader takes them for one.

use ntex::http::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use ntex::http::{HeaderMap, Method};

use crate::chunked::ChunkedDecoder;
use crate::errors::{CallError, Result};

/// The most headers of a response.
const MAX_HEADERS: usize = 128;
/// What a response begins with. The parser would skip empty lines before it.
const PROTOCOL: &[u8] = b"HTTP/1.";
/// The status with which a receiver goes over to another protocol, which is never asked for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The head of a response.
#[derive(Debug)]
pub(crate) struct Head {
    /// The status, from 100 to 599.
    pub(crate) status: u16,
    /// The headers as received.
    pub(crate) headers: HeaderMap,
    /// What says where the body ends.
    pub(crate) framing: Framing,
    /// Whether the sender keeps the connection.
    pub(crate) is_kept: bool,
}

impl Head {
    /// Returns whether the head of another response follows this one.
    pub(crate) fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// What says where a body ends.
#[derive(Debug)]
pub(crate) enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// The last chunk.
    Chunked(ChunkedDecoder),
    /// The end of the connection, unless that fails before.
    Connection,
}

impl Framing {
    /// Returns whether the body has ended and the connection hasn't.
    pub(crate) fn is_over(&self) -> bool {
        match self {
            Framing::Length(left) => *left == 0,
            Framing::Chunked(decoder) => decoder.is_over(),
            Framing::Connection => false,
        }
    }
}

/// Tells whether there is an empty line, which ends a head.
pub(crate) fn has_empty_line(bytes: &[u8]) -> bool {
    let mut pairs = bytes.windows(2);
    let mut triples = bytes.windows(3);
    pairs.any(|w| w == b"\n\n") || triples.any(|w| w == b"\n\r\n")
}

/// Tells whether a line ends without CR. The parser takes such a line, also an empty one that ends the head within the
/// name of a header.
fn has_bare_line_end(head: &[u8]) -> bool {
    let mut previous = b' ';
    head.iter()
        .any(|byte| std::mem::replace(&mut previous, *byte) != b'\r' && *byte == b'\n')
}

/// Returns the head of the response to a request and its length; `None` if it is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes don't begin a response whose end can be told.
pub(crate) fn parse_head(bytes: &[u8], method: &Method) -> Result<Option<(Head, usize)>> {
    let begin = &bytes[..bytes.len().min(PROTOCOL.len())];
    if !PROTOCOL.starts_with(begin) {
        return Err(malformed("no status line"));
    }
    let mut list = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut list);
    let parsed = response.parse(bytes);
    let httparse::Status::Complete(len) = parsed.map_err(|e| CallError::Lost(e.to_string()))?
    else {
        return Ok(None);
    };
    if has_bare_line_end(&bytes[..len]) {
        return Err(malformed("a line of the head ends without CR"));
    }
    let status = response.code.unwrap_or_default();
    if !(100..600).contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(malformed(&format!("status {status:03}")));
    }
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(malformed(&format!("header {}", header.name)));
        };
        headers.append(name, value);
    }
    let is_old = response.version == Some(0);
    let head = Head {
        status,
        framing: find_framing(status, &headers, method, is_old)?,
        is_kept: !is_old && !closes_connection(&headers),
        headers,
    };
    Ok(Some((head, len)))
}

/// Returns what says where the body ends (RFC 9112, section 6.3); `is_old` means HTTP/1.0, which has no chunks.
fn find_framing(
    status: u16,
    headers: &HeaderMap,
    method: &Method,
    is_old: bool,
) -> Result<Framing> {
    let framing = find_stated_framing(headers, is_old)?;
    if *method == Method::HEAD || matches!(status, 100..200 | 204 | 304) {
        return Ok(Framing::Length(0));
    }
    Ok(framing)
}

/// Returns the framing that the headers state, for a response that may have a body.
fn find_stated_framing(headers: &HeaderMap, is_old: bool) -> Result<Framing> {
    let text = |v: &HeaderValue| v.to_str().map(str::to_ascii_lowercase).unwrap_or_default();
    let codings: Vec<String> = headers.get_all(TRANSFER_ENCODING).map(text).collect();
    let lengths: Vec<String> = headers.get_all(CONTENT_LENGTH).map(text).collect();
    if !codings.is_empty() {
        // A length beside chunks may come from a sender that smuggles a response in another one's body.
        return if codings == ["chunked"] && lengths.is_empty() && !is_old {
            Ok(Framing::Chunked(ChunkedDecoder::default()))
        } else {
            Err(malformed(&format!(
                "transfer coding {codings:?}, length {lengths:?}"
            )))
        };
    }
    let Some((first, rest)) = lengths.split_first() else {
        return Ok(Framing::Connection);
    };
    let is_number = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
    match first.parse() {
        Ok(length) if is_number && rest.iter().all(|l| l == first) => Ok(Framing::Length(length)),
        _ => Err(malformed(&format!("length {lengths:?}"))),
    }
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).filter_map(|v| v.to_str().ok());
    let mut options = values.flat_map(|v| v.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

fn malformed(what: &str) -> CallError {
    CallError::Lost(format!("no response: {what}"))
}
