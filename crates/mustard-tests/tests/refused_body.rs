//! Requests to entries and agents that are answered before their body has ended.
//!
//! All tests guard against taking the rest of such a body for further requests.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use mustard_tests::plan::CUSTOMER_KEY;
use mustard_tests::upload::{Framing, Upload};
use mustard_tests::{Cluster, Plan};

const RECORDS: usize = 12;

/// A request line with headers, and the status of its answer.
type Refused = (String, u16);

fn start_cluster() -> Cluster {
    let limits = "[limits]\nbody_bytes = 1024\n";
    Cluster::start(&Plan::new().entries(1).entry_settings(limits)).unwrap()
}

/// Sends each request with a body that consists of requests; none but the first one may be answered.
fn expect_one_answer(to: SocketAddr, requests: &[Refused]) {
    let inner = format!("GET /inner HTTP/1.1\r\nhost: {}\r\n\r\n", "x".repeat(100));
    let sending: Vec<_> = requests
        .iter()
        .flat_map(|refused| Framing::ALL.map(|framing| (refused.clone(), framing)))
        .map(|((head, status), framing)| {
            let pieces = Upload::new(head.as_str(), vec![inner.clone(); RECORDS], framing);
            let whole = Upload::new(head.as_str(), vec![inner.repeat(RECORDS)], framing);
            let mut uploads = vec![pieces];
            // A body that comes at once isn't slow.
            if status != 408 {
                uploads.extend([whole.clone(), whole.joined()]);
            }
            let start = |u: Upload| std::thread::spawn(move || u.send(to).unwrap());
            let sending: Vec<_> = uploads.into_iter().map(start).collect();
            (head, framing, status, sending)
        })
        .collect();
    for (head, framing, status, sending) in sending {
        for thread in sending {
            let received = thread.join().unwrap();
            let text = &received.text;
            assert_eq!(received.statuses, [status], "{head} {framing:?}: {text}");
        }
    }
}

fn request(line: &str, headers: &str, status: u16) -> Refused {
    let head = format!("{line} HTTP/1.1\r\nhost: x\r\n{headers}");
    (head, status)
}

#[test]
fn entry_refused_pieces() {
    let cluster = start_cluster();
    let key = format!("authorization: Bearer {CUSTOMER_KEY}\r\n");
    let requests = [
        request("POST /v1/completions", "", 401),
        request("POST /v1/completions", &key, 413),
        request("GET /v1/completions", "", 405),
        request("POST /v1/services/placements/x", "", 401),
        request("POST /admin/catalogue/changes", "", 401),
        request("POST /admin/nowhere", "", 404),
        request("POST /nowhere", "", 404),
        request("GET /metrics", "", 200),
        request("GET /healthz", "", 200),
    ];
    expect_one_answer(cluster.entries[0].addr(), &requests);
}

/// A body that comes too slowly is refused before it has ended.
#[test]
fn entry_slow_body_pieces() {
    let limits = "[limits]\nbody_ms = 100\n";
    let cluster = Cluster::start(&Plan::new().entries(1).entry_settings(limits)).unwrap();
    let key = format!("authorization: Bearer {CUSTOMER_KEY}\r\n");
    let requests = [request("POST /v1/completions", &key, 408)];
    expect_one_answer(cluster.entries[0].addr(), &requests);
}

#[test]
fn agent_refused_pieces() {
    let cluster = start_cluster();
    let requests = [
        request("POST /nowhere", "", 404),
        request("GET /x/v1/step", "", 404),
        request("POST /metrics", "", 404),
        request("GET /metrics", "", 200),
        request("GET /healthz", "", 200),
    ];
    expect_one_answer(cluster.stages[0].agent.addr(), &requests);
}
