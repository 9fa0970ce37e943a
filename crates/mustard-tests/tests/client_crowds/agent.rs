//! Crowds before an agent.

use super::cluster::{Target, plan};
use super::crowd::{Body, Sent};

/// The largest message that an agent reads.
const MESSAGE_LIMIT: usize = 4 * 1024 * 1024;
const CLIENTS: usize = 60;

fn withstand(path: &str, count: usize, body: Body) {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\n");
    Target::Agent.withstand(&plan(), count, &Sent::new(&head, body));
}

#[test]
fn agent_bodies_just_short() {
    withstand("/x/v1/step", CLIENTS, Body::just_short(MESSAGE_LIMIT));
}

#[test]
fn agent_bodies_in_pieces() {
    withstand("/x/v1/call", CLIENTS, Body::in_pieces(MESSAGE_LIMIT, 4_000));
}

#[test]
fn agent_chunks_large() {
    let body = Body::Chunks {
        chunk: 65_536,
        sent: MESSAGE_LIMIT - 65_536,
    };
    withstand("/x/v1/heartbeat", CLIENTS, body);
}

#[test]
fn agent_announced_over_limit() {
    let body = Body::Length {
        announced: 100_000_000_000,
        sent: 2 * MESSAGE_LIMIT,
        piece: 65_536,
    };
    withstand("/x/v1/step", CLIENTS, body);
}

#[test]
fn agent_bodies_of_health_checks() {
    withstand("/healthz", CLIENTS, Body::just_short(MESSAGE_LIMIT));
}

#[test]
fn agent_extension_without_end() {
    let body = Body::Extension {
        sent: MESSAGE_LIMIT / 2,
    };
    withstand("/x/v1/step", 2 * CLIENTS, body);
}

#[test]
fn agent_connections_silent() {
    Target::Agent.withstand_connections(b"");
}

#[test]
fn agent_connections_half_heads() {
    let mut bytes = b"POST /x/v1/heartbeat HTTP/1.1\r\nhost: x\r\nx-fill: ".to_vec();
    bytes.resize(15_000, b'x');
    Target::Agent.withstand_connections(&bytes);
}

#[test]
fn agent_connections_half_bodies() {
    let head = "POST /x/v1/heartbeat HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf";
    Target::Agent.withstand_connections(head.as_bytes());
}
