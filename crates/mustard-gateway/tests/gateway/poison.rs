//! Contents that end the servers that run them: after three ends, a content reaches servers in at
//! most three more retries, whichever gateway it comes to.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use mustard_fakes::site::{API_KEY, PoisonTarget, ServerFault, Site, SiteOptions};

use super::harness::{Caller, Gateway, draft_with_segments, new_port, wait_until};
use super::{start_ready, start_site, wait_for_paths};

/// The time after the third end within which all gateways must know of it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The retries that may reach servers later than that.
const MAX_RETRIES: usize = 3;
/// Enough model servers in each failure domain that paths are left while some are away.
const MODEL_SERVERS: usize = 8;
/// How long an ended server stays away.
const DOWN_TIME: Duration = Duration::from_millis(400);

/// Sends a poison content to each gateway in turn for a time.
async fn send_poison(caller: &Caller, gateways: &[&Gateway], path: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        for gateway in gateways {
            let id = format!("{path}-{}-{number}", gateway.caller_addr);
            caller.request(gateway, path, &id).await;
            number += 1;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Sends a poison content to a gateway until servers have ended three times under it.
async fn end_three_servers(caller: &Caller, site: &Site, gateway: &Gateway, path: &str) {
    let until = Instant::now() + Duration::from_secs(15);
    let ended = || {
        let ended = site.ledger().ended;
        ended.iter().filter(|e| e.id.starts_with(path)).count()
    };
    while ended() < 3 {
        send_poison(caller, &[gateway], path, Duration::from_millis(50)).await;
        assert!(Instant::now() < until, "fewer than three servers ended");
    }
}

/// Checks that few requests with the poison content reached servers once the gateways had the time
/// to learn of the third end.
fn assert_refused(site: &Site, path: &str) {
    assert_refused_after(site, path, CONTACT_TIME);
}

/// The same, with the time that the gateways have to learn of it.
fn assert_refused_after(site: &Site, path: &str, time: Duration) {
    let mut ledger = site.ledger();
    ledger.ended.retain(|e| e.id.starts_with(path));
    let third = ledger.ended.get(2).map(|e| e.at);
    let third = third.expect("three servers ended");
    let is_late = |a: &&mustard_fakes::site::Arrival| a.id.starts_with(path) && a.at > third + time;
    let late = ledger.arrivals.iter().filter(is_late).count();
    let ended_late = ledger.ended.iter().filter(|e| e.at > third + time);
    // A stream that is moved reaches further servers without another arrival.
    let ended_late = ended_late.count();
    assert!(
        late.max(ended_late) <= MAX_RETRIES,
        "sent to servers {late} times more, {ended_late} ended later, {} in all",
        ledger.ended.len()
    );
}

fn options() -> SiteOptions {
    SiteOptions {
        servers: vec![MODEL_SERVERS; 2],
        ..SiteOptions::default()
    }
}

async fn check_one_gateway(path: &str, target: PoisonTarget, options: SiteOptions) {
    let (site, gateway, caller) = start_ready(options).await;
    site.set_poison(target, DOWN_TIME);
    send_poison(&caller, &[&gateway], path, Duration::from_secs(9)).await;
    assert_refused(&site, path);
}

/// Guards against a poison content in a stream, which ends the first server of each path.
#[ntex::test]
async fn poison_stream_first_server() {
    check_one_gateway("/draft/poison", PoisonTarget::First, options()).await;
}

/// Guards against a poison content that ends a later server of its path: the stream was moved and
/// resumed without end.
#[ntex::test]
async fn poison_stream_last_server() {
    check_one_gateway("/draft/poison", PoisonTarget::Last, options()).await;
}

/// Guards against a request that stays open while its content ends most of the few servers there are.
#[ntex::test]
async fn poison_stream_few_servers() {
    let options = SiteOptions::default();
    check_one_gateway("/draft/poison", PoisonTarget::Last, options).await;
}

/// Guards against a poison content in a request that may be repeated and isn't a stream.
#[ntex::test]
async fn poison_read() {
    check_one_gateway(
        "/status/poison",
        PoisonTarget::First,
        SiteOptions::default(),
    )
    .await;
}

/// Guards against a poison content in a request that may run once for each attempt of the caller.
#[ntex::test]
async fn poison_booking() {
    check_one_gateway("/book/poison", PoisonTarget::First, options()).await;
}

/// Guards against counting a server once that ended three times: the service has only this one.
#[ntex::test]
async fn poison_same_server() {
    let options = SiteOptions {
        plain_servers: 1,
        ..options()
    };
    check_one_gateway("/book/poison", PoisonTarget::First, options).await;
}

/// The addresses of the gateways in tests with several.
fn addresses() -> [Ipv4Addr; 4] {
    [1, 2, 3, 4].map(|n| Ipv4Addr::new(127, 0, 0, n))
}

/// Sends poison contents to all gateways but the first, on which three servers end under each of
/// them, once the others had the time to learn of it.
async fn check_others(caller: &Caller, site: &Site, gateways: &[Gateway; 4], paths: &[&str]) {
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    for path in paths {
        end_three_servers(caller, site, &gateways[0], path).await;
    }
    tokio::time::sleep(CONTACT_TIME).await;
    let [_, others @ ..] = gateways;
    for path in paths {
        send_poison(caller, &others.each_ref(), path, SEND_TIME).await;
    }
    for path in paths {
        assert_refused(site, path);
    }
}

/// How long a poison content is sent to the other gateways.
const SEND_TIME: Duration = Duration::from_secs(4);
/// The streams that are cut off when all servers fail.
const HARMLESS: usize = 300;

/// Guards against ends that don't reach the other gateways because they are told of others first:
/// hundreds of streams were cut off as all servers failed.
#[ntex::test]
async fn poison_among_many_strikes() {
    // The streams must still run when the servers fail.
    let options = SiteOptions {
        event_interval: Duration::from_millis(80),
        ..options()
    };
    let site = start_site(options.clone());
    let caller = Caller::new().await;
    let (ips, peer_port) = (addresses(), new_port());
    let gateways = ips.map(|ip| Gateway::start(&site, ip, peer_port, &ips));
    for gateway in &gateways {
        gateway.wait_ready(&caller).await;
        wait_for_paths(&options, &site, gateway, &caller).await;
    }
    let to = gateways[0].caller_addr;
    let streams: Vec<_> = (0..HARMLESS)
        .map(|i| {
            tokio::task::spawn_local(async move {
                let caller = Caller::new().await;
                let path = format!("/draft/harmless-{i}");
                caller.request_at(to, &path, &format!("harmless-{i}")).await
            })
        })
        .collect();
    wait_until("all streams", || {
        let runs = site.ledger().runs;
        runs.keys().filter(|id| id.starts_with("harmless")).count() == HARMLESS
    })
    .await;
    (0..2 * MODEL_SERVERS).for_each(|s| site.set_fault(s, ServerFault::ResetsConnections));
    for stream in streams {
        let _ = stream.await;
    }
    (0..2 * MODEL_SERVERS).for_each(|s| site.set_fault(s, ServerFault::None));
    wait_for_paths(&options, &site, &gateways[0], &caller).await;
    let paths = ["/draft/poison-1", "/draft/poison-2", "/draft/poison-3"];
    check_others(&caller, &site, &gateways, &paths).await;
}

/// Guards against ends that don't reach the other gateways because most known peers are gone.
#[ntex::test]
async fn poison_among_lost_peers() {
    let options = options();
    let site = start_site(options.clone());
    let caller = Caller::new().await;
    let (ips, peer_port) = (addresses(), new_port());
    let lost = (1..=200).map(|n| Ipv4Addr::new(127, 0, 7, n));
    let seeds: Vec<Ipv4Addr> = ips.into_iter().chain(lost).collect();
    let gateways = ips.map(|ip| Gateway::start(&site, ip, peer_port, &seeds));
    for gateway in &gateways {
        gateway.wait_ready(&caller).await;
        wait_for_paths(&options, &site, gateway, &caller).await;
    }
    check_others(&caller, &site, &gateways, &["/draft/poison"]).await;
}

/// Guards against forgetting the ends with the processes: all gateways are killed, twice.
#[ntex::test]
async fn poison_all_gateways_killed() {
    let options = options();
    let site = start_site(options.clone());
    let caller = Caller::new().await;
    let (ips, peer_port) = (addresses(), new_port());
    let start = || ips.map(|ip| Gateway::start(&site, ip, peer_port, &ips));
    let mut gateways = start();
    for gateway in &gateways {
        gateway.wait_ready(&caller).await;
    }
    wait_for_paths(&options, &site, &gateways[0], &caller).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    end_three_servers(&caller, &site, &gateways[0], "/draft/poison").await;
    tokio::time::sleep(CONTACT_TIME).await;
    for _ in 0..2 {
        drop(gateways);
        gateways = start();
        for gateway in &gateways {
            gateway.wait_ready(&caller).await;
        }
        send_poison(
            &caller,
            &gateways.each_ref(),
            "/draft/poison",
            Duration::from_secs(4),
        )
        .await;
    }
    assert_refused(&site, "/draft/poison");
}

/// The time budget of callers that wait until a silent end is noticed.
const SHORT_BUDGET_MS: &str = "900";
/// When a caller leaves that doesn't wait for the answer.
const LEAVE_TIME: Duration = Duration::from_millis(300);

/// Sends a poison content with a short budget, and leaves early if `leaves`; each server that it ends goes
/// silent.
async fn check_silent_ends(path: &str, leaves: bool) {
    let options = SiteOptions {
        plain_servers: 5,
        ..options()
    };
    let (site, gateway, caller) = start_ready(options).await;
    site.set_poison(PoisonTarget::First, Duration::from_millis(1_500));
    site.set_silent_ends();
    let key = format!("Bearer {API_KEY}");
    let until = Instant::now() + Duration::from_secs(18);
    let mut number = 0;
    while Instant::now() < until {
        let id = format!("{path}-{number}");
        let headers = [
            ("attempt-id", id.as_str()),
            ("authorization", key.as_str()),
            ("time-budget-ms", SHORT_BUDGET_MS),
            ("token-count", "100,80"),
        ];
        let answer = caller.send(gateway.caller_addr, "POST", path, &headers);
        let limit = if leaves {
            LEAVE_TIME
        } else {
            Duration::from_secs(5)
        };
        // Whatever the answer is, only the servers that it reaches matter.
        let _ = tokio::time::timeout(limit, answer).await;
        number += 1;
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    assert_refused_after(&site, path, SILENT_CONTACT_TIME);
}

/// The time after the third silent end: a server counts as ended once it is back or its row is removed.
const SILENT_CONTACT_TIME: Duration = Duration::from_secs(6);

/// Guards against ends that aren't counted since the servers go silent and the caller's time is over first.
#[ntex::test]
async fn poison_silent_booking() {
    check_silent_ends("/book/poison", false).await;
}

/// Guards against ends that aren't counted since the caller leaves before they show.
#[ntex::test]
async fn poison_silent_booking_caller_leaves() {
    check_silent_ends("/book/poison", true).await;
}

/// Guards against the same for a stream.
#[ntex::test]
async fn poison_silent_stream_caller_leaves() {
    check_silent_ends("/draft/poison", true).await;
}

/// Guards against sound requests that clear a poison one with the same path and body: only the last
/// segments of their prompts differ.
#[ntex::test]
async fn poison_prompt_in_shared_body() {
    let (site, gateway, caller) = start_ready(options()).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    let until = Instant::now() + Duration::from_secs(10);
    let mut refused = 0;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let (sound_id, poison_id) = (format!("sound-{number}"), format!("bad-{number}"));
        let segments = format!("aa01:40,{number:x}:600");
        let to = gateway.caller_addr;
        let sound = draft_with_segments(&caller, to, &sound_id, "x", &segments);
        let poison = draft_with_segments(&caller, to, &poison_id, "x", "aa01:40,dead99:600");
        let (sound, _) = tokio::join!(sound, poison);
        let served = sound.is_some_and(|a| a.status == 200 && a.complete);
        refused += usize::from(!served && number > 8);
    }
    assert_refused(&site, "bad");
    assert!(
        refused <= number / 20,
        "{refused} of {number} sound requests weren't served"
    );
}

/// Guards against single ends at each of several gateways that aren't told to the others, as each of them
/// has newer ones to tell.
#[ntex::test]
async fn poison_scattered_ends() {
    let options = SiteOptions {
        event_interval: Duration::from_millis(80),
        plain_servers: 5,
        ..options()
    };
    let site = start_site(options.clone());
    let caller = Caller::new().await;
    let ips = [1, 2, 3, 4, 5, 6].map(|n| Ipv4Addr::new(127, 0, 0, n));
    let peer_port = new_port();
    let gateways = ips.map(|ip| Gateway::start(&site, ip, peer_port, &ips));
    for gateway in &gateways {
        gateway.wait_ready(&caller).await;
        wait_for_paths(&options, &site, gateway, &caller).await;
    }
    // A booking is sent to one server only.
    let path = "/book/poison";
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    for (number, gateway) in gateways.iter().take(3).enumerate() {
        let id = format!("{path}-{number}");
        caller.request(gateway, path, &id).await;
        cut_off_streams(&options, &site, &caller, &gateways[..3], number).await;
    }
    assert_eq!(site.ledger().ended.len(), 3);
    tokio::time::sleep(CONTACT_TIME).await;
    send_poison(
        &caller,
        &gateways[3..].iter().collect::<Vec<_>>(),
        path,
        SEND_TIME,
    )
    .await;
    assert_refused(&site, path);
}

/// The streams that are cut off at each gateway, more than a message has strikes.
const CUT_OFF: usize = 80;

/// Starts harmless streams at gateways and cuts them off.
async fn cut_off_streams(
    options: &SiteOptions,
    site: &Site,
    caller: &Caller,
    gateways: &[Gateway],
    round: usize,
) {
    let prefix = format!("cut-{round}-");
    for gateway in gateways {
        let to = gateway.caller_addr;
        for i in 0..CUT_OFF {
            let id = format!("{prefix}{to}-{i}");
            tokio::task::spawn_local(async move {
                let caller = Caller::new().await;
                caller.request_at(to, &format!("/draft/{id}"), &id).await
            });
        }
    }
    wait_until("most streams", || {
        let runs = site.ledger().runs;
        let count = runs.keys().filter(|id| id.starts_with(&prefix)).count();
        count >= gateways.len() * CUT_OFF * 9 / 10
    })
    .await;
    (0..2 * MODEL_SERVERS).for_each(|s| site.set_fault(s, ServerFault::ResetsConnections));
    tokio::time::sleep(Duration::from_millis(400)).await;
    (0..2 * MODEL_SERVERS).for_each(|s| site.set_fault(s, ServerFault::None));
    for gateway in gateways {
        wait_for_paths(options, site, gateway, caller).await;
    }
}
