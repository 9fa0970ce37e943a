//! The gateway as a process before a stand-in site: the whole path, and one failure at a time.

#![allow(clippy::unwrap_used)]

mod logs;
mod world;

use std::net::Ipv4Addr;
use std::process::Command;
use std::time::{Duration, Instant};

use mustard_fakes::site::{CUSTOMER, Health, KEY, LAYERS, Site, SiteOptions, StoreMode};

use mustard_tests::site_soak::stream_text;

use world::{Caller, Gateway, port, wait_until};

const EVENTS: u64 = 40;
/// The time within which a gateway has to know of a server's leaving.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);

fn start(options: SiteOptions) -> Site {
    let site = Site::start(options).unwrap();
    site.configure(1, &[KEY]);
    site
}

/// The id of the request that shows that a gateway serves.
const WARM: &str = "warm";

/// Starts a site and a gateway, and waits until it serves streams.
async fn ready(options: SiteOptions) -> (Site, Gateway, Caller) {
    let site = start(options.clone());
    let caller = Caller::new().await;
    let gateway = Gateway::ready(&site, &caller).await;
    wait_for_paths(&options, &site, &gateway, &caller).await;
    (site, gateway, caller)
}

/// Waits until a gateway serves streams.
async fn wait_for_paths(options: &SiteOptions, site: &Site, gateway: &Gateway, caller: &Caller) {
    let models: usize = options.servers.iter().sum();
    wait_until("a placement", || {
        (0..models).all(|i| site.held(i).is_some())
    })
    .await;
    // The gateway knows of the layers once the rows reach it.
    let until = Instant::now() + KNOWN_WITHIN;
    while caller
        .ask(gateway, "/draft/x", WARM)
        .await
        .is_none_or(|a| a.status != 200)
    {
        assert!(Instant::now() < until, "no path is known after 2 s");
    }
}

/// Starts a stream and waits until its servers are at work; returns the task that reads it.
async fn begin(
    site: &Site,
    gateway: &Gateway,
    id: &'static str,
) -> tokio::task::JoinHandle<Option<world::Answer>> {
    let callers = gateway.callers;
    let task = tokio::task::spawn_local(async move {
        let caller = Caller::new().await;
        let key = format!("Bearer {KEY}");
        let headers = [
            ("attempt-id", id),
            ("authorization", key.as_str()),
            ("time-budget-ms", "7000"),
            ("token-count", "100,80"),
        ];
        caller.call(callers, "POST", "/draft/x", &headers).await
    });
    wait_until("a run", || site.ledger().runs.contains_key(id)).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    task
}

/// Returns the index of the first server of a request's path.
fn first_of(site: &Site, id: &str) -> usize {
    let ledger = site.ledger();
    ledger.requests.iter().find(|r| r.id == id).unwrap().server
}

#[ntex::test]
async fn handle_calm() {
    let (site, gateway, caller) = ready(SiteOptions::default()).await;
    let stream = caller.ask(&gateway, "/draft/x", "calm-1").await.unwrap();
    assert_eq!((stream.status, stream.whole), (200, true));
    assert_eq!(stream.text, stream_text("calm-1", EVENTS));
    let booked = caller.ask(&gateway, "/book/x", "calm-2").await.unwrap();
    assert_eq!((booked.status, booked.text.as_str()), (200, "done calm-2"));
    let status = caller.ask(&gateway, "/status/x", "calm-3").await.unwrap();
    assert_eq!(status.status, 200);
    let ledger = site.ledger();
    for id in ["calm-1", "calm-2", "calm-3"] {
        assert_eq!(ledger.runs[id], 1);
    }
    for seen in ledger.requests.iter().filter(|r| r.id != WARM) {
        assert_eq!(seen.customer.as_deref(), Some(CUSTOMER));
        assert!(!seen.key, "the key stays here");
        assert!(
            seen.budget.is_some_and(|b| b <= 7_000 && b > 6_000),
            "{seen:?}"
        );
    }
}

#[ntex::test]
async fn handle_unknown() {
    let (_site, gateway, caller) = ready(SiteOptions::default()).await;
    let none = caller
        .ask(&gateway, "/nowhere/x", "unknown-1")
        .await
        .unwrap();
    assert_eq!(none.status, 404);
    let headers = [
        ("attempt-id", "unknown-2"),
        ("authorization", "Bearer other"),
    ];
    let denied = caller
        .call(gateway.callers, "POST", "/book/x", &headers)
        .await
        .unwrap();
    assert_eq!(denied.status, 401);
}

/// A key that the operators took away is refused soon after, and the old version never returns.
#[ntex::test]
async fn handle_revoked_key() {
    let (site, gateway, caller) = ready(SiteOptions::default()).await;
    site.configure(5, &["another"]);
    let until = Instant::now() + Duration::from_secs(2);
    while caller
        .ask(&gateway, "/book/x", "revoked-1")
        .await
        .unwrap()
        .status
        == 200
    {
        assert!(Instant::now() < until, "the key is still taken after 2 s");
    }
    site.configure(4, &[KEY]);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        caller
            .ask(&gateway, "/book/x", "revoked-2")
            .await
            .unwrap()
            .status,
        401
    );
}

