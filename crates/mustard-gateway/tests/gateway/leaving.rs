//! Servers that say in their answers that they are leaving, or that they want no requests for a time.

use std::time::{Duration, Instant};

use mustard_fakes::site::{ServerFault, Site, SiteOptions, StoreMode};

use super::harness::{Caller, Gateway};
use super::{first_server, start_ready};

/// How long after an answer that says so a leaving server may still receive requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// How long after a refusal with a time requests may still be under way to the server.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// The requests that may reach a server in the rest of that time.
const MAX_SLIPPED: usize = 2;

/// Sends requests one after the other for a time.
async fn send_for(caller: &Caller, gateway: &Gateway, path: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        let id = format!("{}-{number}", path.replace('/', ""));
        caller.request(gateway, path, &id).await;
        number += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn arrivals_between(site: &Site, server: usize, from: Instant, to: Instant) -> usize {
    let arrivals = site.ledger().arrivals;
    let counted =
        |a: &&mustard_fakes::site::Arrival| a.server == server && a.at > from && a.at < to;
    arrivals.iter().filter(counted).count()
}

/// Guards against requests to a plain server that said it is leaving, while its row says ready and
/// the store can't be reached.
#[ntex::test]
async fn leave_plain_server_says_so() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    site.set_store_fault(StoreMode::ResetsConnections);
    site.set_leaving(6);
    let begun = Instant::now();
    while arrivals_between(&site, 6, begun, Instant::now()) == 0 {
        caller.request(&gateway, "/book/x", "leaving").await;
    }
    let told = Instant::now();
    send_for(&caller, &gateway, "/book/x", DRAIN_TIME).await;
    send_for(&caller, &gateway, "/status/x", Duration::from_secs(1)).await;
    let late = arrivals_between(&site, 6, told + DRAIN_TIME, Instant::now());
    assert_eq!(late, 0, "requests reached a server that is leaving");
}

/// Guards against a list that brings a leaving server back: its row is written again as ready.
#[ntex::test]
async fn leave_row_says_ready() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    site.set_leaving(6);
    let begun = Instant::now();
    while arrivals_between(&site, 6, begun, Instant::now()) == 0 {
        caller.request(&gateway, "/book/x", "leaving").await;
    }
    let told = Instant::now();
    site.delete_row(6);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.list_again(6);
    send_for(
        &caller,
        &gateway,
        "/book/x",
        DRAIN_TIME + Duration::from_secs(1),
    )
    .await;
    let late = arrivals_between(&site, 6, told + DRAIN_TIME, Instant::now());
    assert_eq!(late, 0, "requests reached a server that is leaving");
}

/// Guards against streams over a model server that said it is leaving.
#[ntex::test]
async fn leave_model_server_says_so() {
    let options = SiteOptions {
        events: 4,
        ..SiteOptions::default()
    };
    let (site, gateway, caller) = start_ready(options).await;
    site.set_store_fault(StoreMode::ResetsConnections);
    caller.request(&gateway, "/draft/x", "first").await.unwrap();
    let server = first_server(&site, "first");
    site.set_leaving(server);
    let begun = Instant::now();
    while arrivals_between(&site, server, begun, Instant::now()) == 0 {
        caller.request(&gateway, "/draft/x", "leaving").await;
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "no stream reached it"
        );
    }
    let told = Instant::now();
    send_for(
        &caller,
        &gateway,
        "/draft/x",
        DRAIN_TIME + Duration::from_secs(1),
    )
    .await;
    let late = arrivals_between(&site, server, told + DRAIN_TIME, Instant::now());
    assert_eq!(late, 0, "streams reached a server that is leaving");
}

/// Sends requests to servers that all turn requests away for a time, and checks that they are left
/// alone meanwhile.
async fn check_turned_away(path: &str, servers: std::ops::Range<usize>) {
    let wait = Duration::from_secs(2);
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for server in servers.clone() {
        site.set_fault(server, ServerFault::TurnsAway(wait));
    }
    let begun = Instant::now();
    send_for(&caller, &gateway, path, wait).await;
    let asked = Instant::now();
    let refused = caller.request(&gateway, path, "refused").await.unwrap();
    assert_eq!((refused.status, refused.has_retry_after), (503, true));
    assert!(
        asked.elapsed() < Duration::from_millis(600),
        "{:?}",
        asked.elapsed()
    );
    let arrivals = site.ledger().arrivals;
    for server in servers {
        let first = arrivals.iter().find(|a| a.server == server && a.at > begun);
        let Some(first) = first else { continue };
        let slipped = arrivals_between(&site, server, first.at + IN_FLIGHT_TIME, first.at + wait);
        assert!(
            slipped <= MAX_SLIPPED,
            "{slipped} requests reached server {server}"
        );
    }
}

/// Guards against bookings to plain servers that turned one away for two seconds.
#[ntex::test]
async fn turn_away_bookings() {
    check_turned_away("/book/x", 6..8).await;
}

/// Guards against reads, which may also be sent to a second server, in the same case.
#[ntex::test]
async fn turn_away_reads() {
    check_turned_away("/status/x", 6..8).await;
}

/// Guards against streams to model servers in the same case.
#[ntex::test]
async fn turn_away_streams() {
    check_turned_away("/draft/x", 0..6).await;
}
