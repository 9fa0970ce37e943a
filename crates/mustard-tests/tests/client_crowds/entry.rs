//! Crowds before an entry process.

use mustard_tests::Cluster;
use mustard_tests::plan::{CUSTOMER_KEY, MODEL};

use super::cluster::{Target, plan};
use super::crowd::{Body, Sent, frame_whole, lock_crowds, send_whole};

const BODY_LIMIT: usize = 1024 * 1024;
const CLIENTS: usize = 200;

fn withstand(path: &str, body: Body) {
    withstand_pipelined(path, (0, 0), body);
}

/// Sends complete requests, given by their number and the size of their bodies, before the one with `body`.
fn withstand_pipelined(path: &str, pipelined: (usize, usize), body: Body) {
    let plan = plan().entry_settings("[limits]\nbody_ms = 60000\n");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\n"
    );
    let mut request = Sent::new(&head, body);
    request.pipelined = pipelined;
    Target::Entry.withstand(&plan, CLIENTS, &request);
}

#[test]
fn entry_bodies_just_short() {
    withstand("/v1/completions", Body::just_short(BODY_LIMIT));
}

#[test]
fn entry_bodies_in_pieces() {
    withstand("/v1/completions", Body::in_pieces(BODY_LIMIT, 1_000));
}

#[test]
fn entry_pipelined_bodies() {
    let body = Body::just_short(BODY_LIMIT);
    withstand_pipelined("/v1/completions", (4, BODY_LIMIT), body);
}

#[test]
fn entry_chunks_single_bytes() {
    let body = Body::Chunks {
        chunk: 1,
        sent: BODY_LIMIT / 8,
    };
    withstand("/v1/completions", body);
}

#[test]
fn entry_trailers_without_end() {
    let body = Body::Trailers {
        sent: 2 * BODY_LIMIT,
    };
    withstand("/v1/completions", body);
}

#[test]
fn entry_chunks_large() {
    let body = Body::Chunks {
        chunk: 65_536,
        sent: BODY_LIMIT - 65_536,
    };
    withstand("/v1/completions", body);
}

#[test]
fn entry_chunks_small() {
    let body = Body::Chunks {
        chunk: 16,
        sent: BODY_LIMIT - 16,
    };
    withstand("/v1/completions", body);
}

#[test]
fn entry_bodies_whole() {
    let body = Body::Length {
        announced: BODY_LIMIT as u64,
        sent: BODY_LIMIT,
        piece: BODY_LIMIT,
    };
    withstand("/v1/completions", body);
}

#[test]
fn entry_announced_over_limit() {
    let body = Body::Length {
        announced: 100_000_000_000,
        sent: 8 * BODY_LIMIT,
        piece: 65_536,
    };
    withstand("/v1/completions", body);
}

#[test]
fn entry_service_bodies() {
    withstand("/v1/services/placements/x", Body::just_short(BODY_LIMIT));
}

#[test]
fn entry_operator_bodies() {
    withstand("/admin/catalogue/changes", Body::just_short(BODY_LIMIT));
}

#[test]
fn entry_peer_bodies() {
    withstand("/x/v1/grant", Body::just_short(BODY_LIMIT));
}

#[test]
fn entry_bodies_without_route() {
    withstand("/nowhere", Body::just_short(BODY_LIMIT));
}

#[test]
fn entry_extension_without_end() {
    let body = Body::Extension {
        sent: 2 * BODY_LIMIT,
    };
    withstand("/v1/completions", body);
}

#[test]
fn entry_connections_silent() {
    Target::Entry.withstand_connections(b"");
}

#[test]
fn entry_connections_half_heads() {
    let mut bytes = b"POST /x/v1/heartbeat HTTP/1.1\r\nhost: x\r\nx-fill: ".to_vec();
    bytes.resize(15_000, b'x');
    Target::Entry.withstand_connections(&bytes);
}

#[test]
fn entry_connections_half_bodies() {
    let head = "POST /x/v1/heartbeat HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf";
    Target::Entry.withstand_connections(head.as_bytes());
}

/// A body of the full size is served if no one else asks for anything.
#[test]
fn entry_single_full_body() {
    let _lock = lock_crowds();
    let cluster = Cluster::start(&plan()).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\nconnection: close\r\n"
    );
    let mut body =
        format!("{{\"model\":\"{MODEL}\",\"prompt\":[1],\"max_tokens\":1}}").into_bytes();
    body.resize(BODY_LIMIT, b' ');
    for chunk in [None, Some(65_536), Some(100)] {
        let bytes = frame_whole(&head, &body, chunk);
        let answer = send_whole(cluster.entries[0].addr(), &bytes);
        assert!(answer.starts_with("HTTP/1.1 200"), "{chunk:?}: {answer}");
    }
}
