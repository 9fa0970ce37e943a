//! A gateway gets SIGTERM while requesters are still receiving large answers.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::Conn;
use crate::site::{
    Gateway, Received, Record, Route, SIGTERM, Verdict, answer_head, put_config, request_head,
    settle, start_server,
};
use crate::store::Store;

const ANSWER_BYTES: usize = 1_500_000;
/// A requester takes so many bytes each 50 ms, which is 2.6 Mbit/s, and its system holds little more.
const PIECE_BYTES: usize = 16_000;
const RECEIVE_BUFFER: i32 = 64 * 1024;
const REQUESTERS: usize = 6;
/// When the requests are sent after the SIGTERM; the platform may still pass on channels then.
const SENT_AFTER: Duration = Duration::from_millis(1_000);
const GRACE: Duration = Duration::from_secs(8);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start();
    put_config(
        &store,
        1,
        &[Route {
            prefix: "/book/",
            kind: "non_idempotent",
            service: "desk",
            timeout_ms: 10_000,
            max_attempts: 1,
            resumable: false,
        }],
    );
    let answered = Arc::new(Mutex::new(Vec::new()));
    for server in ["i-1", "i-2"] {
        let answered = Arc::clone(&answered);
        start_server(&store, server, 1_700_000_000_000, move |received| {
            answer(received);
            answered.lock().unwrap().push(Instant::now());
        });
    }
    let mut gateway = Gateway::start(&store, "front-1")?;
    settle();
    // Each requester has a kept channel, on which it was served before.
    let mut channels = Vec::new();
    for _ in 0..REQUESTERS {
        let conn = Conn::connect(gateway.front).map_err(|e| e.to_string())?;
        conn.limit_receive_buffer(RECEIVE_BUFFER);
        channels.push(conn);
    }
    for (i, conn) in channels.iter_mut().enumerate() {
        let id = format!("a{i:015x}");
        let warm = exchange(conn, "/book/small", &id, Duration::ZERO);
        if !matches!(warm, Ok((200, got, want)) if got == want) {
            return Err(format!("request {id} wasn't served: {warm:?}"));
        }
    }
    let stopped = Instant::now();
    if trouble {
        record.line("SIGTERM");
        gateway.signal(SIGTERM);
    }
    thread::sleep(SENT_AFTER);
    record.line(format!("{REQUESTERS} requests are sent on kept channels"));
    let threads: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(i, mut conn)| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("b{i:015x}");
                let result = exchange(&mut conn, "/book/large", &id, Duration::from_millis(50));
                let at = stopped.elapsed().as_secs_f64();
                record.line(match &result {
                    Ok((status, got, want)) => format!(
                        "request {id}: status {status}, {got} of {want} bytes, the channel ended or the answer was whole at {at:.2} s"
                    ),
                    Err(e) => format!("request {id}: the channel ended without an answer: {e}"),
                });
                matches!(result, Ok((_, got, want)) if got == want)
            })
        })
        .collect();
    let exit = trouble
        .then(|| gateway.wait(GRACE + Duration::from_secs(2)))
        .flatten();
    let exited = stopped.elapsed();
    let whole = threads
        .into_iter()
        .filter_map(|t| t.join().ok())
        .filter(|w| *w)
        .count();
    if trouble {
        record.line(format!(
            "the gateway exited after {:.2} s with {exit:?}",
            exited.as_secs_f64()
        ));
    }
    if let Some(last) = answered.lock().unwrap().iter().max() {
        let at = last.saturating_duration_since(stopped);
        record.line(format!(
            "the servers had given their last answer whole after {:.2} s",
            at.as_secs_f64()
        ));
    }
    record.line(format!("{whole} of {REQUESTERS} answers whole"));
    if whole == REQUESTERS {
        Ok(Verdict::Held("no answer was cut off".to_owned()))
    } else if trouble {
        Ok(Verdict::Broken(format!(
            "LOST: {} channels ended without a complete answer after their requests were passed on",
            REQUESTERS - whole
        )))
    } else {
        Err("answers were cut off without the disruption".to_owned())
    }
}

fn answer(received: Received) {
    let Received {
        head,
        mut conn,
        server,
    } = received;
    let _ = conn.read_up_to(head.length().unwrap_or(0));
    let size = if head.target().1.ends_with("large") {
        ANSWER_BYTES
    } else {
        800
    };
    thread::sleep(Duration::from_millis(15));
    let rest = format!("Content-Length: {size}\r\nConnection: close\r\n");
    let _ = conn.send(answer_head(200, &head, &server, &rest).as_bytes());
    let _ = conn.send(&vec![b'a'; size]);
}

/// Sends a request and reads the answer, in pieces with a pause between them. Returns the status, the bytes of the
/// body that arrived and those that the head announced.
fn exchange(
    conn: &mut Conn,
    path: &str,
    id: &str,
    pause: Duration,
) -> std::io::Result<(u16, usize, usize)> {
    conn.stream
        .set_read_timeout(Some(Duration::from_secs(10)))?;
    conn.send(request_head("POST", path, id, 10_000, 0).as_bytes())?;
    let head = conn.read_head()?;
    let want = head.length().unwrap_or(0);
    let mut got = conn.take().len();
    while got < want {
        match conn.fill(PIECE_BYTES) {
            Ok(count) if count > 0 => got += count,
            _ => break,
        }
        conn.take();
        thread::sleep(pause);
    }
    Ok((head.status(), got, want))
}