/// The pause of a stream whose middle part dies is short, and nothing is repeated or skipped.
#[ntex::test]
async fn pump_dead_part() {
    let (site, gateway, _caller) = ready(SiteOptions::default()).await;
    let task = begin(&site, &gateway, "part-1").await;
    let first = first_of(&site, "part-1");
    let domain = first / 3;
    // Every other server of the path's domain dies; the other domain holds what they held.
    for server in (domain * 3..domain * 3 + 3).filter(|s| *s != first) {
        site.set_health(server, Health::Silent);
    }
    let started = Instant::now();
    let answer = task.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.text, stream_text("part-1", EVENTS));
    assert!(
        started.elapsed() < Duration::from_millis(2_500),
        "it waited for the stall's end"
    );
    assert!(site.ledger().moved >= 1);
    assert_eq!(site.ledger().runs["part-1"], 1);
}

/// A stream whose first server dies goes on at another one after the last event.
#[ntex::test]
async fn pump_dead_first() {
    let (site, gateway, _caller) = ready(SiteOptions::default()).await;
    let task = begin(&site, &gateway, "first-1").await;
    site.set_health(first_of(&site, "first-1"), Health::Resets);
    let answer = task.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.text, stream_text("first-1", EVENTS));
    assert_eq!(site.ledger().runs["first-1"], 2);
}

/// A stream that nobody can go on with is broken off and doesn't look whole.
#[ntex::test]
async fn pump_all_dead() {
    let (site, gateway, _caller) = ready(SiteOptions::default()).await;
    let task = begin(&site, &gateway, "dead-1").await;
    for server in 0..6 {
        site.set_health(server, Health::Resets);
    }
    let answer = task.await.unwrap().unwrap();
    assert!(!answer.whole);
    assert!(stream_text("dead-1", EVENTS).starts_with(&answer.text));
}

/// Servers stop working soon after their caller has left.
#[ntex::test]
async fn pump_caller_left() {
    let options = SiteOptions {
        events: 400,
        pause: Duration::from_millis(5),
        ..SiteOptions::default()
    };
    let (site, gateway, _caller) = ready(options).await;
    let task = begin(&site, &gateway, "left-1").await;
    task.abort();
    let left = Instant::now();
    wait_until("a cancelled run", || site.ledger().cancelled == 1).await;
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "{:?}",
        left.elapsed()
    );
}

/// With a layer that nobody holds a request is refused as not run, well before its deadline.
#[ntex::test]
async fn run_no_path() {
    let (site, gateway, caller) = ready(SiteOptions::default()).await;
    for server in 0..6 {
        site.drain(server);
    }
    tokio::time::sleep(KNOWN_WITHIN).await;
    let asked = Instant::now();
    let answer = caller.ask(&gateway, "/draft/x", "none-1").await.unwrap();
    assert_eq!((answer.status, answer.retry_after), (503, true));
    assert!(
        asked.elapsed() < Duration::from_millis(600),
        "{:?}",
        asked.elapsed()
    );
    assert!(!site.ledger().runs.contains_key("none-1"));
}

/// A server that restarts with nothing gets layers again.
#[ntex::test]
async fn run_restarted_server() {
    let (site, _gateway, _caller) = ready(SiteOptions::default()).await;
    site.restart(1);
    wait_until("new layers", || site.held(1).is_some()).await;
    let (first, end) = site.held(1).unwrap();
    assert!(first < end && end <= LAYERS);
}

/// An answer that got lost is never followed by a second run of a booking.
#[ntex::test]
async fn run_lost_answer() {
    let (site, gateway, caller) = ready(SiteOptions::default()).await;
    for server in [6, 7] {
        site.set_health(server, Health::LosesAnswers);
    }
    let booked = caller.ask(&gateway, "/book/x", "lost-1").await.unwrap();
    assert_eq!(booked.status, 502);
    assert_eq!(site.ledger().runs["lost-1"], 1);
}

/// A status read that fails at one server is answered by another.
#[ntex::test]
async fn run_failed_read() {
    let (site, gateway, caller) = ready(SiteOptions::default()).await;
    site.set_health(6, Health::Fails);
    for i in 0..6 {
        let read = caller
            .ask(&gateway, "/status/x", &format!("read-{i}"))
            .await
            .unwrap();
        assert_eq!(read.status, 200);
    }
}

/// A booking whose server can't be reached is sent to another, since nothing was sent.
#[ntex::test]
async fn run_server_leaves() {
    let (site, gateway, caller) = ready(SiteOptions::default()).await;
    site.unlist(6);
    site.write_foreign("i-other", b"{\"service\": 7}");
    tokio::time::sleep(KNOWN_WITHIN).await;
    for i in 0..8 {
        let booked = caller
            .ask(&gateway, "/book/x", &format!("leave-{i}"))
            .await
            .unwrap();
        assert_eq!(booked.status, 200);
    }
    assert!(
        site.ledger()
            .requests
            .iter()
            .all(|r| r.id == WARM || r.server == 7)
    );
}

