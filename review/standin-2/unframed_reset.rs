//! Servers answer long requests early, without a length, and one of them loses a few of these connections by a reset in the
//! middle of the answer.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::Conn;
use crate::site::{
    Gateway, Received, Record, Route, Verdict, answer_head, put_config, request_head, settle,
    start_server,
};
use crate::store::Store;

/// Below the configuration's limit of 4 MiB.
const REQUEST_BYTES: usize = 4_000_000;
const ANSWER_BYTES: usize = 20_000;
const SENT_BYTES: usize = 8_000;
const SERVERS: usize = 3;
const REQUESTERS: usize = 3;
/// The server that loses answers loses one of so many.
const LOSES_ONE_OF: usize = 20;
/// When it loses answers, counted from the first request on, and for how long requests are sent.
const TROUBLE_FROM: Duration = Duration::from_secs(1);
const TROUBLE_TO: Duration = Duration::from_secs(6);
const LENGTH: Duration = Duration::from_secs(8);

/// What the servers did.
#[derive(Default)]
struct Seen {
    /// When the first request came.
    began: Option<Instant>,
    runs: usize,
    /// The answers of the faulty server during the trouble, and the ids of those that it lost.
    faulty_runs: usize,
    lost: Vec<String>,
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start();
    put_config(
        &store,
        1,
        &[Route {
            prefix: "/book/",
            kind: "non_idempotent",
            service: "desk",
            timeout_ms: 5000,
            max_attempts: 1,
            resumable: false,
        }],
    );
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for number in 1..=SERVERS {
        let (seen, record) = (Arc::clone(&seen), record.clone());
        let is_faulty = trouble && number == 1;
        let id = format!("i-{number}");
        start_server(&store, &id, 1_700_000_000_000, move |received| {
            let loses = decide(&seen, &received, is_faulty);
            answer(received, loses, &record);
        });
    }
    let gateway = Gateway::start(&store, "front-1")?;
    settle();
    let front = gateway.front;
    let until = Instant::now() + LENGTH;
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|r| {
            let (record, seen) = (record.clone(), Arc::clone(&seen));
            thread::spawn(move || book_all(front, r, until, &seen, &record))
        })
        .collect();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for requester in requesters {
        for (outcome, count) in requester.join().unwrap_or_default() {
            *outcomes.entry(outcome).or_default() += count;
        }
    }
    let seen = seen.lock().unwrap();
    record.line(format!(
        "{} runs; the faulty server lost {} of {} answers in its time; outcomes: {outcomes:?}",
        seen.runs,
        seen.lost.len(),
        seen.faulty_runs
    ));
    let count = |name: &str| outcomes.get(name).copied().unwrap_or(0);
    if count(WHOLE) < 20 || (trouble && seen.lost.is_empty()) {
        return Err("too few requests were served, or no answer was lost".to_owned());
    }
    Ok(if count(CUT) > 0 {
        Verdict::Broken(format!(
            "MIXED: {} successes without the server's whole body",
            count(CUT)
        ))
    } else {
        Verdict::Held("each success had the server's whole body".to_owned())
    })
}

/// The outcomes of a request.
const WHOLE: &str = "200 with the whole body";
const CUT: &str = "200 that looks complete, without the whole body";

/// Returns whether the connection of this request is to be lost.
fn decide(seen: &Mutex<Seen>, received: &Received, is_faulty: bool) -> bool {
    let mut seen = seen.lock().unwrap();
    let now = Instant::now();
    let began = *seen.began.get_or_insert(now);
    seen.runs += 1;
    let at = now - began;
    if !is_faulty || at < TROUBLE_FROM || at >= TROUBLE_TO {
        return false;
    }
    seen.faulty_runs += 1;
    let loses = seen.faulty_runs % LOSES_ONE_OF == 0;
    if loses {
        let id = received.head.get("attempt-id").unwrap_or("").to_owned();
        seen.lost.push(id);
    }
    loses
}

/// Answers before the long body is read.
fn answer(received: Received, loses: bool, record: &Record) {
    let Received {
        head,
        mut conn,
        server,
    } = received;
    let length = head.length().unwrap_or(0);
    let body = vec![b'a'; ANSWER_BYTES];
    let rest = "Content-Type: text/plain\r\nConnection: close\r\n";
    let _ = conn.send(answer_head(200, &head, &server, rest).as_bytes());
    let _ = conn.send(&body[..SENT_BYTES]);
    thread::sleep(Duration::from_millis(20));
    if loses {
        let id = head.get("attempt-id").unwrap_or("");
        record.line(format!(
            "server {server} resets the connection of {id} after {SENT_BYTES} bytes of its answer"
        ));
        // Closing a connection with unread bytes resets it, as the end of the process would.
        return;
    }
    let _ = conn.send(&body[SENT_BYTES..]);
    // It reads on, so that closing doesn't reset the connection.
    let _ = conn.read_up_to(length);
    let _ = conn.stream.shutdown(Shutdown::Write);
    // The gateway closes the connection.
    let _ = conn.fill(1);
}

/// Books until a time, and counts the outcomes; records those of requests whose answers were lost.
fn book_all(
    front: SocketAddr,
    requester: usize,
    until: Instant,
    seen: &Mutex<Seen>,
    record: &Record,
) -> BTreeMap<String, usize> {
    let body = vec![b'x'; REQUEST_BYTES];
    let mut outcomes = BTreeMap::new();
    let mut number = 0;
    while Instant::now() < until {
        let id = format!("{requester:04x}{number:012x}");
        number += 1;
        let outcome = match book(front, &id, &body) {
            Ok((200, ANSWER_BYTES, true)) => WHOLE.to_owned(),
            Ok((200, length, true)) => {
                record.line(format!(
                    "request {id}: status 200, {length} of {ANSWER_BYTES} bytes, looks complete"
                ));
                CUT.to_owned()
            }
            Ok((status, _, true)) => format!("status {status}"),
            Ok((status, _, false)) => format!("status {status}, cut off"),
            Err(e) => format!("no answer: {e}"),
        };
        if outcome != CUT && seen.lock().unwrap().lost.contains(&id) {
            record.line(format!("request {id}: {outcome}"));
        }
        *outcomes.entry(outcome).or_default() += 1;
    }
    outcomes
}

/// Returns the status, the bytes of the body, and whether the answer ended as its head says.
fn book(front: SocketAddr, id: &str, body: &[u8]) -> std::io::Result<(u16, usize, bool)> {
    let mut conn = Conn::connect(front)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    conn.send(request_head("POST", "/book/1", id, 5000, body.len()).as_bytes())?;
    conn.send(body)?;
    let head = conn.read_head()?;
    let length = head.length().unwrap_or(0);
    let (body, ended) = conn.read_up_to(length);
    Ok((
        head.status(),
        body.len(),
        ended.is_ok() && body.len() == length,
    ))
}
