//! Servers whose answers have no length, end within an event, or have no end.

use std::time::{Duration, Instant};

use mustard_fakes::site::{Arrival, Endless, ServerFault, Site, SiteOptions};
use mustard_tests::site_soak::stream_text;

use super::harness::{Caller, Gateway, wait_until};
use super::{EVENT_COUNT, start_ready};

const MODEL_SERVERS: usize = 6;
const PLAIN_SERVERS: std::ops::Range<usize> = 6..8;
/// The most bytes that a server gets rid of before the gateway closes the connection.
const MAX_BYTES: u64 = 2 * 1_024 * 1_024;
/// The time within which a try at a server that sends bytes without end is over.
const MAX_TIME: Duration = Duration::from_secs(4);

fn set_faults(site: &Site, servers: std::ops::Range<usize>, fault: ServerFault) {
    servers.for_each(|s| site.set_fault(s, fault));
}

async fn expect_stream(caller: &Caller, gateway: &Gateway, id: &str) {
    let answer = caller.request(gateway, "/draft/x", id).await.unwrap();
    assert_eq!((answer.status, answer.complete), (200, true), "{id}");
    assert_eq!(answer.text, stream_text(id, EVENT_COUNT));
}

/// Guards against taking a stream without a length for lost although it arrived whole.
#[ntex::test]
async fn unframed_stream() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    set_faults(&site, 0..MODEL_SERVERS, ServerFault::Unframed);
    for n in 0..4 {
        let id = format!("unframed-{n}");
        expect_stream(&caller, &gateway, &id).await;
        assert_eq!(site.ledger().runs[&id], 1);
    }
}

/// Guards against the same for an answer that must not be asked for again.
#[ntex::test]
async fn unframed_booking() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    set_faults(&site, PLAIN_SERVERS, ServerFault::Unframed);
    for (path, id) in [("/book/x", "book"), ("/status/x", "read")] {
        let answer = caller.request(&gateway, path, id).await.unwrap();
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(answer.text, format!("done {id}"));
        assert_eq!(site.ledger().runs[id], 1);
    }
}

/// A stream that ends within an event is resumed at another server, whether or not its end looks whole.
#[ntex::test]
async fn end_in_event() {
    for fault in [ServerFault::UnframedCut, ServerFault::EndsInEvent] {
        let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
        set_faults(&site, 0..1, fault);
        let is_resumed = || site.ledger().runs.values().any(|runs| *runs > 1);
        // Paths are chosen at random, so that the server that cuts streams off may get none of the first ones.
        for n in 0..60 {
            expect_stream(&caller, &gateway, &format!("cut-{n}")).await;
            if n >= 11 && is_resumed() {
                break;
            }
        }
        assert!(
            is_resumed(),
            "no stream ran at the server that cuts them off"
        );
        // None that it began is whole without another run.
        let ledger = site.ledger();
        let is_begun = |a: &&Arrival| a.server == 0 && a.id.starts_with("cut-");
        for arrival in ledger.arrivals.iter().filter(is_begun) {
            assert!(ledger.runs[&arrival.id] > 1, "{}", arrival.id);
        }
    }
}

/// A stream that all servers end within an event must not look whole.
#[ntex::test]
async fn end_in_event_everywhere() {
    for fault in [ServerFault::UnframedCut, ServerFault::EndsInEvent] {
        let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
        set_faults(&site, 0..MODEL_SERVERS, fault);
        let answer = caller.request(&gateway, "/draft/x", "cut").await.unwrap();
        assert!(answer.status != 200 || !answer.complete, "{answer:?}");
        assert!(stream_text("cut", EVENT_COUNT).starts_with(&answer.text) || answer.status != 200);
    }
}

/// Sends requests to servers whose answers have no end, and checks that each try ends soon, and that
/// the gateway still serves with little memory afterwards.
async fn check_endless(path: &str, servers: std::ops::Range<usize>) {
    for what in [
        Endless::Head,
        Endless::Headers,
        Endless::Body,
        Endless::ChunkLine,
    ] {
        let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
        set_faults(&site, servers.clone(), ServerFault::Endless(what));
        let begun = Instant::now();
        let answer = caller.request(&gateway, path, "endless").await;
        let text = format!("{what:?} {path}");
        assert!(
            answer.is_none_or(|a| a.status != 200 || !a.complete),
            "{text}"
        );
        // Two attempts at most.
        assert!(
            begun.elapsed() < 2 * MAX_TIME,
            "{text}: {:?}",
            begun.elapsed()
        );
        wait_until("the end of the tries", || !site.ledger().endless.is_empty()).await;
        for (bytes, time) in site.ledger().endless {
            assert!(
                bytes < MAX_BYTES && time < MAX_TIME,
                "{text}: {bytes} bytes in {time:?}"
            );
        }
        set_faults(&site, servers.clone(), ServerFault::None);
        let served = async {
            while caller
                .request(&gateway, path, "later")
                .await
                .is_none_or(|a| a.status != 200)
            {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(5), served)
            .await
            .unwrap();
    }
}

/// Guards against a stream's try that goes on until the deadline while bytes without end arrive.
#[ntex::test]
async fn endless_stream() {
    check_endless("/draft/x", 0..MODEL_SERVERS).await;
}

/// Guards against the same for a request that may run once only.
#[ntex::test]
async fn endless_booking() {
    check_endless("/book/x", PLAIN_SERVERS).await;
}

/// Guards against the same for a request that may be repeated.
#[ntex::test]
async fn endless_read() {
    check_endless("/status/x", PLAIN_SERVERS).await;
}

/// Guards against requests to sound servers that get no answer, as others send small chunks of an event without an
/// end: the work for each byte must not grow with what came before, and no connection may keep the thread.
#[ntex::test]
async fn small_chunks_delay_others() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    let fault = ServerFault::Endless(Endless::SmallChunks);
    set_faults(&site, 0..MODEL_SERVERS, fault);
    let streams = (0..60).map(|n| {
        let caller_addr = gateway.caller_addr;
        tokio::task::spawn_local(async move {
            let id = format!("endless-{n}");
            let caller = Caller::new().await;
            caller.request_at(caller_addr, "/draft/x", &id).await
        })
    });
    let streams: Vec<_> = streams.collect();
    for n in 0..60 {
        let id = format!("sound-{n}");
        let caller = Caller::new().await;
        let answer = caller.request_within(gateway.caller_addr, "/status/x", &id, "1000");
        assert_eq!(answer.await.unwrap().status, 200, "{id}");
    }
    for stream in streams {
        let answer = stream.await.unwrap();
        assert!(answer.is_none_or(|a| a.status != 200 || !a.complete));
    }
}
