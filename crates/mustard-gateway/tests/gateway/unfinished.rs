//! Answers and requests that begin and don't go on, and callers that don't read.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use mustard_fakes::site::{API_KEY, HOST, ServerFault, SiteOptions, Unfinished};
use mustard_tests::site_soak::stream_text;

use super::harness::{Caller, wait_until};
use super::{EVENT_COUNT, signal, start_ready, start_ready_without_stream};

const BUDGET: Duration = Duration::from_millis(1_500);
/// How much later than its time limit a request may have its final answer.
const ANSWER_DELAY: Duration = Duration::from_millis(500);
/// The time after a stop signal from which on requests are no longer taken.
const LAST_TAKEN: Duration = Duration::from_secs(3);
const SERVERS: std::ops::Range<usize> = 0..8;

/// Guards against callers that wait without end, as the head of a failure arrived and its body doesn't follow.
#[ntex::test]
async fn failure_without_body() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    let kinds = [
        Unfinished::Length,
        Unfinished::Half,
        Unfinished::Chunks,
        Unfinished::Connection,
    ];
    for status in [200, 302, 404, 429, 500, 503] {
        for what in kinds {
            for server in SERVERS {
                site.set_fault(server, ServerFault::Unfinished(status, what));
            }
            let ask = async |path: &'static str| {
                let id = format!("{status}-{what:?}{}", path.replace('/', "-"));
                let caller = Caller::new().await;
                let begun = Instant::now();
                let budget = BUDGET.as_millis().to_string();
                let answer = caller.request_within(gateway.caller_addr, path, &id, &budget);
                let answer = answer.await.unwrap();
                assert!(begun.elapsed() <= BUDGET + ANSWER_DELAY, "{id}: {answer:?}");
                assert!(!answer.complete || answer.status >= 500, "{id}: {answer:?}");
            };
            tokio::join!(
                ask("/draft/x"),
                ask("/letter/x"),
                ask("/book/x"),
                ask("/status/x")
            );
        }
    }
}

/// Guards against a stream that may be resumed and is given up as a whole, though other servers are sound, as the
/// body of a failure was lost.
#[ntex::test]
async fn failure_body_lost() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for server in [0, 3] {
        site.set_fault(server, ServerFault::Unfinished(404, Unfinished::Cut));
    }
    for n in 0..12 {
        let id = format!("lost-{n}");
        let answer = caller.request(&gateway, "/draft/x", &id).await.unwrap();
        assert_eq!((answer.status, answer.complete), (200, true), "{id}");
        assert_eq!(answer.text, stream_text(&id, EVENT_COUNT));
    }
}

/// Guards against a stream that goes on at its servers after its time limit, as its caller doesn't read.
#[ntex::test]
async fn stream_caller_never_reads() {
    let options = SiteOptions {
        events: 400,
        ..SiteOptions::default()
    };
    let (site, gateway, _caller) = start_ready_without_stream(options).await;
    for server in SERVERS {
        site.set_fault(server, ServerFault::LargeEvents);
    }
    let mut connection = TcpStream::connect(gateway.caller_addr).unwrap();
    let request = format!(
        "POST /draft/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: unread\r\n\
         authorization: Bearer {API_KEY}\r\ntime-budget-ms: {}\r\ntoken-count: 100,80\r\n\
         content-length: 0\r\n\r\n",
        BUDGET.as_millis()
    );
    connection.write_all(request.as_bytes()).unwrap();
    let begun = Instant::now();
    wait_until("a run", || site.ledger().runs.contains_key("unread")).await;
    wait_until("the end of the run", || site.ledger().cancelled == 1).await;
    let took = begun.elapsed();
    assert!(took <= BUDGET + ANSWER_DELAY, "{took:?}");
    assert!(took >= BUDGET - ANSWER_DELAY, "{took:?}");
    drop(connection);
}

/// Guards against a request that is taken late in the grace time of a planned stop and cut at its end, as its body
/// came late: it is refused as not run.
#[ntex::test]
async fn stop_body_arrives_late() {
    let (site, mut gateway, _caller) = start_ready(SiteOptions::default()).await;
    let requests: Vec<TcpStream> = ["book", "draft"]
        .map(|name| {
            let mut connection = TcpStream::connect(gateway.caller_addr).unwrap();
            let head = format!(
                "POST /{name}/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: late-{name}\r\n\
                 authorization: Bearer {API_KEY}\r\ntime-budget-ms: 20000\r\ntoken-count: 100,80\r\n\
                 content-length: 8\r\n\r\nhalf"
            );
            connection.write_all(head.as_bytes()).unwrap();
            connection
        })
        .into();
    tokio::time::sleep(Duration::from_millis(200)).await;
    signal(&gateway, "TERM");
    tokio::time::sleep(LAST_TAKEN).await;
    for mut connection in requests {
        connection.write_all(b"rest").unwrap();
        let mut text = String::new();
        connection.read_to_string(&mut text).unwrap();
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    }
    let ledger = site.ledger();
    assert!(!ledger.arrivals.iter().any(|a| a.id.starts_with("late")));
    assert_eq!(gateway.wait_exit().await, Some(0));
}
