//! One of many reads of a list crashes each server that begins to run it; the others differ from it in their query
//! only and are sound.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::crashing::{Seen, Server, read};
use crate::site::{DESK, Gateway, Record, Route, Verdict, put_config, settle};
use crate::store::Store;

const SERVERS: usize = 3;
const CONTACT: Duration = Duration::from_millis(3_000);
const LENGTH: Duration = Duration::from_secs(40);
/// The interval of the reads that crash servers, and of each requester's sound reads.
const POISON_INTERVAL: Duration = Duration::from_millis(1_000);
const READ_INTERVAL: Duration = Duration::from_millis(200);
const READERS: usize = 4;
const POISON: &str = "poison";

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start();
    put_config(
        &store,
        1,
        &[Route {
            prefix: "/read/",
            kind: "idempotent",
            service: DESK,
            timeout_ms: 1500,
            max_attempts: 2,
            resumable: false,
        }],
    );
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for number in 1..=SERVERS {
        Server::start(number, ("v1", Some(POISON)), &store, record, &seen)?;
    }
    // The poison read has the path of the sound ones; with `APART=1` it has one of its own, for comparison.
    let is_apart = std::env::var("APART").is_ok_and(|v| v == "1");
    let poison = if is_apart {
        format!("/read/other?id={POISON}")
    } else {
        format!("/read/list?id={POISON}")
    };
    let gateway = Gateway::start(&store, "front-1")?;
    settle();
    let front = gateway.front;
    let until = Instant::now() + LENGTH;
    let readers: Vec<_> = (0..READERS)
        .map(|r| thread::spawn(move || read_list(front, r, until)))
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut sent = 0;
    while trouble && Instant::now() < until {
        let id = format!("f{sent:015x}");
        let (status, _) = read(front, &poison, &id);
        record.line(format!("read {id} of {poison}: status {status}"));
        sent += 1;
        thread::sleep(POISON_INTERVAL);
    }
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for reader in readers {
        for (status, count) in reader.join().unwrap_or_default() {
            *statuses.entry(status).or_default() += count;
        }
    }
    record.line(format!(
        "sound reads by status (0: no answer): {statuses:?}; {sent} reads that crash servers"
    ));
    let seen = seen.lock().unwrap();
    record.line(format!(
        "{} crashes, {} arrivals of such reads",
        seen.crashes.len(),
        seen.arrivals.len()
    ));
    if statuses.get(&200).is_none_or(|count| *count < 100) {
        return Err("the sound reads weren't served".to_owned());
    }
    let Some(third) = seen.crashes.get(2) else {
        return Ok(Verdict::Held("no three servers crashed".to_owned()));
    };
    let late = seen
        .arrivals
        .iter()
        .filter(|(at, _)| *at > *third + CONTACT);
    let mut ids: Vec<&String> = late.map(|(_, id)| id).collect();
    let late = ids.len();
    ids.dedup();
    let text = format!(
        "{late} arrivals in {} retries later than contact_ms after the third crash",
        ids.len()
    );
    Ok(if ids.len() > 3 {
        Verdict::Broken(format!("BUDGET: {text}"))
    } else {
        Verdict::Held(text)
    })
}

/// Reads pages of the list until a time, and counts the statuses.
pub fn read_list(front: SocketAddr, reader: usize, until: Instant) -> BTreeMap<u16, usize> {
    let mut statuses = BTreeMap::new();
    let mut page = 0;
    while Instant::now() < until {
        let id = format!("{reader:04x}{page:012x}");
        let (status, _) = read(front, &format!("/read/list?id={}", page % 9), &id);
        *statuses.entry(status).or_default() += 1;
        page += 1;
        thread::sleep(READ_INTERVAL);
    }
    statuses
}
