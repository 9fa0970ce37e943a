//! Crowds before an agent.

use std::io::{Read, Write};
use std::net::TcpStream;

use mustard_tests::Cluster;

use super::cluster::{Target, plan};
use super::crowd::{Body, Sent, frame_whole, lock_crowds};

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
fn agent_chunks_small() {
    let body = Body::Chunks {
        chunk: 64,
        sent: MESSAGE_LIMIT - 64,
    };
    withstand("/x/v1/step", CLIENTS, body);
}

#[test]
fn agent_chunks_single_bytes() {
    let body = Body::Chunks {
        chunk: 1,
        sent: MESSAGE_LIMIT / 32,
    };
    withstand("/x/v1/step", 2 * CLIENTS, body);
}

#[test]
fn agent_trailers_without_end() {
    let body = Body::Trailers {
        sent: MESSAGE_LIMIT / 2,
    };
    withstand("/x/v1/step", 2 * CLIENTS, body);
}

#[test]
fn agent_pipelined_bodies() {
    let head = "POST /x/v1/step HTTP/1.1\r\nhost: x\r\n";
    let mut request = Sent::new(head, Body::just_short(MESSAGE_LIMIT));
    request.pipelined = (4, MESSAGE_LIMIT);
    Target::Agent.withstand(&plan(), CLIENTS, &request);
}

/// A message of the full size is read if no one else sends anything; what it says is refused in an answer.
#[test]
fn agent_single_full_message() {
    let _lock = lock_crowds();
    let cluster = Cluster::start(&plan()).unwrap();
    let body = vec![0xc1; MESSAGE_LIMIT];
    for chunk in [None, Some(65_536), Some(100)] {
        let head = "POST /x/v1/step HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
        let bytes = frame_whole(head, &body, chunk);
        let mut stream = TcpStream::connect(cluster.stages[0].agent.addr()).unwrap();
        stream.write_all(&bytes).unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).unwrap();
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.contains("Malformed"), "{chunk:?}: {answer}");
    }
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
