//! Responses written byte by byte: without a length, cut off, or without an end.

use std::time::Duration;

use ntex::http::Response;
use ntex::io::IoRef;
use ntex::util::Bytes;
use tokio::sync::mpsc::Receiver;
use tokio::time::{Instant, sleep};

use super::Site;
use super::http::Call;

/// What a response without an end repeats.
const FILLER: [u8; 1024] = [b'a'; 1024];
/// How many small chunks are written at once.
const SMALL_CHUNKS: usize = 10_000;
/// The pause between two repetitions.
const FILLER_PAUSE: Duration = Duration::from_millis(2);
/// After this time the server gives up on a client that doesn't close the connection.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Which part of a response has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// The value of a header.
    Head,
    /// The list of headers.
    Headers,
    /// The body, which only the end of the connection delimits.
    Body,
    /// The extension of a chunk's size.
    ChunkLine,
    /// An event, which comes in chunks of eight bytes.
    SmallChunks,
}

/// Returns the head of a response that only the end of the connection delimits.
fn unframed_head(id: &str, content_type: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-seal: seal-{id}\r\n\
         content-type: {content_type}\r\nconnection: close\r\n"
    )
}

/// Sends a response without a length, and closes the connection once `chunks` ends. If it ends with
/// `None`, the connection is closed within an event.
pub(super) async fn send_unframed(
    call: &Call,
    id: &str,
    content_type: &str,
    mut chunks: Receiver<Option<Bytes>>,
) -> Response {
    let Some(io) = call.connection() else {
        return Response::InternalServerError().finish();
    };
    let head = unframed_head(id, content_type) + "\r\n";
    write(&io, head.as_bytes());
    while let Some(chunk) = chunks.recv().await {
        let cut_off = chunk.is_none();
        let bytes = chunk.unwrap_or_else(|| Bytes::from_static(b"id: 9"));
        if !write(&io, &bytes) || cut_off {
            break;
        }
    }
    drop(chunks);
    io.close();
    std::future::pending().await
}

/// How a server begins a body that it doesn't finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfinished {
    /// The head names a length, and no body follows.
    Length,
    /// The head names a length, and half of the body follows.
    Half,
    /// The head announces chunks, and none follows.
    Chunks,
    /// Only the end of the connection would end the body.
    Connection,
    /// As `Half`, and the connection is closed.
    Cut,
}

/// Sends the head of a response and not its whole body, and keeps the connection open unless it is to be cut.
pub(super) async fn send_unfinished(
    call: &Call,
    id: &str,
    status: u16,
    what: Unfinished,
) -> Response {
    let Some(io) = call.connection() else {
        return Response::InternalServerError().finish();
    };
    let (framing, body) = match what {
        Unfinished::Length => ("content-length: 40\r\n", ""),
        Unfinished::Half | Unfinished::Cut => ("content-length: 40\r\n", "half of the body is "),
        Unfinished::Chunks => ("transfer-encoding: chunked\r\n", ""),
        Unfinished::Connection => ("", ""),
    };
    let head = format!(
        "HTTP/1.1 {status} Status\r\nattempt-id: {id}\r\nresponse-seal: seal-{id}\r\n\
         content-type: text/plain\r\n{framing}\r\n{body}"
    );
    write(&io, head.as_bytes());
    if what == Unfinished::Cut {
        io.close();
    }
    std::future::pending().await
}

/// Sends bytes in which `{id}` stands for the id of the request, and closes the connection.
pub(super) async fn send_bytes(call: &Call, id: &str, bytes: &[u8]) -> Response {
    const PLACE: &[u8] = b"{id}";
    let Some(io) = call.connection() else {
        return Response::InternalServerError().finish();
    };
    let place = bytes.windows(PLACE.len()).position(|w| w == PLACE);
    let bytes = match place {
        Some(at) => [&bytes[..at], id.as_bytes(), &bytes[at + PLACE.len()..]].concat(),
        None => bytes.to_vec(),
    };
    write(&io, &bytes);
    io.close();
    std::future::pending().await
}

/// Sends a refusal, and a little later the same bytes again on the same connection, which stays open.
pub(super) async fn send_refusal_twice(call: &Call) -> Response {
    let Some(io) = call.connection() else {
        return Response::InternalServerError().finish();
    };
    let id = call.header("attempt-id").unwrap_or_default();
    let refusal = format!(
        "HTTP/1.1 503 Service Unavailable\r\nattempt-id: {id}\r\nnot-executed: 1\r\n\
         content-length: 0\r\n\r\n"
    );
    if write(&io, refusal.as_bytes()) {
        sleep(FILLER_PAUSE).await;
        write(&io, refusal.as_bytes());
    }
    std::future::pending().await
}

/// Counts the bytes of a response without an end, and records them once it is over: the HTTP server
/// drops it when the client closes the connection.
struct EndlessCount {
    site: Site,
    begun: Instant,
    sent: u64,
}

impl Drop for EndlessCount {
    fn drop(&mut self) {
        let result = (self.sent, self.begun.elapsed());
        self.site.lock().ledger.endless.push(result);
    }
}

/// Sends a response without an end until the client closes the connection.
pub(super) async fn send_endless(site: &Site, call: &Call, id: &str, what: Endless) {
    let Some(io) = call.connection() else {
        return;
    };
    let head = unframed_head(id, "text/event-stream");
    let (begin, filler): (String, &[u8]) = match what {
        Endless::Head => (head + "x-filler: ", &FILLER),
        Endless::Headers => (head, b"x-filler: a\r\n"),
        Endless::Body => (head + "\r\n", &FILLER),
        Endless::ChunkLine => (head + "transfer-encoding: chunked\r\n\r\n1;x=", &FILLER),
        Endless::SmallChunks => (
            head + "transfer-encoding: chunked\r\n\r\n",
            &*b"8\r\naaaaaaaa\r\n".repeat(SMALL_CHUNKS),
        ),
    };
    let mut count = EndlessCount {
        site: site.clone(),
        begun: Instant::now(),
        sent: begin.len() as u64,
    };
    let mut is_open = write(&io, begin.as_bytes());
    while is_open && count.begun.elapsed() < MAX_TIME {
        is_open = write(&io, filler);
        count.sent += filler.len() as u64;
        sleep(FILLER_PAUSE).await;
    }
    io.terminate();
}

fn write(io: &IoRef, bytes: &[u8]) -> bool {
    !io.is_closed() && io.encode_slice(bytes).is_ok()
}
