//! Tests of the gateway process in front of a stand-in site: complete requests, and single failures.
//!
//! By default the site numbers its six model servers 0 to 5, in two failure domains, and the two
//! servers of its plain service 6 and 7.

#![allow(clippy::unwrap_used)]

mod bad_answers;
mod faulty_answers;
mod foreign_rows;
mod framing;
mod harness;
mod kept_evidence;
mod leaving;
mod limits;
mod logs;
mod old_config;
mod outliers;
mod peer_messages;
mod poison;
mod poison_variants;
mod priorities;
mod refused_body;
mod restored;
mod retry_budget;
mod reused_addresses;
mod second_copies;
mod segments;
mod server_load;
mod unfinished;

use std::net::Ipv4Addr;
use std::process::Command;
use std::time::{Duration, Instant};

use mustard_fakes::site::{API_KEY, CUSTOMER, LAYERS, ServerFault, Site, SiteOptions, StoreMode};

use mustard_tests::site_soak::stream_text;

use harness::{Caller, Gateway, new_port, wait_until};

const EVENT_COUNT: u64 = 40;
/// The time within which a gateway must learn of a change to the server list.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

fn start_site(options: SiteOptions) -> Site {
    let site = Site::start(options).unwrap();
    site.write_config(1, &[API_KEY]);
    site
}

/// The id of the requests that are sent until a gateway serves streams.
const WARMUP_ID: &str = "warm";

/// Starts a site and a gateway, and waits until it serves streams.
async fn start_ready(options: SiteOptions) -> (Site, Gateway, Caller) {
    let site = start_site(options.clone());
    let caller = Caller::new().await;
    let gateway = Gateway::start_ready(&site, &caller).await;
    wait_for_paths(&options, &site, &gateway, &caller).await;
    (site, gateway, caller)
}

/// Starts a site and a gateway, and waits until it has a path for streams.
async fn start_ready_without_stream(options: SiteOptions) -> (Site, Gateway, Caller) {
    let site = start_site(options.clone());
    let caller = Caller::new().await;
    let gateway = Gateway::start_ready(&site, &caller).await;
    let model_servers: usize = options.servers.iter().sum();
    wait_until("a placement", || {
        (0..model_servers).all(|i| site.loaded_layers(i).is_some())
    })
    .await;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    (site, gateway, caller)
}

/// Waits until a gateway serves streams.
async fn wait_for_paths(options: &SiteOptions, site: &Site, gateway: &Gateway, caller: &Caller) {
    let model_servers: usize = options.servers.iter().sum();
    wait_until("a placement", || {
        (0..model_servers).all(|i| site.loaded_layers(i).is_some())
    })
    .await;
    // The gateway learns which layers are held once the rows reach it.
    let until = Instant::now() + PROPAGATION_LIMIT;
    while caller
        .request(gateway, "/draft/x", WARMUP_ID)
        .await
        .is_none_or(|a| a.status != 200)
    {
        assert!(Instant::now() < until, "no path is known after 2 s");
    }
}

/// Starts a stream and waits until its servers are running it; returns the task that reads it.
async fn start_stream(
    site: &Site,
    gateway: &Gateway,
    id: &'static str,
) -> tokio::task::JoinHandle<Option<harness::Answer>> {
    let caller_addr = gateway.caller_addr;
    let task = tokio::task::spawn_local(async move {
        let caller = Caller::new().await;
        let key = format!("Bearer {API_KEY}");
        let headers = [
            ("attempt-id", id),
            ("authorization", key.as_str()),
            ("time-budget-ms", "7000"),
            ("token-count", "100,80"),
        ];
        caller.send(caller_addr, "POST", "/draft/x", &headers).await
    });
    wait_until("a run", || site.ledger().runs.contains_key(id)).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    task
}

/// Returns the index of the first server of a request's path.
fn first_server(site: &Site, id: &str) -> usize {
    let ledger = site.ledger();
    ledger.requests.iter().find(|r| r.id == id).unwrap().server
}

