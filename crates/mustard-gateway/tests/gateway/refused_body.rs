//! Requests that are answered before their body has ended, on connections that their clients keep.
//!
//! All tests guard against taking the rest of such a body for further requests.

use std::fs::File;
use std::net::SocketAddr;
use std::time::Duration;

use mustard_fakes::site::{API_KEY, HOST, Site, SiteOptions};
use mustard_tests::upload::{Framing, Received, Upload};

use super::harness::{Caller, Gateway, new_port};
use super::{signal, start_ready, start_site};

/// The id of the requests inside the bodies.
const INNER_ID: &str = "5555555555555555";
const RECORDS: usize = 12;
/// Longer than a gateway accepts requests after a stop signal.
const STOP_TIME: Duration = Duration::from_millis(2_800);

/// The head of a request, without what frames its body.
fn head(line: &str, id: Option<&str>, key: &str) -> String {
    let id = id.map_or(String::new(), |id| format!("attempt-id: {id}\r\n"));
    format!("{line} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {key}\r\n{id}")
}

fn inner_request() -> String {
    let head = head("POST /book/inner", Some(INNER_ID), API_KEY);
    format!("{head}content-length: 0\r\n\r\n")
}

fn next_request() -> String {
    let head = head("POST /book/next", Some("next"), API_KEY);
    format!("{head}content-length: 0\r\n\r\n")
}

/// A request, and the status that it is refused with.
struct Refused {
    head: String,
    status: u16,
}

fn refused_by_head() -> Vec<Refused> {
    let refused = |head: String, status| Refused { head, status };
    let book = "POST /book/x";
    vec![
        refused(head(book, Some("a"), "unknown"), 401),
        refused(head("GET /status/x", Some("a"), "unknown"), 401),
        refused(
            head(book, Some("a"), "unknown") + "expect: 100-continue\r\n",
            401,
        ),
        refused(head("POST /nowhere/x", Some("a"), API_KEY), 404),
        refused(head(book, None, API_KEY), 400),
    ]
}

fn upload(refused: &Refused, framing: Framing) -> Upload {
    let records = vec![inner_request(); RECORDS];
    Upload::new(refused.head.as_str(), records, framing)
}

fn expect_one_answer(site: &Site, received: &Received, status: u16, what: &str) {
    assert_eq!(received.statuses, [status], "{what}: {}", received.text);
    assert!(!site.ledger().runs.contains_key(INNER_ID), "{what}");
}

#[ntex::test]
async fn refused_by_head_pieces() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    for refused in refused_by_head() {
        for framing in Framing::ALL {
            let received = upload(&refused, framing).send(gateway.caller_addr).unwrap();
            let what = format!("{framing:?} {}", refused.head);
            expect_one_answer(&site, &received, refused.status, &what);
        }
    }
}

/// Also guards against closing a connection that could be kept: a small body ends soon.
#[ntex::test]
async fn refused_by_head_next_request() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    for refused in refused_by_head() {
        let pieces = upload(&refused, Framing::Length).then(next_request());
        let joined = pieces.clone().joined();
        let chunks = upload(&refused, Framing::Chunks).then(next_request());
        for sent in [pieces, joined, chunks.joined()] {
            let received = sent.send(gateway.caller_addr).unwrap();
            let text = &received.text;
            assert_eq!(received.statuses, [refused.status, 200], "{text}");
            assert!(!received.announces_close(), "{text}");
            assert!(text.ends_with("done next"), "{text}");
        }
    }
    assert!(!site.ledger().runs.contains_key(INNER_ID));
}

/// A client that is still sending a body whose end isn't in sight gets its answer whole, and no other one.
#[ntex::test]
async fn refused_by_head_chunks_close() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    for refused in refused_by_head() {
        let sent = upload(&refused, Framing::Chunks).then(next_request());
        let received = sent.send(gateway.caller_addr).unwrap();
        expect_one_answer(&site, &received, refused.status, &refused.head);
        assert!(received.announces_close(), "{}", received.text);
        assert!(!received.is_reset, "{}", refused.head);
    }
    assert!(!site.ledger().runs.contains_key("next"));
}

#[ntex::test]
async fn refused_too_large() {
    let options = SiteOptions {
        body_limit: 600,
        ..SiteOptions::default()
    };
    let (site, gateway, _caller) = start_ready(options).await;
    let too_large = Refused {
        head: head("POST /book/x", Some("a"), API_KEY),
        status: 413,
    };
    for framing in Framing::ALL {
        let sent = upload(&too_large, framing);
        let received = sent.send(gateway.caller_addr).unwrap();
        expect_one_answer(&site, &received, 413, &format!("{framing:?}"));
    }
}

#[ntex::test]
async fn refused_slow_body() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    let slow = Refused {
        head: head("POST /book/x", Some("a"), API_KEY) + "time-budget-ms: 60\r\n",
        status: 408,
    };
    for framing in Framing::ALL {
        let sent = upload(&slow, framing).then(next_request());
        let received = sent.send(gateway.caller_addr).unwrap();
        expect_one_answer(&site, &received, 408, &format!("{framing:?}"));
    }
}

#[ntex::test]
async fn refused_stopping() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    // Keeps the process from exiting.
    let held = Upload::new(
        head("POST /book/held", Some("held"), API_KEY),
        vec![" ".to_owned(); 600],
        Framing::Length,
    );
    let to = gateway.caller_addr;
    let holding = std::thread::spawn(move || held.send(to));
    tokio::time::sleep(Duration::from_millis(200)).await;
    signal(&gateway, "TERM");
    tokio::time::sleep(STOP_TIME).await;
    let stopping = Refused {
        head: head("POST /book/x", Some("a"), API_KEY),
        status: 503,
    };
    let sending = Framing::ALL.map(|framing| {
        let sent = upload(&stopping, framing);
        std::thread::spawn(move || sent.send(to))
    });
    for received in sending {
        let received = received.join().unwrap().unwrap();
        expect_one_answer(&site, &received, 503, "stopping");
    }
    holding.join().unwrap().unwrap();
}

/// Paths that take no body answer without reading it.
#[ntex::test]
async fn refused_other_listeners() {
    let site = start_site(SiteOptions::default());
    let caller = Caller::new().await;
    let port = new_port();
    let options = ["--metrics-port", &port.to_string()];
    let log = File::create("/dev/null").unwrap();
    let gateway = Gateway::start_with(&site, &caller, &options, log).await;
    let metrics = SocketAddr::new(gateway.caller_addr.ip(), port);
    let targets = [
        (gateway.ready_addr, "GET /v1/ready", 200),
        (gateway.ready_addr, "POST /v1/ready", 200),
        (gateway.peer_addr, "POST /nowhere", 404),
        (metrics, "GET /metrics", 200),
        (metrics, "POST /metrics", 200),
    ];
    for (to, line, status) in targets {
        let request = format!("{line} HTTP/1.1\r\nhost: x\r\n");
        let inner = format!("{request}content-length: 0\r\n\r\n");
        for framing in Framing::ALL {
            let sent = Upload::new(request.as_str(), vec![inner.clone(); RECORDS], framing);
            let received = sent.send(to).unwrap();
            assert_eq!(received.statuses, [status], "{line} {framing:?}");
        }
    }
}
