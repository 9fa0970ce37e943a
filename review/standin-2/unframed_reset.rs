//! A server answers a long request early, without a length, and its connection is reset in the middle of the answer.

use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

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
const REQUESTS: usize = 10;

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
    let log = record.clone();
    let ran = Arc::new(Mutex::new(0));
    let runs = Arc::clone(&ran);
    start_server(&store, "i-1", 1_700_000_000_000, move |received| {
        *runs.lock().unwrap() += 1;
        answer(received, trouble, &log);
    });
    let gateway = Gateway::start(&store, "front-1")?;
    settle();
    let mut wrong = 0;
    let mut whole = 0;
    for i in 0..REQUESTS {
        let id = format!("{i:016x}");
        match book(&gateway, &id) {
            Ok((status, length, complete)) => {
                record.line(format!(
                    "request {id}: status {status}, {length} of {ANSWER_BYTES} bytes, the answer {} complete",
                    if complete { "looks" } else { "doesn't look" }
                ));
                if status == 200 && complete && length < ANSWER_BYTES {
                    wrong += 1;
                }
                if status == 200 && complete && length == ANSWER_BYTES {
                    whole += 1;
                }
            }
            Err(e) => record.line(format!("request {id}: no answer: {e}")),
        }
    }
    let runs = *ran.lock().unwrap();
    record.line(format!("{REQUESTS} requests, {runs} runs, {whole} whole answers, {wrong} answers cut short that look complete"));
    if runs == 0 || (!trouble && whole < REQUESTS) {
        return Err("the requests weren't served without the disruption".to_owned());
    }
    Ok(if wrong > 0 {
        Verdict::Broken(format!(
            "MIXED: {wrong} of {REQUESTS} successes without the server's whole body"
        ))
    } else {
        Verdict::Held("each success had the server's whole body".to_owned())
    })
}

/// Answers before the long body is read.
fn answer(received: Received, trouble: bool, record: &Record) {
    let Received {
        head,
        mut conn,
        server,
    } = received;
    let length = head.length().unwrap_or(0);
    let body = vec![b'a'; ANSWER_BYTES];
    let start = answer_head(
        200,
        &head,
        &server,
        "Content-Type: text/plain\r\nConnection: close\r\n",
    );
    let _ = conn.send(start.as_bytes());
    let _ = conn.send(&body[..SENT_BYTES]);
    thread::sleep(Duration::from_millis(200));
    if trouble {
        record.line(format!(
            "server {server} resets the connection after {SENT_BYTES} bytes of its answer"
        ));
        // Closing a connection with unread bytes resets it, as the end of the process would.
        return;
    }
    let _ = conn.send(&body[SENT_BYTES..]);
    let _ = conn.stream.flush();
    // It reads on, so that closing doesn't reset the connection.
    let got = conn.read_up_to(length).0.len();
    record.line(format!(
        "server {server} read {got} bytes and ended its answer"
    ));
    let _ = conn.stream.shutdown(Shutdown::Write);
    thread::sleep(Duration::from_millis(100));
}

/// Returns the status, the bytes of the body, and whether the answer ended as its head says.
fn book(gateway: &Gateway, id: &str) -> std::io::Result<(u16, usize, bool)> {
    let mut conn = Conn::connect(gateway.front)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    conn.send(request_head("POST", "/book/1", id, 5000, REQUEST_BYTES).as_bytes())?;
    let body = vec![b'x'; REQUEST_BYTES];
    conn.send(&body)?;
    let head = conn.read_head()?;
    let length = head.length().unwrap_or(0);
    let (body, ended) = conn.read_up_to(length);
    Ok((
        head.status(),
        body.len(),
        ended.is_ok() && body.len() == length,
    ))
}