#[ntex::test]
async fn handle_no_failures() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let stream = caller
        .request(&gateway, "/draft/x", "calm-1")
        .await
        .unwrap();
    assert_eq!((stream.status, stream.complete), (200, true));
    assert_eq!(stream.text, stream_text("calm-1", EVENT_COUNT));
    let booked = caller.request(&gateway, "/book/x", "calm-2").await.unwrap();
    assert_eq!((booked.status, booked.text.as_str()), (200, "done calm-2"));
    let status = caller
        .request(&gateway, "/status/x", "calm-3")
        .await
        .unwrap();
    assert_eq!(status.status, 200);
    let ledger = site.ledger();
    for id in ["calm-1", "calm-2", "calm-3"] {
        assert_eq!(ledger.runs[id], 1);
    }
    for seen in ledger.requests.iter().filter(|r| r.id != WARMUP_ID) {
        assert_eq!(seen.customer.as_deref(), Some(CUSTOMER));
        assert!(!seen.has_key, "the customer's key was sent to a server");
        assert!(
            seen.budget_ms.is_some_and(|b| b <= 7_000 && b > 6_000),
            "{seen:?}"
        );
    }
}

#[ntex::test]
async fn handle_unknown_route_or_key() {
    let (_site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let none = caller
        .request(&gateway, "/nowhere/x", "unknown-1")
        .await
        .unwrap();
    assert_eq!(none.status, 404);
    let headers = [
        ("attempt-id", "unknown-2"),
        ("authorization", "Bearer other"),
    ];
    let denied = caller
        .send(gateway.caller_addr, "POST", "/book/x", &headers)
        .await
        .unwrap();
    assert_eq!(denied.status, 401);
}

/// A revoked key is refused soon after, and an older configuration doesn't bring it back.
#[ntex::test]
async fn handle_revoked_key() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    site.write_config(5, &["another"]);
    let until = Instant::now() + Duration::from_secs(2);
    while caller
        .request(&gateway, "/book/x", "revoked-1")
        .await
        .unwrap()
        .status
        == 200
    {
        assert!(
            Instant::now() < until,
            "the key is still accepted after 2 s"
        );
    }
    site.write_config(4, &[API_KEY]);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        caller
            .request(&gateway, "/book/x", "revoked-2")
            .await
            .unwrap()
            .status,
        401
    );
}

/// When later servers of a stream's path stop answering, the stream is moved to another path after
/// a short pause, and no event is repeated or skipped.
#[ntex::test]
async fn stream_later_servers_silent() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    let task = start_stream(&site, &gateway, "part-1").await;
    let first = first_server(&site, "part-1");
    let domain = first / 3;
    // All other servers in the first one's failure domain stop answering; the other domain holds
    // the same layers.
    for server in (domain * 3..domain * 3 + 3).filter(|s| *s != first) {
        site.set_fault(server, ServerFault::Silent);
    }
    let started = Instant::now();
    let answer = task.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text, stream_text("part-1", EVENT_COUNT));
    assert!(
        started.elapsed() < Duration::from_millis(2_500),
        "the stream waited for the stall timeout"
    );
    assert!(site.ledger().path_changes >= 1);
    assert_eq!(site.ledger().runs["part-1"], 1);
}

/// Guards against moves that make a server prefill again whose part still runs: where crossings are scarce,
/// only the part of the ended server gets another one.
#[ntex::test]
async fn stream_keeps_running_parts() {
    let (site, gateway, _caller) = start_ready(SiteOptions {
        servers: vec![6, 6],
        layer_capacity: 3,
        pipe_mbps: 1.0,
        ..SiteOptions::default()
    })
    .await;
    let task = start_stream(&site, &gateway, "kept-1").await;
    let first = first_server(&site, "kept-1");
    // The first server's domain has other holders of the layers of each later one.
    let later = site.path_servers("kept-1", first)[1..].to_vec();
    site.set_fault(later[0], ServerFault::Silent);
    let answer = task.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text, stream_text("kept-1", EVENT_COUNT));
    let ledger = site.ledger();
    assert_eq!((ledger.path_changes, ledger.runs["kept-1"]), (1, 1));
    assert_eq!(ledger.kept_parts, later.len() - 1);
    assert!(ledger.kept_parts > 0);
}

/// When the first server of a stream's path dies, the stream resumes at another one after the last
/// event.
#[ntex::test]
async fn stream_first_server_dead() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    let task = start_stream(&site, &gateway, "first-1").await;
    site.set_fault(
        first_server(&site, "first-1"),
        ServerFault::ResetsConnections,
    );
    let answer = task.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text, stream_text("first-1", EVENT_COUNT));
    assert_eq!(site.ledger().runs["first-1"], 2);
}

