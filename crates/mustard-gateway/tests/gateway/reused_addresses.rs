//! Servers at the addresses of others that are gone while the rows of both are listed.

use std::time::{Duration, Instant};

use mustard_fakes::site::{DESK, LAYERS, MODELS, Site, SiteOptions, StoreMode};
use mustard_tests::site_soak::stream_text;

use super::harness::{Caller, Gateway, wait_until};
use super::{EVENT_COUNT, PROPAGATION_LIMIT, start_ready, start_site, wait_for_paths};

/// The time within which restarted servers have layers again.
const RELOAD_LIMIT: Duration = Duration::from_secs(12);
const MODEL_SERVERS: std::ops::Range<usize> = 0..6;
const PLAIN_SERVERS: std::ops::Range<usize> = 6..8;

/// Returns the model servers that hold the first layers, or those that hold the last ones.
fn holders(site: &Site, first: bool) -> Vec<usize> {
    let holds = |i: &usize| {
        let (from, to) = site.loaded_layers(*i).unwrap();
        if first { from == 0 } else { to == LAYERS }
    };
    MODEL_SERVERS.filter(holds).collect()
}

/// Returns the ids of the requests that a server has run.
fn run_ids(site: &Site, server: usize) -> Vec<String> {
    let requests = site.ledger().requests;
    let run = requests.into_iter().filter(|r| r.server == server);
    run.map(|r| r.id).collect()
}

/// Sends streams one after another, and checks that each is served whole.
async fn assert_streams_served(gateway: &Gateway, caller: &Caller, name: &str) {
    for n in 0..12 {
        let id = format!("{name}-{n}");
        let answer = caller.request(gateway, "/draft/x", &id).await.unwrap();
        assert_eq!((answer.status, answer.complete), (200, true), "{id}");
        assert_eq!(answer.text, stream_text(&id, EVENT_COUNT));
    }
}

/// Guards against streams that are run by a server of another service, as it has the address of a lost server
/// that is still listed.
#[ntex::test]
async fn stream_address_of_plain_server() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let new: Vec<usize> = holders(&site, true)
        .into_iter()
        .skip(1)
        .map(|lost| site.reuse_address(lost, &format!("i-new-{lost}"), DESK, false))
        .collect();
    assert_streams_served(&gateway, &caller, "first").await;
    for server in new {
        assert_eq!(run_ids(&site, server), [""; 0]);
    }
}

/// The same for a lost server that is not the first one of a path.
#[ntex::test]
async fn stream_later_address_of_plain_server() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for lost in holders(&site, false).into_iter().skip(1) {
        site.reuse_address(lost, &format!("i-new-{lost}"), DESK, false);
    }
    assert_streams_served(&gateway, &caller, "later").await;
}

/// Guards against requests of a plain service that are run by a model server, as it has the address of a lost
/// server that is still listed.
#[ntex::test]
async fn request_address_of_model_server() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let lost = PLAIN_SERVERS.start;
    let new = site.reuse_address(lost, "i-new", MODELS, true);
    for n in 0..12 {
        for path in ["/book/x", "/status/x"] {
            let id = format!("plain-{n}{}", path.replace('/', "-"));
            let answer = caller.request(&gateway, path, &id).await.unwrap();
            let runs = site.ledger().runs.get(&id).copied().unwrap_or(0);
            assert_eq!(runs, u32::from(answer.status == 200), "{id}");
            assert!([200, 503].contains(&answer.status), "{id}");
        }
    }
    assert!(
        run_ids(&site, new)
            .iter()
            .all(|id| !id.starts_with("plain"))
    );
}

/// Guards against a server that can't be the first one of a path for good, as it keeps its id and starts again at
/// another address, here that of another server of its service.
#[ntex::test]
async fn stream_servers_move() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for servers in [[0, 1], [2, 3], [4, 5]] {
        site.swap_addresses(servers[0], servers[1]);
    }
    wait_until("a placement", || {
        let mut servers = MODEL_SERVERS;
        servers.all(|i| site.loaded_layers(i).is_some())
    })
    .await;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    assert_streams_served(&gateway, &caller, "moved").await;
}

/// Guards against streams that are refused without end after a power loss of all machines: the rows of the former
/// processes have the addresses of the present servers, are read after theirs and are removed later.
#[ntex::test]
async fn stream_former_rows_removed() {
    let options = SiteOptions::default();
    let site = start_site(options.clone());
    let former = |server| format!("z-former-{server}");
    for server in MODEL_SERVERS {
        let row = format!(
            r#"{{"service":"{MODELS}","address":"{}","zone":"d0","version":"v1","slots":64,"state":"ready",
            "warmup_ms":0,"seq":9,"born":0,"kind":"card","layers":[{{"from":0,"to":4,"version":1}}]}}"#,
            site.addrs()[server]
        );
        site.write_raw_row(&former(server), row.as_bytes());
    }
    let caller = Caller::new().await;
    let gateway = Gateway::start_ready(&site, &caller).await;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    for server in MODEL_SERVERS {
        site.delete_raw_row(&former(server));
    }
    wait_for_paths(&options, &site, &gateway, &caller).await;
    assert_streams_served(&gateway, &caller, "after").await;
}

/// Guards against orders for a lost server that a server of another pool at its address carries out, which may not have
/// the memory; before the row of the new server is listed, and after.
#[ntex::test]
async fn order_address_of_other_pool() {
    for is_listed in [false, true] {
        let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
        let lost = holders(&site, true);
        let new: Vec<usize> = lost[1..]
            .iter()
            .map(|lost| site.reuse_address(*lost, &format!("i-new-{lost}"), "others", true))
            .collect();
        for server in new.iter().filter(|_| !is_listed) {
            site.delete_row(*server);
        }
        assert_streams_served(&gateway, &caller, "pool").await;
        tokio::time::sleep(PROPAGATION_LIMIT).await;
        let placements = site.ledger().placements;
        let foreign = placements.iter().filter(|p| new.contains(&p.0));
        assert_eq!(foreign.count(), 0, "listed: {is_listed}, {placements:?}");
        assert!(new.iter().all(|server| run_ids(&site, *server).is_empty()));
    }
}

/// Guards against a server that restarts under its id and gets no layers, as its row isn't read while the store is
/// silent.
#[ntex::test]
async fn order_restarted_store_silent() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    site.set_store_fault(StoreMode::Silent);
    for server in holders(&site, true) {
        site.restart(server);
    }
    let until = Instant::now() + RELOAD_LIMIT;
    let mut served = false;
    while !served {
        assert!(Instant::now() < until, "streams aren't served again");
        let answer = caller.request(&gateway, "/draft/x", "reload").await;
        served = answer.is_some_and(|a| a.status == 200 && a.complete);
    }
    assert_streams_served(&gateway, &caller, "reloaded").await;
}
