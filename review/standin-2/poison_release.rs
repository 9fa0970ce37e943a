//! The servers of a service are replaced one after the other, and a read that their former software served crashes
//! each server with the new one that begins to run it.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::crashing::{Seen, Server, read};
use crate::poison_query::read_list;
use crate::site::{DESK, Gateway, Record, Route, Verdict, put_config, settle};
use crate::store::Store;

const SERVERS: usize = 3;
const CONTACT: Duration = Duration::from_millis(3_000);
/// The pause between two releases of one server each.
const GAP: Duration = Duration::from_millis(1_000);
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
const READS_BEFORE: usize = 5;
/// How long reads are sent after the last server with the former software has left.
const LENGTH_AFTER: Duration = Duration::from_secs(45);
/// How long another requester sends sound reads.
const LENGTH_READER: Duration = Duration::from_secs(50);
const REPORT: &str = "/read/report";

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
    let mut former = Vec::new();
    for number in 1..=SERVERS {
        former.push(Server::start(number, ("v1", None), &store, record, &seen)?);
    }
    let gateway = Gateway::start(&store, "front-1")?;
    settle();
    let mut sent = 0;
    let mut send = || {
        let id = format!("{sent:016x}");
        sent += 1;
        let (status, _) = read(gateway.front, REPORT, &id);
        record.line(format!("read {id} of {REPORT}: status {status}"));
        thread::sleep(READ_INTERVAL);
        status
    };
    for _ in 0..READS_BEFORE {
        if send() != 200 {
            return Err("the read wasn't served before the release".to_owned());
        }
    }
    // Another requester reads something else, which no server crashes on.
    let front = gateway.front;
    let until = Instant::now() + LENGTH_READER;
    let reader = thread::spawn(move || read_list(front, 1, until));
    let (store_2, record_2, seen_2) = (store.clone(), record.clone(), Arc::clone(&seen));
    let release = thread::spawn(move || -> Result<(), String> {
        for (i, server) in former.iter().enumerate().filter(|_| trouble) {
            let number = SERVERS + 1 + i;
            Server::start(number, ("v2", Some(REPORT)), &store_2, &record_2, &seen_2)?;
            server.leave();
            thread::sleep(GAP);
        }
        Ok(())
    });
    while !release.is_finished() {
        send();
    }
    release.join().map_err(|_| "the release failed")??;
    let released = Instant::now();
    record.line("all servers run the new software");
    while released.elapsed() < LENGTH_AFTER {
        send();
    }
    let statuses = reader.join().unwrap_or_default();
    record.line(format!(
        "sound reads of another requester by status (0: no answer): {statuses:?}"
    ));
    let seen = seen.lock().unwrap();
    record.line(format!(
        "{sent} reads, {} crashes, {} arrivals at servers that they crash",
        seen.crashes.len(),
        seen.arrivals.len()
    ));
    // Only crashes after the last server with the former software has left are counted.
    let third = seen.crashes.iter().filter(|at| **at > released).nth(2);
    let Some(third) = third else {
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
