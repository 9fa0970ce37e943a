//! Servers whose answers are none in the protocol: callers get none of them, and requests are tried elsewhere where
//! that is allowed.

use std::time::Duration;

use mustard_fakes::site::{ServerFault, Site, SiteOptions};
use mustard_tests::bad_answers::{BODY, bad_answers};
use mustard_tests::site_soak::stream_text;

use super::harness::{Caller, Gateway};
use super::{EVENT_COUNT, first_server, start_ready, start_stream};

const MODEL_SERVERS: std::ops::Range<usize> = 0..6;
const PLAIN_SERVERS: std::ops::Range<usize> = 6..8;
/// The headers by which a server's answer belongs to a request.
const HEADERS: &str = "attempt-id: {id}\r\nresponse-seal: seal\r\nconnection: close\r\n";
/// Answers whose status line names no status, each with the headers and the body of one.
const NO_STATUS: [&str; 3] = ["000", "099", "600"];

fn set_raw_answer(site: &Site, servers: std::ops::Range<usize>, bytes: Option<&[u8]>) {
    servers.for_each(|s| site.set_raw_answer(s, bytes.map(<[u8]>::to_vec)));
}

fn answer_with_status(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} Odd\r\n{HEADERS}content-length: 3\r\n\r\n{BODY}").into_bytes()
}

/// Sends requests while all servers give each of the bad answers.
async fn check_all_servers(paths: &[&str], servers: std::ops::Range<usize>) {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let mut answers = bad_answers(HEADERS);
    // The stand-in closes its connections.
    answers.retain(|bad| !bad.is_reset);
    for (number, bad) in answers.iter().enumerate() {
        set_raw_answer(&site, servers.clone(), Some(&bad.bytes));
        for path in paths {
            let id = format!("bad-{number}");
            let answer = caller.request(&gateway, path, &id).await;
            let answer = answer.unwrap_or_else(|| panic!("{}: no answer to {path}", bad.what));
            let is_own = matches!(answer.status, 502..=504) && answer.text.is_empty();
            // The head of a stream is passed on before its body.
            let is_cut = !answer.complete && answer.text.is_empty();
            assert!(is_own || is_cut, "{} to {path}: {answer:?}", bad.what);
        }
    }
    let received = site.ledger().raw_answers;
    assert!(
        received >= answers.len(),
        "{received} bad answers were sent"
    );
    set_raw_answer(&site, servers, None);
}

/// Guards against passing on what is no answer to requests of plain services.
#[ntex::test]
async fn bad_answers_plain() {
    check_all_servers(&["/status/x", "/book/x"], PLAIN_SERVERS).await;
}

/// Guards against the same for streams.
#[ntex::test]
async fn bad_answers_stream() {
    check_all_servers(&["/draft/x"], MODEL_SERVERS).await;
}

/// Guards against a read that isn't tried elsewhere, and against a server that keeps its share of the requests, as
/// bytes without a status count as its answer.
#[ntex::test]
async fn bad_status_read_elsewhere() {
    for status in NO_STATUS {
        let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
        set_raw_answer(&site, 6..7, Some(&answer_with_status(status)));
        for number in 0..20 {
            let id = format!("read-{number}");
            let answer = caller.request(&gateway, "/status/x", &id).await.unwrap();
            assert_eq!((answer.status, answer.text), (200, format!("done {id}")));
        }
        let received = site.ledger().raw_answers;
        assert!(
            (1..=6).contains(&received),
            "{received} of 20 were sent there"
        );
    }
}

/// The same for streams.
#[ntex::test]
async fn bad_status_stream_elsewhere() {
    for status in NO_STATUS {
        let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
        set_raw_answer(&site, 0..1, Some(&answer_with_status(status)));
        for number in 0..12 {
            let id = format!("stream-{number}");
            let answer = caller.request(&gateway, "/draft/x", &id).await.unwrap();
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
            assert_eq!(answer.text, stream_text(&id, EVENT_COUNT));
        }
        assert!(site.ledger().raw_answers >= 1);
    }
}

/// Guards against bytes that are no answer within a stream that goes on at another server.
#[ntex::test]
async fn bad_status_resumed_stream() {
    for status in NO_STATUS {
        let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
        let task = start_stream(&site, &gateway, "resumed").await;
        set_raw_answer(&site, MODEL_SERVERS, Some(&answer_with_status(status)));
        let first = first_server(&site, "resumed");
        site.set_fault(first, ServerFault::ResetsConnections);
        let answer = task.await.unwrap().unwrap();
        assert!(!answer.complete, "{answer:?}");
        assert!(stream_text("resumed", EVENT_COUNT).starts_with(&answer.text));
        assert!(site.ledger().raw_answers >= 1);
    }
}

/// Guards against bytes that are no answer as the result of a second copy: the first one waits without end.
#[ntex::test]
async fn bad_status_second_copy() {
    for status in NO_STATUS {
        let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
        earn_copies(&gateway, &caller).await;
        site.set_fault(6, ServerFault::Silent);
        set_raw_answer(&site, 7..8, Some(&answer_with_status(status)));
        for number in 0..4 {
            let id = format!("copy-{number}");
            let to = gateway.caller_addr;
            let answer = caller.request_within(to, "/status/x", &id, "1500").await;
            let answer = answer.unwrap();
            let is_own = matches!(answer.status, 502..=504) && answer.text.is_empty();
            assert!(is_own, "{status}: {answer:?}");
        }
        assert!(site.ledger().raw_answers >= 1);
    }
}

/// Sends reads so that the gateway, which starts without any, has earned second copies.
async fn earn_copies(gateway: &Gateway, caller: &Caller) {
    for number in 0..60 {
        let id = format!("earn-{number}");
        let answer = caller.request(gateway, "/status/x", &id).await.unwrap();
        assert_eq!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
