//! Crowds before an entry process.

use std::net::SocketAddr;

use mustard_tests::plan::{CUSTOMER_KEY, MODEL};
use mustard_tests::{Cluster, Plan, wait_for};

use super::crowd::{
    Body, Crowd, LowDescriptors, SMALLEST_MACHINE, Sent, assert_descriptors_left, lock_crowds,
    open_descriptors, peak_memory,
};

const BODY_LIMIT: usize = 1024 * 1024;
const CLIENTS: usize = 200;
const DESCRIPTORS: usize = 1_000;

fn assert_serves(cluster: &Cluster) {
    let caller = cluster.caller(0);
    let draft = || {
        let draft = caller.stream(MODEL, &[1], 1).ok()?;
        draft.is_whole().then_some(())
    };
    wait_for("an ordinary draft is served", draft).unwrap();
}

fn assert_bounded(cluster: &mut Cluster) {
    let entry = &mut cluster.entries[0];
    assert!(entry.is_running(), "the process ended");
    let peak = peak_memory(entry.id());
    let open = open_descriptors(entry.id());
    println!("peak memory {peak} bytes, {open} descriptors");
    assert!(peak <= SMALLEST_MACHINE, "peak memory {peak} bytes");
    assert!(open <= DESCRIPTORS, "{open} descriptors");
}

fn withstand(path: &str, body: Body) {
    let _lock = lock_crowds();
    let limits = "[limits]\nbody_ms = 60000\n";
    let plan = Plan::new().entries(1).services(0).entry_settings(limits);
    let mut cluster = Cluster::start(&plan).unwrap();
    let to: SocketAddr = cluster.entries[0].addr();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\n"
    );
    let crowd = Crowd::send(to, CLIENTS, &Sent::new(&head, body));
    assert_serves(&cluster);
    assert_bounded(&mut cluster);
    drop(crowd);
    assert_serves(&cluster);
    assert_bounded(&mut cluster);
}

#[test]
fn entry_bodies_just_short() {
    withstand("/v1/completions", Body::just_short(BODY_LIMIT));
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

const FEW_DESCRIPTORS: u64 = 400;

fn withstand_connections(bytes: &[u8]) {
    let _lock = lock_crowds();
    let low = LowDescriptors::set(FEW_DESCRIPTORS);
    let mut cluster = Cluster::start(&Plan::new().entries(1).services(0)).unwrap();
    drop(low);
    let to = cluster.entries[0].addr();
    let crowd = Crowd::connect(to, 2 * FEW_DESCRIPTORS as usize, bytes);
    assert_descriptors_left(cluster.entries[0].id(), FEW_DESCRIPTORS);
    assert_serves(&cluster);
    assert_bounded(&mut cluster);
    drop(crowd);
    assert_serves(&cluster);
}

#[test]
fn entry_connections_silent() {
    withstand_connections(b"");
}

#[test]
fn entry_connections_half_heads() {
    let mut bytes = b"POST /x/v1/heartbeat HTTP/1.1\r\nhost: x\r\nx-fill: ".to_vec();
    bytes.resize(15_000, b'x');
    withstand_connections(&bytes);
}

#[test]
fn entry_connections_half_bodies() {
    let head = "POST /x/v1/heartbeat HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf";
    withstand_connections(head.as_bytes());
}
