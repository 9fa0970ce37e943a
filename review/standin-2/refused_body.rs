//! A key is taken away from a requester, which goes on sending long requests on its kept channel. The text that it
//! uploads contains HTTP requests.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net::Conn;
use crate::site::{
    Gateway, KEY, OTHER_KEY, Received, Record, Route, Verdict, answer_head, put_config,
    request_head, request_head_with, revoke_other, settle, start_server,
};
use crate::store::Store;

/// The id that only the uploaded text contains; no requester sends a request with it.
const INNER_ID: &str = "5555555555555555";
/// The size of the uploaded text, far below the limit of 4 MiB.
const BODY_BYTES: usize = 3_600;
/// The pause between two records of the text, each of which is written by itself.
const RECORD_PAUSE: Duration = Duration::from_millis(10);
const ROUNDS: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start();
    let routes = [Route {
        prefix: "/book/",
        kind: "non_idempotent",
        service: "desk",
        timeout_ms: 5000,
        max_attempts: 1,
        resumable: false,
    }];
    put_config(&store, 1, &routes);
    // The ids of the requests that ran, and the size of their bodies.
    let ran: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    for server in ["i-1", "i-2"] {
        let (ran, record) = (Arc::clone(&ran), record.clone());
        start_server(&store, server, 1_700_000_000_000, move |received| {
            let (id, size) = answer(received, &record);
            ran.lock().unwrap().push((id, size));
        });
    }
    let gateway = Gateway::start(&store, "front-1")?;
    settle();
    let mut conn = Conn::connect(gateway.front).map_err(|e| e.to_string())?;
    let text = uploaded_records();
    let served = upload(&mut conn, &text, "0000000000000000", record);
    if served != Some(200) {
        return Err(format!(
            "the requester wasn't served while its key was there: {served:?}"
        ));
    }
    if trouble {
        record.line("the operator takes the requester's key away");
        revoke_other(&store, 2, &routes);
        // Longer than config_ms, within which the change has to be in force.
        thread::sleep(Duration::from_millis(2_500));
    }
    let mut next_answers = Vec::new();
    for i in 1..=ROUNDS {
        let id = format!("{i:016x}");
        let Some(status) = upload(&mut conn, &text, &id, record) else {
            conn = Conn::connect(gateway.front).map_err(|e| e.to_string())?;
            continue;
        };
        // The requester goes on with a request of another tenant's key, which is still there.
        let id = format!("a{i:015x}");
        let sent = conn.send(request_head("POST", "/book/next", &id, 5000, 0).as_bytes());
        let answer = sent.and_then(|()| conn.read_head());
        match answer {
            Ok(head) => {
                let (body, _) = conn.read_up_to(head.length().unwrap_or(0));
                let echoed = head.get("attempt-id").unwrap_or("none").to_owned();
                record.line(format!(
                    "request {id}: status {}, the answer's Attempt-Id is {echoed}, {} bytes",
                    head.status(),
                    body.len()
                ));
                next_answers.push((id, echoed, head.status()));
            }
            Err(e) => record.line(format!("request {id}: no answer: {e}")),
        }
        if status != 200
            || next_answers
                .last()
                .is_some_and(|(id, echoed, _)| id != echoed)
        {
            conn = Conn::connect(gateway.front).map_err(|e| e.to_string())?;
        }
    }
    let ran = ran.lock().unwrap();
    let smuggled = ran.iter().filter(|(id, _)| id == INNER_ID).count();
    let foreign = next_answers
        .iter()
        .filter(|(id, echoed, _)| id != echoed)
        .count();
    record.line(format!(
        "{} runs, {smuggled} of them with the id {INNER_ID}, which no requester sent; {foreign} answers that belong to another request",
        ran.len()
    ));
    if smuggled + foreign == 0 {
        return Ok(Verdict::Held(
            "servers ran only what requesters sent".to_owned(),
        ));
    }
    if !trouble {
        return Err("a request was taken out of a body without the disruption".to_owned());
    }
    Ok(Verdict::Broken(format!(
        "UNASKED: {smuggled} requests ran that were inside another request's body; MIXED: {foreign} answers of another request"
    )))
}

/// Returns a log of HTTP requests, as one might upload it record by record.
fn uploaded_records() -> Vec<String> {
    let inner = request_head_with("POST", "/book/inner", INNER_ID, 5000, 0, KEY);
    vec![inner.clone(); BODY_BYTES / inner.len()]
}

/// Uploads the text with the key that is taken away; returns the status of the answer.
fn upload(conn: &mut Conn, text: &[String], id: &str, record: &Record) -> Option<u16> {
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(6)));
    let head = request_head_with(
        "POST",
        "/book/text",
        id,
        5000,
        text.concat().len(),
        OTHER_KEY,
    );
    if let Err(e) = conn.send(head.as_bytes()) {
        record.line(format!("request {id}: not sent: {e}"));
        return None;
    }
    for piece in text {
        if let Err(e) = conn.send(piece.as_bytes()) {
            record.line(format!(
                "request {id}: the channel was closed while it was sent: {e}"
            ));
            break;
        }
        thread::sleep(RECORD_PAUSE);
    }
    match conn.read_head() {
        Ok(head) => {
            let _ = conn.read_up_to(head.length().unwrap_or(0));
            let echoed = head.get("attempt-id").unwrap_or("none");
            record.line(format!(
                "request {id}: status {}, the answer's Attempt-Id is {echoed}",
                head.status()
            ));
            Some(head.status())
        }
        Err(e) => {
            record.line(format!("request {id}: no answer: {e}"));
            None
        }
    }
}

fn answer(received: Received, record: &Record) -> (String, usize) {
    let Received {
        head,
        mut conn,
        server,
    } = received;
    let body = conn.read_up_to(head.length().unwrap_or(0)).0.len();
    let id = head.get("attempt-id").unwrap_or("").to_owned();
    record.line(format!(
        "server {server} runs {} with id {id}, tenant {}, {body} bytes",
        head.first,
        head.get("tenant").unwrap_or("none")
    ));
    let rest = "Content-Length: 2\r\nConnection: close\r\n";
    let _ = conn.send(answer_head(200, &head, &server, rest).as_bytes());
    let _ = conn.send(b"ok");
    (id, body)
}
