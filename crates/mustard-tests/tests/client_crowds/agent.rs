//! Crowds before an agent.

use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan, wait_for};

use super::crowd::{
    Body, Crowd, LowDescriptors, SMALLEST_MACHINE, Sent, assert_descriptors_left, lock_crowds,
    open_descriptors, peak_memory,
};

/// The largest message that an agent reads.
const MESSAGE_LIMIT: usize = 4 * 1024 * 1024;
const CLIENTS: usize = 60;
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
    let agent = &mut cluster.stages[0].agent;
    assert!(agent.is_running(), "the process ended");
    let peak = peak_memory(agent.id());
    let open = open_descriptors(agent.id());
    println!("peak memory {peak} bytes, {open} descriptors");
    assert!(peak <= SMALLEST_MACHINE, "peak memory {peak} bytes");
    assert!(open <= DESCRIPTORS, "{open} descriptors");
}

fn withstand(path: &str, count: usize, body: Body) {
    let _lock = lock_crowds();
    let mut cluster = Cluster::start(&Plan::new().entries(1).services(0)).unwrap();
    let to = cluster.stages[0].agent.addr();
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\n");
    let crowd = Crowd::send(to, count, &Sent::new(&head, body));
    assert_serves(&cluster);
    assert_bounded(&mut cluster);
    drop(crowd);
    assert_serves(&cluster);
    assert_bounded(&mut cluster);
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

const FEW_DESCRIPTORS: u64 = 400;

fn withstand_connections(bytes: &[u8]) {
    let _lock = lock_crowds();
    let low = LowDescriptors::set(FEW_DESCRIPTORS);
    let mut cluster = Cluster::start(&Plan::new().entries(1).services(0)).unwrap();
    drop(low);
    let to = cluster.stages[0].agent.addr();
    let crowd = Crowd::connect(to, 2 * FEW_DESCRIPTORS as usize, bytes);
    assert_descriptors_left(cluster.stages[0].agent.id(), FEW_DESCRIPTORS);
    assert_serves(&cluster);
    assert_bounded(&mut cluster);
    drop(crowd);
    assert_serves(&cluster);
}

#[test]
fn agent_connections_silent() {
    withstand_connections(b"");
}

#[test]
fn agent_connections_half_heads() {
    let mut bytes = b"POST /x/v1/heartbeat HTTP/1.1\r\nhost: x\r\nx-fill: ".to_vec();
    bytes.resize(15_000, b'x');
    withstand_connections(&bytes);
}

#[test]
fn agent_connections_half_bodies() {
    let head = "POST /x/v1/heartbeat HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf";
    withstand_connections(head.as_bytes());
}
