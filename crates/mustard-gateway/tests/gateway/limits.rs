//! Servers that name in their answers how many requests a second they take from all gateways together.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use mustard_fakes::site::{Arrival, Site, SiteOptions, find_excess};

use super::harness::{Caller, Gateway, new_port};
use super::{start_site, wait_for_paths};

const MODEL_SERVERS: usize = 6;
const PLAIN_SERVERS: std::ops::Range<usize> = 6..8;
/// The pause between two requests to one gateway.
const INTERVAL: Duration = Duration::from_millis(60);

/// Requests that were sent, by whether they were served, refused, or neither.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    served: u32,
    refused: u32,
    failed: u32,
    /// The longest time to a refusal.
    slowest_refusal: Duration,
}

/// A site and its gateways.
struct Bed {
    site: Site,
    caller: Rc<Caller>,
    gateways: Vec<Gateway>,
    ips: Vec<Ipv4Addr>,
    peer_port: u16,
    /// The number of each gateway's process, which changes with a restart.
    numbers: Vec<usize>,
}

impl Bed {
    async fn start(count: u8) -> Self {
        let options = SiteOptions {
            events: 10,
            ..SiteOptions::default()
        };
        let site = start_site(options.clone());
        let ips: Vec<_> = (1..=count).map(|n| Ipv4Addr::new(127, 0, 0, n)).collect();
        let peer_port = new_port();
        let caller = Rc::new(Caller::new().await);
        let gateways: Vec<_> = ips
            .iter()
            .map(|ip| Gateway::start(&site, *ip, peer_port, &ips))
            .collect();
        for gateway in &gateways {
            gateway.wait_ready(&caller).await;
            wait_for_paths(&options, &site, gateway, &caller).await;
        }
        // The gateways learn of each other.
        tokio::time::sleep(Duration::from_secs(2)).await;
        Bed {
            site,
            caller,
            gateways,
            ips,
            peer_port,
            numbers: (0..usize::from(count)).collect(),
        }
    }

    fn set_limit(&self, servers: std::ops::Range<usize>, limit: Option<f64>) {
        servers.for_each(|s| self.site.set_limit(s, limit));
    }

    /// Sends requests to all gateways for a time and waits for their answers.
    async fn send(&self, path: &'static str, time: Duration) -> Tally {
        let until = Instant::now() + time;
        let senders: Vec<_> = (0..self.gateways.len())
            .map(|g| {
                let (caller, to) = (Rc::clone(&self.caller), self.gateways[g].caller_addr);
                let number = self.numbers[g];
                tokio::task::spawn_local(send_to(caller, number, to, path, until))
            })
            .collect();
        let mut total = Tally::default();
        for sender in senders {
            let tally = sender.await.unwrap();
            total.served += tally.served;
            total.refused += tally.refused;
            total.failed += tally.failed;
            total.slowest_refusal = total.slowest_refusal.max(tally.slowest_refusal);
        }
        total
    }

    fn assert_kept(&self) {
        let excess = find_excess(&self.site.ledger().arrivals, gateway_of);
        assert!(excess.is_empty(), "{excess:?}");
    }
}

/// Returns the number of the gateway that a request of [`send_to`] was sent to.
fn gateway_of(arrival: &Arrival) -> Option<usize> {
    arrival
        .id
        .strip_prefix("limit-")?
        .split('-')
        .next()?
        .parse()
        .ok()
}

async fn send_to(
    caller: Rc<Caller>,
    gateway: usize,
    to: SocketAddr,
    path: &'static str,
    until: Instant,
) -> Tally {
    let mut requests = Vec::new();
    while Instant::now() < until {
        let caller = Rc::clone(&caller);
        let id = format!(
            "limit-{gateway}-{}-{}",
            requests.len(),
            until.elapsed().as_nanos()
        );
        requests.push(tokio::task::spawn_local(async move {
            let begun = Instant::now();
            let answer = caller.request_at(to, path, &id).await;
            (answer.map(|a| (a.status, a.complete)), begun.elapsed())
        }));
        tokio::time::sleep(INTERVAL).await;
    }
    let mut tally = Tally::default();
    for request in requests {
        let (answer, took) = request.await.unwrap();
        match answer {
            Some((200, true)) => tally.served += 1,
            Some((503, true)) => {
                tally.refused += 1;
                tally.slowest_refusal = tally.slowest_refusal.max(took);
            }
            _ => tally.failed += 1,
        }
    }
    tally
}

