//! Bad input is refused with a clear error and doesn't affect other callers.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use mustard_tests::caller::expected_text;
use mustard_tests::http::HttpRequest;
use mustard_tests::plan::{CUSTOMER_KEY, MODEL};
use mustard_tests::{Cluster, Operator, Plan, wait_for};

const PROMPT: [u32; 2] = [5, 9];
const TOKENS: usize = 12;
const MAX_BODY_BYTES: usize = 4_096;
const READ_TIMEOUT: Duration = Duration::from_secs(60);

fn start_cluster() -> Cluster {
    let limits = format!("[limits]\nbody_bytes = {MAX_BODY_BYTES}\nbody_ms = 500\n");
    Cluster::start(&Plan::new().entries(1).services(0).entry_settings(&limits)).unwrap()
}

/// Checks that another caller still gets a correct draft.
fn assert_still_serves(cluster: &Cluster) {
    let draft = cluster.caller(0).stream(MODEL, &PROMPT, TOKENS).unwrap();
    assert!(draft.is_whole(), "{draft:?}");
    assert_eq!(draft.text, expected_text(cluster.layers(), &PROMPT, TOKENS));
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Sends raw bytes and returns the start of the answer, or an empty text if there was none.
fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(to);
    // The receiver may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut buffer = [0; 256];
    let read = stream.read(&mut buffer).unwrap_or(0);
    String::from_utf8_lossy(&buffer[..read]).into_owned()
}

fn request_head(rest: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\n{rest}"
    )
}

#[test]
fn body_over_limit_error_names_limit() {
    let cluster = start_cluster();
    let to = cluster.entries[0].addr();
    let body = format!("{{\"model\":\"{}\"}}", "x".repeat(2 * MAX_BODY_BYTES));
    let answer = HttpRequest::post(to, "/v1/completions", body)
        .bearer(CUSTOMER_KEY)
        .send()
        .unwrap();
    assert_eq!(answer.status, 413);
    assert_eq!(answer.outcome().as_deref(), Some("not_run"));
    assert!(
        answer.body.contains(&MAX_BODY_BYTES.to_string()),
        "{answer:?}"
    );
    assert_still_serves(&cluster);
}

#[test]
fn header_flood_is_refused() {
    let cluster = start_cluster();
    let flood: String = (0..50_000)
        .map(|i| format!("x-flood-{i}: {i}\r\n"))
        .collect();
    let answer = send_raw(cluster.entries[0].addr(), request_head(&flood).as_bytes());
    assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    assert_still_serves(&cluster);
}

#[test]
fn slow_body_is_refused() {
    let cluster = start_cluster();
    let incomplete = request_head("content-length: 100\r\n\r\n{\"model\":");
    let answer = send_raw(cluster.entries[0].addr(), incomplete.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert_still_serves(&cluster);
}

#[test]
fn garbage_on_each_port_is_refused() {
    let cluster = start_cluster();
    let entry = (cluster.entries[0].addr(), "/x/v1/grant");
    let agent = (cluster.stages[0].agent.addr(), "/x/v1/step");
    for (to, own_path) in [entry, agent] {
        let answer = send_raw(to, &[0xff; 600]);
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
        for path in [own_path, "/x/v1/heartbeat", "/x/v1/timeline"] {
            let answer = HttpRequest::post(to, path, "\u{1}garbage").send();
            // A refusal in a successful answer is MessagePack, which can't be read as text.
            assert!(answer.is_err() || answer.unwrap().body.contains("Malformed"));
        }
    }
    assert_still_serves(&cluster);
}

#[test]
fn caller_disconnected_ends_sequence() {
    let cluster = start_cluster();
    let body =
        format!("{{\"model\":\"{MODEL}\",\"prompt\":[1,2],\"max_tokens\":4000,\"stream\":true}}");
    let request = request_head(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    let mut stream = connect(cluster.entries[0].addr());
    stream.write_all(request.as_bytes()).unwrap();
    let mut buffer = [0; 64];
    assert!(stream.read(&mut buffer).unwrap() > 0);
    drop(stream);
    for stage in 0..cluster.stages.len() {
        wait_for("the abandoned sequence is closed", || {
            (cluster.engine_ledger(stage).ok()?.open == 0).then_some(())
        })
        .unwrap();
    }
    assert_still_serves(&cluster);
}

#[test]
fn operator_key_wrong_changes_nothing() {
    let cluster = start_cluster();
    let before = cluster.operator(0).catalogue().unwrap();
    let to = cluster.entries[0].addr();
    for key in ["wrong", CUSTOMER_KEY] {
        let change = "{\"id\":\"a\",\"expected\":1,\"op\":{\"retire\":\"caption\"}}";
        let answer = Operator::new(to, key)
            .post("/admin/catalogue/changes", change)
            .unwrap();
        assert!(matches!(answer.status, 401 | 403), "{answer:?}");
    }
    assert_eq!(cluster.operator(0).catalogue().unwrap(), before);
    assert_still_serves(&cluster);
}
