//! Rows of other writers at the addresses and under the ids of servers that go on answering.

use std::time::Duration;

use serde_json::{Value, json};

use mustard_fakes::site::{DESK, MODELS, Site, SiteOptions};
use mustard_tests::site_soak::stream_text;

use super::harness::{Caller, Gateway};
use super::{EVENT_COUNT, start_ready, start_site};

const MODEL_SERVERS: std::ops::Range<usize> = 0..6;
const PLAIN_SERVERS: std::ops::Range<usize> = 6..8;
/// A service that the configuration doesn't name.
const UNKNOWN: &str = "node-agent";
/// Later than the start of any server of the site.
const LATER_START: u64 = 1_900_000_000_000;
/// The time within which answers settle which server is at an address.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// How long rows come and go.
const ROUNDS: usize = 20;
const ROUND_TIME: Duration = Duration::from_millis(100);

/// Returns a whole row of a plain server with the address of a server of the site.
fn row(site: &Site, server: usize, service: &str) -> Value {
    json!({"service": service, "address": site.addrs()[server].to_string(), "zone": "d0", "version": "v1",
        "slots": 64, "state": "ready", "warmup_ms": 0, "seq": 1, "born": LATER_START})
}

/// Returns a whole row of a model server with the address of a server of the site.
fn model_row(site: &Site, server: usize) -> Value {
    let mut row = row(site, server, MODELS);
    row["kind"] = json!("card");
    row["layers"] = Value::Null;
    row
}

fn write(site: &Site, id: &str, row: &Value) {
    site.write_raw_row(id, row.to_string().as_bytes());
}

/// Writes a row beside that of each of some servers, at its address.
fn write_beside(
    site: &Site,
    servers: std::ops::Range<usize>,
    name: &str,
    row: impl Fn(usize) -> Value,
) {
    for server in servers {
        write(site, &format!("{name}-{server}"), &row(server));
    }
}

/// Sends requests of the plain service one after another, and returns how many are served.
async fn count_served(gateway: &Gateway, caller: &Caller, name: &str) -> usize {
    let mut served = 0;
    for n in 0..10 {
        for path in ["/book/x", "/status/x"] {
            let id = format!("{name}-{n}{}", path.replace('/', "-"));
            let answer = caller.request(gateway, path, &id).await;
            served += usize::from(answer.is_some_and(|a| a.status == 200));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    served
}

/// Guards against servers that are out of use for as long as rows of a service that no configuration names have their
/// addresses, and after a restart of the gateway.
#[ntex::test]
async fn request_rows_of_unknown_service() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    write_beside(&site, PLAIN_SERVERS, "agent", |i| row(&site, i, UNKNOWN));
    assert_eq!(count_served(&gateway, &caller, "running").await, 20);
    let gateway = Gateway::start_ready(&site, &caller).await;
    assert_eq!(count_served(&gateway, &caller, "restarted").await, 20);
}

/// Guards against the same by whole rows of services that the configuration names, which only answers refute.
#[ntex::test]
async fn request_rows_of_named_services() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    assert_eq!(count_served(&gateway, &caller, "before").await, 20);
    write_beside(&site, PLAIN_SERVERS, "model", |i| model_row(&site, i));
    assert_eq!(count_served(&gateway, &caller, "model").await, 20);
    let full = |i| {
        let mut row = row(&site, i, DESK);
        row["slots"] = json!(0);
        row
    };
    write_beside(&site, PLAIN_SERVERS, "plain", full);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(count_served(&gateway, &caller, "plain").await, 20);
    // Nothing has been answered by any of them when a gateway starts.
    let gateway = Gateway::start_ready(&site, &caller).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(count_served(&gateway, &caller, "restarted").await, 20);
}

/// Guards against the same by rows that lack a field or have it in another type.
#[ntex::test]
async fn request_rows_incomplete() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    let others = [
        ("version", json!(1)),
        ("slots", json!("64")),
        ("slots", Value::Null),
        ("slots", json!(-1)),
        ("warmup_ms", json!("0")),
        ("warmup_ms", json!(-1)),
        ("seq", json!("1")),
        ("seq", json!(0.5)),
        ("born", json!("1")),
        ("zone", json!(1)),
        ("kind", json!(1)),
        ("kind", json!("card")),
        ("layers", json!("all")),
    ];
    let missing = ["version", "slots", "warmup_ms", "seq", "born", "zone"];
    let missing = missing.map(|field| (field, None));
    let changes = others
        .into_iter()
        .map(|(field, value)| (field, Some(value)));
    for (n, (field, value)) in changes.chain(missing).enumerate() {
        let incomplete = |i| {
            let mut row = row(&site, i, DESK);
            match &value {
                Some(value) => row[field] = value.clone(),
                None => drop(row.as_object_mut().unwrap().remove(field)),
            }
            row
        };
        write_beside(&site, PLAIN_SERVERS, "incomplete", incomplete);
        let name = format!("incomplete-{n}");
        let served = count_served(&gateway, &caller, &name).await;
        assert_eq!(served, 20, "{field}: {value:?}");
    }
}

