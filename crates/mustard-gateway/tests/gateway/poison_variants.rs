//! Requests that end servers beside sound ones that differ from them only in method, query or body.
//!
//! After three ends, a request reaches servers in at most three more retries, and sound ones are served.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use mustard_fakes::site::{API_KEY, POISON, POISON_METHOD, PoisonTarget, Site, SiteOptions};

use super::harness::{Caller, Gateway, new_port};
use super::{start_ready_without_stream, start_site};

/// The time after the third end within which all gateways must know of it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The retries that may reach servers later than that.
const MAX_RETRIES: usize = 3;
const DOWN_TIME: Duration = Duration::from_millis(300);
const PLAIN_SERVERS: usize = 4;
/// What the ids of requests that end servers begin with.
const BAD: &str = "bad";

/// A request, apart from its id.
#[derive(Clone, Debug)]
struct Request {
    method: &'static str,
    path: String,
    body: String,
}

fn read(query: &str) -> Request {
    Request {
        method: "GET",
        path: format!("/status/list?id={query}"),
        body: String::new(),
    }
}

fn options() -> SiteOptions {
    SiteOptions {
        plain_servers: PLAIN_SERVERS,
        ..SiteOptions::default()
    }
}

async fn send(caller: &Caller, gateway: &Gateway, request: &Request, id: &str) -> u16 {
    let key = format!("Bearer {API_KEY}");
    let headers = [
        ("attempt-id", id),
        ("authorization", key.as_str()),
        ("time-budget-ms", "2000"),
    ];
    let (to, body) = (gateway.caller_addr, request.body.clone());
    let answer = caller.send_body(to, request.method, &request.path, &headers, body);
    answer.await.map_or(0, |a| a.status)
}

