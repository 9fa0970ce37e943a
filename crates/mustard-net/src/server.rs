//! The receiving side of calls between processes: decodes messages, encodes answers, and configures
//! the HTTP server.

use std::net::TcpListener;
use std::sync::Arc;

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::io::IoConfig;
use ntex::util::{BytePageSize, Bytes};
use ntex::web::HttpResponse;
use socket2::SockRef;

use mustard_core::ids::Incarnation;
use mustard_proto::timeline::{TimelineAnswer, TimelineRequest};
use mustard_proto::{Envelope, Message, ProtoError, Refusal, Reply, codec};

use crate::client_limits::MAX_RECEIVE_BUFFER;
use crate::http::{HEADER_TIMEOUT, SERVER_KEEP_ALIVE};
use crate::process::Process;
use crate::traffic;

/// The largest message body that a process reads, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The size of a connection's read buffer, in bytes. Bodies in single-byte chunks take many times as much once
/// they are decoded.
const READ_BUFFER: usize = 4 * 1024;
/// The number of read buffers that are kept for further connections.
const IDLE_BUFFERS: usize = 128;
/// The size of the buffer for unsent bytes of a connection, in bytes.
const SEND_BUFFER: usize = 64 * 1024;
pub(crate) const MAX_HEADER_BYTES: usize = 32 * 1024;
/// The number of header bytes that must arrive within the timeout to extend it. It has no effect,
/// because the timeout is also given as the maximum.
const HEADER_RATE_BYTES: u32 = 256;

/// Returns the configuration of a daemon's HTTP server.
///
/// A request header with more than `headers` fields, with too many bytes, or that arrives too
/// slowly is refused and its connection is closed.
pub fn config(name: &'static str, headers: usize) -> SharedCfg {
    let http = HttpServiceConfig::new()
        .set_keepalive_timeout(SERVER_KEEP_ALIVE)
        .set_headers_read_rate(HEADER_TIMEOUT, HEADER_TIMEOUT, HEADER_RATE_BYTES)
        .set_max_headers(headers)
        .set_max_buf_size(MAX_HEADER_BYTES);
    let io = IoConfig::new()
        .set_read_buf(READ_BUFFER, READ_BUFFER / 8, IDLE_BUFFERS)
        .set_write_page_size(BytePageSize::Size4);
    SharedCfg::new(name).add(http).add(io).into()
}

/// Limits what the operating system holds of each connection's bytes, unread and unsent; connections of the listener
/// inherit the limits. [`crate::accept::serve`] lowers the first one when there are many.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn limit_buffers(listener: &TcpListener) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(MAX_RECEIVE_BUFFER)?;
    socket.set_send_buffer_size(SEND_BUFFER)
}

/// Decodes a message, checks that it is addressed to this incarnation, and merges the clock and
/// the newest catalogue change from its header.
///
/// # Errors
///
/// Returns the refusal to send back.
pub fn receive<M: Message>(process: &Process, body: &[u8]) -> Result<Envelope<M>, Refusal> {
    traffic::count_received(M::PATH, body.len());
    let envelope = codec::decode_message::<M>(body).map_err(refusal_for)?;
    let head = &envelope.head;
    if head.to != Incarnation(0) && head.to != process.incarnation() {
        return Err(Refusal::WrongIncarnation {
            current: process.incarnation(),
        });
    }
    process.observe(head.at, head.seq);
    Ok(envelope)
}

fn refusal_for(e: ProtoError) -> Refusal {
    match e {
        ProtoError::Version { got, supported } => Refusal::Version { got, supported },
        other => Refusal::Malformed {
            detail: other.to_string(),
        },
    }
}

/// Encodes an answer or a refusal.
pub fn reply<M: Message>(process: &Process, result: Result<M::Answer, Refusal>) -> HttpResponse {
    let reply = Reply {
        at: process.tick(),
        seq: process.newest_seq(),
        from: process.incarnation(),
        result,
    };
    match codec::encode(&reply) {
        Ok(body) => {
            traffic::count_sent(M::PATH, body.len());
            HttpResponse::Ok()
                .content_type(codec::MEDIA_TYPE)
                .body(body)
        }
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Answers a request for the events of the timeline.
pub fn timeline(process: &Arc<Process>, body: &Bytes) -> HttpResponse {
    let result = receive::<TimelineRequest>(process, body).map(|envelope| {
        let query = envelope.message;
        TimelineAnswer {
            events: process.timeline().after(query.after, query.request),
        }
    });
    reply::<TimelineRequest>(process, result)
}