/// When no server can resume a stream, its answer is cut off and doesn't look complete.
#[ntex::test]
async fn stream_all_servers_dead() {
    let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
    let task = start_stream(&site, &gateway, "dead-1").await;
    for server in 0..6 {
        site.set_fault(server, ServerFault::ResetsConnections);
    }
    let answer = task.await.unwrap().unwrap();
    assert!(!answer.complete);
    assert!(stream_text("dead-1", EVENT_COUNT).starts_with(&answer.text));
}

/// Guards against a request that stays open after the gateway has given it up: the caller's time is
/// over while events still arrive.
#[ntex::test]
async fn stream_past_deadline() {
    let options = SiteOptions {
        event_interval: Duration::from_millis(190),
        ..SiteOptions::default()
    };
    // 40 events take longer than the seven seconds that the caller waits.
    let (site, gateway, _caller) = start_ready_without_stream(options).await;
    for number in 0..3 {
        let id = ["past-0", "past-1", "past-2"][number];
        let asked = Instant::now();
        let answer = start_stream(&site, &gateway, id).await.await.unwrap();
        assert!(!answer.unwrap().complete);
        assert!(
            asked.elapsed() < Duration::from_millis(7_500),
            "{:?}",
            asked.elapsed()
        );
    }
}

/// When a caller disconnects, its run is cancelled soon after.
#[ntex::test]
async fn stream_caller_left() {
    let options = SiteOptions {
        events: 400,
        event_interval: Duration::from_millis(5),
        ..SiteOptions::default()
    };
    let (site, gateway, _caller) = start_ready(options).await;
    let task = start_stream(&site, &gateway, "left-1").await;
    task.abort();
    let left = Instant::now();
    wait_until("a cancelled run", || site.ledger().cancelled == 1).await;
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "{:?}",
        left.elapsed()
    );
}

/// When all model servers drain, a stream is refused with status 503, well before its deadline, and
/// isn't run.
#[ntex::test]
async fn run_no_path() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for server in 0..6 {
        site.drain(server);
    }
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let asked = Instant::now();
    let answer = caller
        .request(&gateway, "/draft/x", "none-1")
        .await
        .unwrap();
    assert_eq!((answer.status, answer.has_retry_after), (503, true));
    assert!(
        asked.elapsed() < Duration::from_millis(600),
        "{:?}",
        asked.elapsed()
    );
    assert!(!site.ledger().runs.contains_key("none-1"));
}

/// A server that restarts without layers is ordered to load some again.
#[ntex::test]
async fn run_restarted_server() {
    let (site, _gateway, _caller) = start_ready(SiteOptions::default()).await;
    site.restart(1);
    wait_until("new layers", || site.loaded_layers(1).is_some()).await;
    let (first, end) = site.loaded_layers(1).unwrap();
    assert!(first < end && end <= LAYERS);
}

/// A booking whose answer is lost isn't run a second time. Both servers of the plain service lose
/// their answers.
#[ntex::test]
async fn run_lost_answer() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for server in [6, 7] {
        site.set_fault(server, ServerFault::LosesAnswers);
    }
    let booked = caller.request(&gateway, "/book/x", "lost-1").await.unwrap();
    assert_eq!(booked.status, 502);
    assert_eq!(site.ledger().runs["lost-1"], 1);
}

/// A status read that fails at one server of the plain service (6) is retried at the other (7).
#[ntex::test]
async fn run_failed_read() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    site.set_fault(6, ServerFault::AnswersError);
    for i in 0..6 {
        let read = caller
            .request(&gateway, "/status/x", &format!("read-{i}"))
            .await
            .unwrap();
        assert_eq!(read.status, 200);
    }
}

/// Once the row of one server of the plain service (6) is removed, bookings go only to the other
/// (7); a row that can't be decoded is ignored.
#[ntex::test]
async fn run_server_leaves() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    site.delete_row(6);
    site.write_raw_row("i-other", b"{\"service\": 7}");
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    for i in 0..8 {
        let booked = caller
            .request(&gateway, "/book/x", &format!("leave-{i}"))
            .await
            .unwrap();
        assert_eq!(booked.status, 200);
    }
    assert!(
        site.ledger()
            .requests
            .iter()
            .all(|r| r.id == WARMUP_ID || r.server == 7)
    );
}