/// Guards against rows of others under the ids of servers: a service that isn't named, another service, which would
/// be given requests that aren't its own, a place where nobody answers, and bytes that aren't a row.
#[ntex::test]
async fn request_rows_under_own_ids() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    assert_eq!(count_served(&gateway, &caller, "before").await, 20);
    let own = |i: usize, field: &str, value: Value| {
        let mut row = row(&site, i, DESK);
        row["born"] = json!(1);
        row[field] = value;
        row
    };
    let changes = [
        ("service", json!(UNKNOWN)),
        ("service", json!(MODELS)),
        ("address", json!("127.0.0.9:9")),
        ("born", json!("soon")),
        ("state", json!("asleep")),
    ];
    for (n, (field, value)) in changes.into_iter().enumerate() {
        for i in PLAIN_SERVERS {
            write(&site, &format!("i-{i:04}"), &own(i, field, value.clone()));
        }
        let name = format!("own-{n}");
        let served = count_served(&gateway, &caller, &name).await;
        assert_eq!(served, 20, "{field}: {value}");
        let stream = caller.request(&gateway, "/draft/x", &name).await.unwrap();
        assert_eq!((stream.status, stream.complete), (200, true), "{field}");
        // The server writes its own row again.
        PLAIN_SERVERS.for_each(|i| site.list_again(i));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let ran = site.ledger().requests;
    let is_misplaced = |r: &&mustard_fakes::site::ReceivedRequest| {
        PLAIN_SERVERS.contains(&r.server) && r.id.starts_with("own-") && r.id.len() == 5
    };
    assert_eq!(ran.iter().filter(is_misplaced).count(), 0, "streams");
}

/// Guards against a booking that is refused as the first server that it is sent to, by the word of a row, is another
/// one: nothing has answered yet when a gateway starts beside such rows.
#[ntex::test]
async fn request_first_beside_rows() {
    let site = start_site(SiteOptions::default());
    write_beside(&site, PLAIN_SERVERS, "other", |i| row(&site, i, DESK));
    let caller = Caller::new().await;
    for n in 0..4 {
        let gateway = Gateway::start_ready(&site, &caller).await;
        let id = format!("first-{n}");
        let answer = caller.request(&gateway, "/book/x", &id).await.unwrap();
        assert_eq!(answer.status, 200, "{id}");
    }
}

/// Guards against servers that are out of use whenever a row comes or goes, and against questions to servers without
/// end: several rows name one address, and each comes and goes many times.
#[ntex::test]
async fn request_rows_come_and_go() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for round in 0..ROUNDS {
        for (name, service) in [("one", DESK), ("two", DESK), ("three", UNKNOWN)] {
            write_beside(&site, PLAIN_SERVERS, name, |i| row(&site, i, service));
        }
        tokio::time::sleep(ROUND_TIME / 2).await;
        let id = format!("round-{round}");
        let answer = caller.request(&gateway, "/book/x", &id).await.unwrap();
        assert_eq!(answer.status, 200, "{id}");
        for name in ["one", "two", "three"] {
            PLAIN_SERVERS.for_each(|i| site.delete_raw_row(&format!("{name}-{i}")));
        }
        tokio::time::sleep(ROUND_TIME / 2).await;
    }
    let checks = site.ledger().health_checks;
    let most = 2 * PLAIN_SERVERS.len() * (ROUNDS * 100 / 1_000 + 2);
    assert!(checks <= most, "{checks} health checks, {most} allowed");
}

/// Guards against paths and layers that are lost as rows of others have the addresses of model servers.
#[ntex::test]
async fn stream_rows_of_other_writer() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    write_beside(&site, MODEL_SERVERS, "agent", |i| row(&site, i, UNKNOWN));
    write_beside(&site, MODEL_SERVERS, "plain", |i| row(&site, i, DESK));
    write_beside(&site, MODEL_SERVERS, "model", |i| model_row(&site, i));
    for n in 0..12 {
        let id = format!("stream-{n}");
        let answer = caller.request(&gateway, "/draft/x", &id).await.unwrap();
        assert_eq!((answer.status, answer.complete), (200, true), "{id}");
        assert_eq!(answer.text, stream_text(&id, EVENT_COUNT));
    }
}
