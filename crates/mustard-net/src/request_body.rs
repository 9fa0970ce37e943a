//! Keeps a connection from carrying another request before the body of the last one has ended.
//!
//! A request may be answered before its body has been read. The rest of that body must not be decoded as further
//! requests, so it is read and discarded after the answer was sent. If that takes too long, the connection is closed.
//! All listeners have this layer, so that handlers may drop the body of a request at any point.

use std::cell::RefCell;
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ntex::http::body::{Body, BodySize, MessageBody, ResponseBody};
use ntex::http::error::PayloadError;
use ntex::http::header::CONTENT_LENGTH;
use ntex::http::{ConnectionType, Payload, Request, Response, StatusCode};
use ntex::util::{Bytes, Stream};
use tokio::time::{Instant, Sleep, sleep};

use crate::client_budget::RequestGuard;

/// How long, and how much of, the rest of a body is discarded: closing a connection with unread bytes resets it, and
/// the client might never see the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_DISCARD_BYTES: usize = 16 * 1024 * 1024;
/// How long a client may send nothing of the rest of a body.
const QUIET_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest announced body whose connection is kept although its rest hasn't arrived yet, in bytes.
const MAX_KEPT_BODY: u64 = 64 * 1024;

/// A piece of a body, or the end of it.
type Piece = Option<Result<Bytes, PayloadError>>;

/// The body of a request, shared by its handler and the connection.
pub(crate) struct RequestBody {
    source: Rc<RefCell<Source>>,
    announced: Option<u64>,
}

struct Source {
    payload: Payload,
    /// Whether the body ended, or can't be read any further.
    has_ended: bool,
}

/// The body as its handler reads it.
struct Reader(Rc<RefCell<Source>>);

impl Stream for Reader {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Piece> {
        self.0.borrow_mut().poll_recv(cx)
    }
}

impl Source {
    fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Piece> {
        let piece = ready!(self.payload.poll_recv(cx));
        self.has_ended = !matches!(piece, Some(Ok(_)));
        Poll::Ready(piece)
    }

    /// Discards what has arrived, at most `limit` bytes; returns their number.
    fn discard(&mut self, cx: &mut Context<'_>, limit: usize) -> usize {
        let mut count = 0;
        while !self.has_ended && count <= limit {
            match self.poll_recv(cx) {
                Poll::Ready(Some(Ok(piece))) => count += piece.len(),
                _ => break,
            }
        }
        count
    }
}

impl RequestBody {
    /// Shares the body of a request with its handler; `None` if the request has no body.
    pub(crate) fn share(request: &mut Request) -> Option<Self> {
        let payload = request.take_payload();
        if matches!(payload, Payload::None) {
            return None;
        }
        let length = request.headers().get(CONTENT_LENGTH);
        let announced = length.and_then(|v| v.to_str().ok()?.trim().parse().ok());
        let has_ended = false;
        let source = Rc::new(RefCell::new(Source { payload, has_ended }));
        request.replace_payload(Payload::from_stream(Reader(Rc::clone(&source))));
        Some(RequestBody { source, announced })
    }

    /// Returns the body if it hasn't ended.
    pub(crate) async fn into_unread(self) -> Option<UnreadBody> {
        if !self.has_ended() {
            self.discard_arrived().await;
        }
        if self.has_ended() {
            return None;
        }
        Some(UnreadBody(self))
    }

    fn has_ended(&self) -> bool {
        self.source.borrow().has_ended
    }

    /// Discards what has arrived without waiting for more. The HTTP server reads a body only while its handler waits
    /// for it, so this waits for one turn.
    async fn discard_arrived(&self) {
        let mut has_waited = false;
        std::future::poll_fn(|cx| {
            let mut source = self.source.borrow_mut();
            source.discard(cx, MAX_DISCARD_BYTES);
            if source.has_ended || std::mem::replace(&mut has_waited, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }
}

/// A body that hadn't ended when its request was answered.
pub(crate) struct UnreadBody(RequestBody);

impl UnreadBody {
    /// Returns the response to send for an answer; the rest of the body is discarded once the answer is sent.
    pub(crate) fn discard_after(
        self,
        mut answer: Response<Body>,
        guard: Option<RequestGuard>,
    ) -> Response<Body> {
        let RequestBody { source, announced } = self.0;
        let head = answer.head_mut();
        let is_small = announced.is_some_and(|size| size <= MAX_KEPT_BODY);
        let is_closed = head.connection_type() == ConnectionType::Close;
        if !is_small || is_closed || head.status == StatusCode::REQUEST_TIMEOUT {
            head.set_connection_type(ConnectionType::Close);
            if let Some(guard) = &guard {
                guard.set_last();
            }
        }
        answer.map_body(|_, body| {
            let discarding = DiscardingBody {
                answer: body.into(),
                source,
                guard,
                discarded: 0,
                timing: None,
            };
            ResponseBody::new(Body::from_message(discarding))
        })
    }
}

/// The body of an answer that ends only when the body of its request has ended. The client takes the answer as whole
/// sooner, as its head tells its length.
struct DiscardingBody {
    answer: Body,
    source: Rc<RefCell<Source>>,
    guard: Option<RequestGuard>,
    discarded: usize,
    /// Set once the whole answer was handed to the connection.
    timing: Option<Timing>,
}

/// How long the rest of a body is waited for.
struct Timing {
    end: Instant,
    quiet: Pin<Box<Sleep>>,
}

impl Timing {
    fn begin() -> Self {
        Timing {
            end: Instant::now() + DISCARD_TIMEOUT,
            quiet: Box::pin(sleep(QUIET_TIMEOUT)),
        }
    }

    /// Records that something has arrived.
    fn extend(&mut self) {
        let end = self.end.min(Instant::now() + QUIET_TIMEOUT);
        self.quiet.as_mut().reset(end);
    }
}

impl MessageBody for DiscardingBody {
    fn size(&self) -> BodySize {
        match self.answer.size() {
            // The HTTP server doesn't wait for the end of a body that it knows to be empty.
            BodySize::None | BodySize::Empty => BodySize::Sized(0),
            size => size,
        }
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        let timing = match &mut self.timing {
            Some(timing) => timing,
            None => {
                if let Some(piece) = ready!(self.answer.poll_next_chunk(cx)) {
                    return Poll::Ready(Some(piece));
                }
                if let Some(guard) = &self.guard {
                    guard.set_discarding();
                }
                self.timing.insert(Timing::begin())
            }
        };
        let mut source = self.source.borrow_mut();
        let count = source.discard(cx, MAX_DISCARD_BYTES.saturating_sub(self.discarded));
        if source.has_ended {
            return Poll::Ready(None);
        }
        self.discarded += count;
        if count > 0 {
            timing.extend();
        }
        let is_too_large = self.discarded > MAX_DISCARD_BYTES;
        if is_too_large || timing.quiet.as_mut().poll(cx).is_ready() {
            // The HTTP server closes a connection whose body nobody reads.
            source.payload = Payload::None;
            return Poll::Ready(None);
        }
        Poll::Pending
    }
}