/// All servers of a service name a limit; the gateways get more requests than these allow.
async fn check_limited(
    gateways: u8,
    path: &'static str,
    servers: std::ops::Range<usize>,
    limit: f64,
) {
    let bed = Bed::start(gateways).await;
    bed.set_limit(servers, Some(limit));
    let tally = bed.send(path, Duration::from_secs(10)).await;
    bed.assert_kept();
    assert!(tally.served > 0 && tally.refused > 0, "{tally:?}");
    assert_eq!(tally.failed, 0, "{tally:?}");
    assert!(tally.slowest_refusal < Duration::from_secs(1), "{tally:?}");
}

/// Guards against streams that go on at the old rate.
#[ntex::test]
async fn limit_streams() {
    check_limited(1, "/draft/x", 0..MODEL_SERVERS, 1.5).await;
}

/// Guards against gateways that each use the whole limit.
#[ntex::test]
async fn limit_streams_many_gateways() {
    check_limited(4, "/draft/x", 0..MODEL_SERVERS, 2.0).await;
}

/// Guards against gateways that each send a few requests although the limit allows less than one a
/// second.
#[ntex::test]
async fn limit_streams_below_one() {
    check_limited(4, "/draft/x", 0..MODEL_SERVERS, 0.3).await;
}

#[ntex::test]
async fn limit_bookings() {
    check_limited(4, "/book/x", PLAIN_SERVERS, 2.5).await;
}

/// Guards against second sends of requests that may be repeated.
#[ntex::test]
async fn limit_reads() {
    check_limited(4, "/status/x", PLAIN_SERVERS, 2.5).await;
}

/// Guards against refusing requests that servers without a limit can take.
#[ntex::test]
async fn limit_some_servers() {
    let bed = Bed::start(4).await;
    bed.set_limit(6..7, Some(0.5));
    let tally = bed.send("/book/x", Duration::from_secs(8)).await;
    bed.assert_kept();
    assert_eq!(tally.refused + tally.failed, 0, "{tally:?}");
}

/// Guards against a limit that is kept after the server no longer names it, and against one that isn't
/// followed when it changes.
#[ntex::test]
async fn limit_changes_and_ends() {
    let bed = Bed::start(4).await;
    bed.set_limit(PLAIN_SERVERS, Some(2.0));
    bed.send("/book/x", Duration::from_secs(6)).await;
    bed.set_limit(PLAIN_SERVERS, Some(12.0));
    let higher = bed.send("/book/x", Duration::from_secs(6)).await;
    bed.assert_kept();
    // Two servers with 12 a second for 6 s, of which some pass until each gateway knows.
    assert!(higher.served > 70, "{higher:?}");
    bed.set_limit(PLAIN_SERVERS, None);
    bed.send("/book/x", Duration::from_secs(3)).await;
    let free = bed.send("/book/x", Duration::from_secs(3)).await;
    assert_eq!(free.refused + free.failed, 0, "{free:?}");
}

/// Guards against gateways that start and use the whole limit, as they know of no others yet.
#[ntex::test]
async fn limit_gateways_restarted() {
    let mut bed = Bed::start(4).await;
    bed.set_limit(PLAIN_SERVERS, Some(4.0));
    bed.send("/book/x", Duration::from_secs(4)).await;
    for round in 1..=3 {
        for g in 0..3 {
            // Dropping the old one ends it, before the new one listens at the same address.
            drop(bed.gateways.remove(g));
            let new = Gateway::start(&bed.site, bed.ips[g], bed.peer_port, &bed.ips);
            bed.gateways.insert(g, new);
            bed.gateways[g].wait_ready(&bed.caller).await;
            bed.numbers[g] = 10 * round + g;
        }
        bed.send("/book/x", Duration::from_secs(4)).await;
    }
    bed.assert_kept();
}