/// Requests are served while the store is unavailable, and changes are applied once it is back.
#[ntex::test]
async fn follow_store_unavailable() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    site.set_store_fault(StoreMode::ResetsConnections);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stream = caller
        .request(&gateway, "/draft/x", "away-1")
        .await
        .unwrap();
    assert_eq!(stream.text, stream_text("away-1", EVENT_COUNT));
    site.set_store_fault(StoreMode::HistoryLost);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.set_store_fault(StoreMode::Healthy);
    site.write_config(9, &["another"]);
    let until = Instant::now() + Duration::from_secs(3);
    while caller
        .request(&gateway, "/book/x", "away-2")
        .await
        .unwrap()
        .status
        == 200
    {
        assert!(Instant::now() < until, "the change isn't applied");
    }
}

/// A server that loses its layers while the store is unavailable is ordered to load layers again
/// without waiting for the store, under the last fencing token that the gateway was granted.
#[ntex::test]
async fn give_store_away() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    site.set_store_fault(StoreMode::ResetsConnections);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.restart(0);
    // The list can't show that the server is empty; the gateway learns it from requests that fail
    // there.
    let until = Instant::now() + Duration::from_secs(10);
    while site.loaded_layers(0).is_none() {
        caller.request(&gateway, "/draft/x", "empty").await;
        assert!(Instant::now() < until, "the layers aren't loaded again");
    }
    let stream = caller
        .request(&gateway, "/draft/x", "loaded")
        .await
        .unwrap();
    assert_eq!(stream.text, stream_text("loaded", EVENT_COUNT));
}

/// A gateway that the store refuses learns the configuration from another gateway.
#[ntex::test]
async fn adopt_config_from_peer() {
    let site = start_site(SiteOptions::default());
    let caller = Caller::new().await;
    let ips = [Ipv4Addr::LOCALHOST, Ipv4Addr::new(127, 0, 0, 2)];
    let peer_port = new_port();
    let one = Gateway::start(&site, ips[0], peer_port, &ips);
    one.wait_ready(&caller).await;
    // The second gateway uses a store that refuses each call.
    let other = Site::start(SiteOptions::default()).unwrap();
    other.set_store_fault(StoreMode::Busy);
    let two = Gateway::start(&other, ips[1], peer_port, &ips);
    let until = Instant::now() + Duration::from_secs(10);
    // Without a configuration the gateway can't tell that a key is wrong.
    loop {
        let headers = [("attempt-id", "peer-1"), ("authorization", "Bearer wrong")];
        let answer = caller
            .send(two.caller_addr, "POST", "/book/x", &headers)
            .await;
        if answer.is_some_and(|a| a.status == 401) {
            break;
        }
        assert!(
            Instant::now() < until,
            "no configuration came from the peer"
        );
    }
}

/// Three gateways that start together order each model server to load layers only once, although
/// the server list shows the layers late.
#[ntex::test]
async fn run_three_gateways() {
    let site = start_site(SiteOptions {
        load_time: Duration::from_millis(900),
        ..SiteOptions::default()
    });
    let caller = Caller::new().await;
    let ips = [1, 2, 3].map(|n| Ipv4Addr::new(127, 0, 0, n));
    let peer_port = new_port();
    let gateways = ips.map(|ip| Gateway::start(&site, ip, peer_port, &ips));
    for gateway in &gateways {
        gateway.wait_ready(&caller).await;
    }
    wait_until("a placement", || {
        (0..6).all(|i| site.loaded_layers(i).is_some())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let placements = site.ledger().placements;
    assert_eq!(placements.len(), 6, "{placements:?}");
}

/// After a stop signal the process is unready at once, cuts no stream and exits with code 0.
#[ntex::test]
async fn run_planned_stop() {
    let (site, mut gateway, caller) = start_ready(SiteOptions::default()).await;
    let task = start_stream(&site, &gateway, "stop-1").await;
    signal(&gateway, "TERM");
    wait_until_unready(&gateway, &caller).await;
    let late = caller.request(&gateway, "/book/x", "stop-2").await.unwrap();
    assert_eq!(late.status, 200, "the balancer may still send requests");
    let answer = task.await.unwrap().unwrap();
    assert_eq!(answer.text, stream_text("stop-1", EVENT_COUNT));
    assert_eq!(gateway.wait_exit().await, Some(0));
}

/// The gateway goes on serving after SIGHUP.
#[ntex::test]
async fn survive_reload_signal() {
    let (_site, gateway, caller) = start_ready(SiteOptions::default()).await;
    signal(&gateway, "HUP");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let booked = caller
        .request(&gateway, "/book/x", "reload-1")
        .await
        .unwrap();
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