/// Sends the bad request of each round, then sound ones, for a time; returns the statuses of the sound ones.
async fn send_rounds(
    (bad_gateway, sound_gateway): (&Gateway, &Gateway),
    bad: impl Fn(usize) -> Request,
    sound: &[Request],
    time: Duration,
) -> Vec<u16> {
    let caller = Caller::new().await;
    let until = Instant::now() + time;
    let mut statuses = Vec::new();
    let mut round = 0;
    while Instant::now() < until {
        let id = format!("{BAD}-{round}");
        send(&caller, bad_gateway, &bad(round), &id).await;
        for (number, request) in sound.iter().enumerate() {
            let id = format!("sound-{round}-{number}");
            statuses.push(send(&caller, sound_gateway, request, &id).await);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        round += 1;
    }
    statuses
}

/// Checks that few of the bad requests reached servers later than the third end.
fn expect_stopped(site: &Site) {
    let ledger = site.ledger();
    let third = ledger.ended.get(2).expect("three servers ended").at;
    let is_late =
        |a: &&mustard_fakes::site::Arrival| a.id.starts_with(BAD) && a.at > third + CONTACT_TIME;
    let late = ledger.arrivals.iter().filter(is_late).count();
    assert!(late <= MAX_RETRIES, "{late} arrivals after three ends");
}

/// Checks that few of the bad requests reached servers later than the third end; each may reach a second one before
/// the first end is known.
fn expect_few_retries(site: &Site) {
    let ledger = site.ledger();
    let ended = &ledger.ended;
    let late = ended.get(2).expect("three servers ended").at + CONTACT_TIME;
    let ids: BTreeSet<_> = ended
        .iter()
        .filter(|e| e.at > late)
        .map(|e| &e.id)
        .collect();
    let times: Vec<_> = ended.iter().map(|e| e.at - ended[0].at).collect();
    assert!(
        ids.len() <= MAX_RETRIES,
        "{} retries, ends at {times:?}",
        ids.len()
    );
}

/// Sends each of the sound requests once; returns their statuses.
async fn send_sound(gateway: &Gateway, sound: &[Request]) -> Vec<u16> {
    let caller = Caller::new().await;
    let mut statuses = Vec::new();
    for (number, request) in sound.iter().enumerate() {
        let id = format!("after-{number}");
        statuses.push(send(&caller, gateway, request, &id).await);
    }
    statuses
}

fn sound_reads() -> Vec<Request> {
    (0..4).map(|n| read(&n.to_string())).collect()
}

async fn check_beside_sound(bad: impl Fn(usize) -> Request, sound: &[Request]) {
    let (site, gateway, _caller) = start_ready_without_stream(options()).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    let time = CONTACT_TIME + Duration::from_secs(5);
    let statuses = send_rounds((&gateway, &gateway), bad, sound, time).await;
    expect_stopped(&site);
    let half = statuses.len() / 2;
    let refused = statuses[half..].iter().filter(|s| **s != 200).count();
    assert_eq!(refused, 0, "of {half} sound requests: {statuses:?}");
}

/// Guards against a read that isn't stopped, as sound reads with other queries count as its own success.
#[ntex::test]
async fn bad_query_beside_sound_queries() {
    check_beside_sound(|_| read(POISON), &sound_reads()).await;
}

/// The same for requests that differ in the method only.
#[ntex::test]
async fn bad_method_beside_sound_method() {
    let request = |method| Request {
        method,
        path: "/status/list".to_owned(),
        body: String::new(),
    };
    check_beside_sound(move |_| request(POISON_METHOD), &[request("GET")]).await;
}

/// The same for requests that differ in the body only.
#[ntex::test]
async fn bad_body_beside_sound_body() {
    let request = |body: &str| Request {
        method: "POST",
        path: "/status/list".to_owned(),
        body: body.to_owned(),
    };
    check_beside_sound(move |_| request(POISON), &[request("sound")]).await;
}

/// Guards against a read that escapes by another query each time.
#[ntex::test]
async fn bad_another_query_each_time() {
    let (site, gateway, _caller) = start_ready_without_stream(options()).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    let bad = |round: usize| read(&format!("{POISON}&page={round}"));
    let time = CONTACT_TIME + Duration::from_secs(4);
    send_rounds((&gateway, &gateway), bad, &[], time).await;
    expect_stopped(&site);
}

/// The same if only some of the queries differ.
#[ntex::test]
async fn bad_another_query_at_times() {
    let (site, gateway, _caller) = start_ready_without_stream(options()).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    let bad = |round: usize| read(&format!("{POISON}&page={}", round / 2));
    let time = CONTACT_TIME + Duration::from_secs(4);
    send_rounds((&gateway, &gateway), bad, &[], time).await;
    expect_stopped(&site);
}

/// Guards against the same beside sound reads with queries that come again.
#[ntex::test]
async fn bad_another_query_beside_sound_queries() {
    let bad = |round: usize| read(&format!("{POISON}&page={round}"));
    check_beside_sound(bad, &sound_reads()).await;
}

/// The same at a gateway that learns of the ends from another one, and serves the sound reads.
#[ntex::test]
async fn bad_another_query_at_other_gateway() {
    let site = start_site(options());
    let [one, two] = start_two(&site).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    let bad = |round: usize| read(&format!("{POISON}&page={round}"));
    let time = CONTACT_TIME + Duration::from_secs(4);
    let statuses = send_rounds((&one, &two), bad, &sound_reads(), time).await;
    let half = statuses.len() / 2;
    assert!(statuses[half..].iter().all(|s| *s == 200), "{statuses:?}");
    let caller = Caller::new().await;
    send(&caller, &two, &bad(usize::MAX), "bad-two").await;
    expect_few_retries(&site);
}

/// Guards against sound reads that are refused as one bad read of their path ended servers, none of them having been
/// served before.
#[ntex::test]
async fn sound_queries_after_bad_query() {
    let (site, gateway, _caller) = start_ready_without_stream(options()).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    send_rounds((&gateway, &gateway), |_| read(POISON), &[], CONTACT_TIME).await;
    tokio::time::sleep(2 * DOWN_TIME).await;
    assert!(site.ledger().ended.len() >= 3);
    assert_eq!(send_sound(&gateway, &sound_reads()).await, [200; 4]);
}

/// Guards against a request that isn't stopped as it ran well until the software of its servers was replaced.
#[ntex::test]
async fn bad_query_after_release() {
    let (site, gateway, _caller) = start_ready_without_stream(options()).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    site.set_poison_sound(true);
    let bad = |_| read(POISON);
    let both = (&gateway, &gateway);
    send_rounds(both, bad, &sound_reads(), Duration::from_secs(1)).await;
    assert!(site.ledger().ended.is_empty());
    site.set_poison_sound(false);
    let time = CONTACT_TIME + Duration::from_secs(9);
    let statuses = send_rounds(both, bad, &sound_reads(), time).await;
    expect_few_retries(&site);
    let half = statuses.len() / 2;
    let refused = statuses[half..].iter().filter(|s| **s == 503).count();
    assert_eq!(refused, 0, "of {half} sound requests");
}

/// Guards against the same at a gateway that learns of the ends from another one, and knows that it ran well.
#[ntex::test]
async fn bad_query_after_release_at_other_gateway() {
    let site = start_site(options());
    let [one, two] = start_two(&site).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    site.set_poison_sound(true);
    let bad = |_| read(POISON);
    send_rounds((&two, &two), bad, &[], Duration::from_secs(1)).await;
    site.set_poison_sound(false);
    let time = CONTACT_TIME + Duration::from_secs(9);
    send_rounds((&one, &two), bad, &[read(POISON)], time).await;
    expect_few_retries(&site);
}

async fn start_two(site: &Site) -> [Gateway; 2] {
    let caller = Caller::new().await;
    let ips = [1, 2].map(|n| Ipv4Addr::new(127, 0, 0, n));
    let peer_port = new_port();
    let gateways = ips.map(|ip| Gateway::start(site, ip, peer_port, &ips));
    for gateway in &gateways {
        gateway.wait_ready(&caller).await;
    }
    gateways
}

/// Guards against the same at a gateway that learns of the ends from another one, and against sound reads there that
/// release the bad read everywhere.
#[ntex::test]
async fn bad_query_at_other_gateway() {
    let site = start_site(options());
    let [one, two] = start_two(&site).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    let time = CONTACT_TIME + Duration::from_secs(4);
    let statuses = send_rounds((&one, &two), |_| read(POISON), &sound_reads(), time).await;
    let half = statuses.len() / 2;
    assert!(statuses[half..].iter().all(|s| *s == 200), "{statuses:?}");
    let caller = Caller::new().await;
    let status = send(&caller, &two, &read(POISON), "bad-two").await;
    assert_eq!(status, 503);
    expect_stopped(&site);
}

/// Guards against sound reads that are refused at a gateway that hears of three ends and has served none of them.
#[ntex::test]
async fn sound_queries_at_other_gateway() {
    let site = start_site(options());
    let [one, two] = start_two(&site).await;
    site.set_poison(PoisonTarget::First, DOWN_TIME);
    send_rounds((&one, &one), |_| read(POISON), &[], CONTACT_TIME).await;
    tokio::time::sleep(CONTACT_TIME).await;
    assert!(site.ledger().ended.len() >= 3);
    assert_eq!(send_sound(&two, &sound_reads()).await, [200; 4]);
    assert_eq!(send_sound(&one, &sound_reads()).await, [200; 4]);
    let caller = Caller::new().await;
    let status = send(&caller, &two, &read(POISON), "bad-two").await;
    assert_eq!(status, 503);
}
