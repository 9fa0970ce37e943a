//! The store comes back from an older copy: what was written since is gone, and its revisions are
//! given out again.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use mustard_fakes::site::{API_KEY, Site, SiteOptions, StoreMode};

use super::harness::{Caller, Gateway, new_port, wait_until};
use super::{PROPAGATION_LIMIT, start_ready, start_site, wait_for_paths};

/// The time within which a configuration must be in force after the store is back: the platform's
/// bound for a change, and what a gateway has to connect again.
const CONFIG_LIMIT: Duration = Duration::from_secs(3);
/// Longer than a gateway waits for changes in one call, so that it has seen the newest revision.
const FEED_TIME: Duration = Duration::from_millis(2_700);
const OTHER_KEY: &str = "another";

/// Writes rows that no reader uses, so that the store's revision rises.
fn raise_revision(site: &Site, name: &str, count: usize) {
    for i in 0..count {
        site.write_raw_row(&format!("{name}-{i}"), b"{}");
    }
}

/// Returns the status of a booking with the API key that the newest configuration may have removed.
async fn book(caller: &Caller, gateway: &Gateway, id: &str) -> u16 {
    let answer = caller.request(gateway, "/book/x", id).await;
    answer.map_or(0, |a| a.status)
}

async fn assert_refused_soon(caller: &Caller, gateway: &Gateway) {
    let until = Instant::now() + CONFIG_LIMIT;
    while book(caller, gateway, "removed").await != 401 {
        assert!(
            Instant::now() < until,
            "the configuration isn't in force {CONFIG_LIMIT:?} after the store is back"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a change that is never seen: the restored store has given out the followed
/// revision again when the gateway asks for changes, and the configuration lies below it.
#[ntex::test]
async fn follow_restored_store_passes_revision() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let copied = Instant::now();
    raise_revision(&site, "lost", 20);
    tokio::time::sleep(FEED_TIME).await;
    let followed = site.store_revision();
    site.set_store_fault(StoreMode::ResetsConnections);
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.restore_store(copied.elapsed());
    site.write_config(5, &[OTHER_KEY]);
    raise_revision(&site, "again", 30);
    assert!(site.store_revision() > followed);
    site.set_store_fault(StoreMode::Healthy);
    assert_refused_soon(&caller, &gateway).await;
}

/// Guards against a version number that is given out again and taken for the lost version.
#[ntex::test]
async fn follow_version_given_out_again() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let copied = Instant::now();
    site.write_config(5, &[API_KEY, OTHER_KEY]);
    tokio::time::sleep(FEED_TIME).await;
    site.restore_store(copied.elapsed());
    site.write_config(5, &[OTHER_KEY]);
    assert_refused_soon(&caller, &gateway).await;
}

/// Guards against a return to the copy's configuration: until the operator has written the lost one
/// again, the gateway keeps it, and a gateway that starts meanwhile gets it from its peer.
#[ntex::test]
async fn follow_copy_has_older_config() {
    let site = start_site(SiteOptions::default());
    let caller = Caller::new().await;
    let ips = [Ipv4Addr::LOCALHOST, Ipv4Addr::new(127, 0, 0, 2)];
    let peer_port = new_port();
    let one = Gateway::start(&site, ips[0], peer_port, &ips);
    one.wait_ready(&caller).await;
    wait_for_paths(&SiteOptions::default(), &site, &one, &caller).await;
    let copied = Instant::now();
    site.write_config(5, &[OTHER_KEY]);
    assert_refused_soon(&caller, &one).await;
    site.restore_store(copied.elapsed());
    let two = Gateway::start(&site, ips[1], peer_port, &ips);
    two.wait_ready(&caller).await;
    let until = Instant::now() + CONFIG_LIMIT;
    while Instant::now() < until {
        assert_eq!(book(&caller, &one, "kept").await, 401);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(book(&caller, &two, "joined").await, 401);
    site.write_rows_again();
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    assert_eq!(book(&caller, &one, "again").await, 401);
    assert_eq!(book(&caller, &two, "again").await, 401);
}

/// Guards against a second restoration, which a process that handled the first one may miss: the
/// store goes back three times, by different ages, with a change after each.
#[ntex::test]
async fn follow_restored_three_times() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let copied = Instant::now();
    for (version, keys) in [(5, [OTHER_KEY]), (7, [API_KEY]), (11, [OTHER_KEY])] {
        raise_revision(&site, "lost", 20);
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.restore_store(copied.elapsed());
        raise_revision(&site, "early", 12);
        site.write_config(version, &keys);
        raise_revision(&site, "again", 40);
        let expected = if keys == [API_KEY] { 200 } else { 401 };
        let until = Instant::now() + CONFIG_LIMIT;
        while book(&caller, &gateway, &format!("three-{version}")).await != expected {
            assert!(Instant::now() < until, "version {version} isn't in force");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against own rows that stay lost: a gateway writes its address again.
#[ntex::test]
async fn write_own_row_again() {
    let site = start_site(SiteOptions::default());
    let caller = Caller::new().await;
    let copied = Instant::now();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let gateway = Gateway::start(&site, Ipv4Addr::LOCALHOST, new_port(), &[]);
    gateway.wait_ready(&caller).await;
    let has_row = || {
        let keys = site.row_keys("mustardfield");
        keys.iter().any(|k| k.starts_with("gateway/"))
    };
    wait_until("the gateway's row", has_row).await;
    site.restore_store(copied.elapsed());
    site.write_rows_again();
    assert!(!has_row());
    let until = Instant::now() + CONFIG_LIMIT;
    while !has_row() {
        assert!(Instant::now() < until, "the row isn't written again");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a server that left and whose row the copy brings back as ready.
#[ntex::test]
async fn list_copy_has_left_server() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let copied = Instant::now();
    tokio::time::sleep(Duration::from_millis(50)).await;
    site.drain(6);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.delete_row(6);
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    site.restore_store(copied.elapsed());
    site.write_rows_again();
    let restored = Instant::now();
    // Until the store removes the row of a server that is silent for three heartbeats.
    while restored.elapsed() < Duration::from_secs(3) {
        assert_eq!(book(&caller, &gateway, "left").await, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let arrivals = site.ledger().arrivals;
    let late = arrivals.iter().filter(|a| a.server == 6 && a.at > restored);
    assert_eq!(late.count(), 0, "requests reached a server that had left");
}

/// Guards against losing a server for good that had left the list and whose row is written anew
/// after the restoration.
#[ntex::test]
async fn list_removed_server_returns() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let copied = Instant::now();
    tokio::time::sleep(Duration::from_millis(50)).await;
    site.delete_row(6);
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    site.restore_store(copied.elapsed());
    site.write_rows_again();
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.restart(6);
    site.list_again(6);
    let until = Instant::now() + Duration::from_secs(3);
    let back = Instant::now();
    let is_used = || {
        let arrivals = site.ledger().arrivals;
        arrivals.iter().any(|a| a.server == 6 && a.at > back)
    };
    while !is_used() {
        book(&caller, &gateway, "returned").await;
        assert!(Instant::now() < until, "the server isn't used again");
    }
}
