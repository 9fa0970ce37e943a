//! The retry budget that all gateways share, while they are killed and started again.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mustard_fakes::site::{Arrival, ServerFault, SiteOptions};

use super::harness::{Caller, Gateway, new_port};
use super::start_site;

const GATEWAYS: u8 = 4;
const KILLS: usize = 6;
/// The time between a start of all gateways and the next kill.
const LIFE: Duration = Duration::from_millis(1_200);
/// The pause between two requests to one gateway.
const INTERVAL: Duration = Duration::from_millis(15);
const RATIO: f64 = 0.2;
const SLACK: f64 = 198.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Returns the largest excess over the budget in any window, and the repeats in all.
fn sum_repeats(arrivals: &[Arrival]) -> (f64, usize) {
    let mut seen: HashMap<&str, usize> = HashMap::new();
    let calls = arrivals.iter().filter(|a| a.id.starts_with("retry-"));
    let counted: Vec<(Instant, bool)> = calls
        .map(|a| {
            let count = seen.entry(a.id.as_str()).or_default();
            *count += 1;
            (a.at, *count > 1)
        })
        .collect();
    let windows = counted.iter().enumerate().map(|(i, (begin, _))| {
        let window = counted[i..]
            .iter()
            .take_while(|(at, _)| *at < *begin + WINDOW);
        let flags: Vec<bool> = window.map(|(_, is_repeat)| *is_repeat).collect();
        let repeats = flags.iter().filter(|is_repeat| **is_repeat).count();
        let allowed = RATIO * (flags.len() - repeats) as f64 + SLACK;
        repeats as f64 - allowed
    });
    let excess = windows.fold(f64::NEG_INFINITY, f64::max);
    (
        excess,
        counted.iter().filter(|(_, is_repeat)| *is_repeat).count(),
    )
}

/// Guards against more repeats than the budget allows because killed gateways forget what they spent.
#[ntex::test]
async fn retry_budget_gateways_killed() {
    let options = SiteOptions {
        events: 10,
        ..SiteOptions::default()
    };
    let models: usize = options.servers.iter().sum();
    let plain = models..models + options.plain_servers;
    let site = start_site(options);
    let ips: Vec<_> = (1..=GATEWAYS)
        .map(|n| Ipv4Addr::new(127, 0, 0, n))
        .collect();
    let peer_port = new_port();
    let caller = Rc::new(Caller::new().await);
    for server in plain {
        site.set_fault(server, ServerFault::AnswersError);
    }
    let mut sent = 0;
    for _ in 0..KILLS {
        // Dropping the gateways of the round before has killed them.
        let gateways: Vec<_> = ips
            .iter()
            .map(|ip| Gateway::start(&site, *ip, peer_port, &ips))
            .collect();
        for gateway in &gateways {
            gateway.wait_ready(&caller).await;
        }
        let until = Instant::now() + LIFE;
        let mut requests = Vec::new();
        while Instant::now() < until {
            for gateway in &gateways {
                let (caller, to) = (Rc::clone(&caller), gateway.caller_addr);
                let id = format!("retry-{sent}");
                sent += 1;
                requests.push(tokio::task::spawn_local(async move {
                    caller.request_at(to, "/status/x", &id).await;
                }));
            }
            tokio::time::sleep(INTERVAL).await;
        }
        drop(gateways);
        for request in requests {
            request.await.unwrap();
        }
    }
    let (excess, repeats) = sum_repeats(&site.ledger().arrivals);
    assert!(repeats > 20, "the budget was used: {repeats} repeats");
    assert!(
        excess <= 0.0,
        "{excess:.0} repeats beyond the budget, {repeats} in all"
    );
}