/// Requests go on while the store is away, and changes are followed after its return.
#[ntex::test]
async fn follow_store_away() {
    let (site, gateway, caller) = ready(SiteOptions::default()).await;
    site.set_store(StoreMode::Resets);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stream = caller.ask(&gateway, "/draft/x", "away-1").await.unwrap();
    assert_eq!(stream.text, stream_text("away-1", EVENTS));
    site.set_store(StoreMode::Forgets);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.set_store(StoreMode::Well);
    site.configure(9, &["another"]);
    let until = Instant::now() + Duration::from_secs(3);
    while caller
        .ask(&gateway, "/book/x", "away-2")
        .await
        .unwrap()
        .status
        == 200
    {
        assert!(Instant::now() < until, "the change isn't followed");
    }
}

/// Layers that are lost while the store is away are loaded elsewhere before it is back, by the
/// gateway that gave the last orders.
#[ntex::test]
async fn give_store_away() {
    let (site, gateway, caller) = ready(SiteOptions::default()).await;
    site.set_store(StoreMode::Resets);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.restart(0);
    // Requests that meet the empty server tell of it, as the list can't.
    let until = Instant::now() + Duration::from_secs(10);
    while site.held(0).is_none() {
        caller.ask(&gateway, "/draft/x", "empty").await;
        assert!(Instant::now() < until, "the layers aren't loaded again");
    }
    let stream = caller.ask(&gateway, "/draft/x", "loaded").await.unwrap();
    assert_eq!(stream.text, stream_text("loaded", EVENTS));
}

/// A gateway that the store turns away learns the configuration from another gateway.
#[ntex::test]
async fn adopt_from_peer() {
    let site = start(SiteOptions::default());
    let caller = Caller::new().await;
    let ips = [Ipv4Addr::LOCALHOST, Ipv4Addr::new(127, 0, 0, 2)];
    let peer_port = port();
    let one = Gateway::start(&site, ips[0], peer_port, &ips);
    one.wait_ready(&caller).await;
    // The second one is told of a store that isn't there.
    let other = Site::start(SiteOptions::default()).unwrap();
    other.set_store(StoreMode::Busy);
    let two = Gateway::start(&other, ips[1], peer_port, &ips);
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let headers = [("attempt-id", "peer-1"), ("authorization", "Bearer wrong")];
        let answer = caller.call(two.callers, "POST", "/book/x", &headers).await;
        if answer.is_some_and(|a| a.status == 401) {
            break;
        }
        assert!(
            Instant::now() < until,
            "no configuration came from the peer"
        );
    }
}

/// Three gateways that start together order each server once, also while rows lag behind loads.
#[ntex::test]
async fn run_three_gateways() {
    let site = start(SiteOptions {
        load: Duration::from_millis(900),
        ..SiteOptions::default()
    });
    let caller = Caller::new().await;
    let ips = [1, 2, 3].map(|n| Ipv4Addr::new(127, 0, 0, n));
    let peer_port = port();
    let gateways = ips.map(|ip| Gateway::start(&site, ip, peer_port, &ips));
    for gateway in &gateways {
        gateway.wait_ready(&caller).await;
    }
    wait_until("a placement", || (0..6).all(|i| site.held(i).is_some())).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let placed = site.ledger().placed;
    assert_eq!(placed.len(), 6, "{placed:?}");
}

/// A planned stop makes the process unready at once, cuts no stream and ends well.
#[ntex::test]
async fn run_planned_stop() {
    let (site, mut gateway, caller) = ready(SiteOptions::default()).await;
    let task = begin(&site, &gateway, "stop-1").await;
    signal(&gateway, "TERM");
    wait_until_unready(&gateway, &caller).await;
    let late = caller.ask(&gateway, "/book/x", "stop-2").await.unwrap();
    assert_eq!(late.status, 200, "the balancer may still send requests");
    let answer = task.await.unwrap().unwrap();
    assert_eq!(answer.text, stream_text("stop-1", EVENTS));
    assert_eq!(gateway.wait_end().await, Some(0));
}

#[ntex::test]
async fn run_reload() {
    let (_site, gateway, caller) = ready(SiteOptions::default()).await;
    signal(&gateway, "HUP");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let booked = caller.ask(&gateway, "/book/x", "reload-1").await.unwrap();
    assert_eq!(booked.status, 200);
}

fn signal(gateway: &Gateway, name: &str) {
    let pid = gateway.pid().to_string();
    let status = Command::new("kill")
        .args(["-s", name, &pid])
        .status()
        .unwrap();
    assert!(status.success());
}

async fn wait_until_unready(gateway: &Gateway, caller: &Caller) {
    let until = Instant::now() + Duration::from_secs(1);
    while gateway.is_ready(caller).await {
        assert!(
            Instant::now() < until,
            "still ready 1 s after the stop signal"
        );
    }
}
