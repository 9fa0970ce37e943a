//! HTTP exchanges over pooled connections: late answers, simultaneous first calls, calls that time
//! out, refused and closed connections.
#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use bolero::{TypeGenerator, check};
use mustard_net::http::HttpClient;
use ntex::http::Method;

use mustard_net::CallError;
use mustard_net::http::{Answer, PooledClient, Request, exchange, new_client};

const LONG_LIMIT: Duration = Duration::from_secs(20);

/// Starts a server that waits for the milliseconds at the start of each body, then returns the
/// body.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_connection(&stream));
        }
    });
    addr
}

fn serve_connection(stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Some(body) = read_request(&mut reader) {
        let delay_ms: u64 = body.split(' ').next().unwrap().parse().unwrap();
        thread::sleep(Duration::from_millis(delay_ms));
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut out = stream;
        if out.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if let Some(text) = line.strip_prefix("content-length:") {
            length = text.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

async fn send_text(
    client: &HttpClient,
    to: SocketAddr,
    body: String,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let request = Request {
        to,
        method: Method::POST,
        path: "/",
        content_type: "text/plain",
        headers: &[],
        body: body.into_bytes(),
        timeout,
    };
    exchange(client, request).await
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Exchange {
    /// How long the server waits before it answers, in milliseconds.
    #[generator(0_u64..12)]
    delay_ms: u64,
    /// The time limit of each call, in milliseconds.
    #[generator(1_u64..8)]
    limit_ms: u64,
    /// How many calls are sent at once.
    #[generator(1_usize..4)]
    calls: usize,
}

/// A late answer to a call that timed out must not be taken for the answer to a later call on the
/// same connection.
#[test]
fn exchange_after_timeout() {
    let addr = start_echo_server();
    check!()
        .with_type::<[Exchange; 6]>()
        .with_iterations(40)
        .for_each(|plan| {
            ntex::rt::System::new("exchange", ntex::rt::DefaultRuntime)
                .block_on(run_plan(addr, *plan));
        });
}

async fn run_plan(addr: SocketAddr, plan: [Exchange; 6]) {
    let client = new_client();
    for (n, round) in plan.into_iter().enumerate() {
        let calls = (0..round.calls).map(|i| {
            let client = client.clone();
            let body = format!("{} {n}-{i}", round.delay_ms);
            ntex::rt::spawn(async move {
                let limit = Duration::from_millis(round.limit_ms);
                (send_text(&client, addr, body.clone(), limit).await, body)
            })
        });
        for call in calls.collect::<Vec<_>>() {
            match call.await.unwrap() {
                (Ok(answer), body) => assert_eq!(answer.body, body.as_bytes()),
                (Err(e), _) => assert!(matches!(e, CallError::TimedOut(_)), "{e}"),
            }
        }
    }
    let last = send_text(&client, addr, "0 last".to_owned(), LONG_LIMIT).await;
    assert_eq!(last.unwrap().body, b"0 last".as_slice());
}

/// Calls that start while the first connections to their address are still being opened must all
/// be answered.
#[ntex::test]
async fn exchange_first_calls() {
    let addr = start_echo_server();
    let client = new_client();
    let mut calls = Vec::new();
    for n in 0..32 {
        let client = client.clone();
        calls.push(ntex::rt::spawn(async move {
            send_text(&client, addr, format!("0 {n}"), LONG_LIMIT).await
        }));
        // Lets the connections opened so far make progress before the next call begins.
        tokio::task::yield_now().await;
    }
    for (n, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.unwrap().unwrap().body, format!("0 {n}"));
    }
}

/// A call whose connection is refused counts as not sent.
#[ntex::test]
async fn exchange_refused() {
    let addr = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let client = new_client();
    let result = send_text(&client, addr, "0".to_owned(), LONG_LIMIT).await;
    assert!(matches!(result, Err(CallError::NoListener(_))));
}

/// A call whose connection closes after the request counts as lost: it may have run.
#[ntex::test]
async fn exchange_connection_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            read_request(&mut BufReader::new(&stream));
        }
    });
    let client = new_client();
    let result = send_text(&client, addr, "0".to_owned(), LONG_LIMIT).await;
    assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
}

/// Guards against one unanswered call for each kept connection: all of them have gone silent, and new ones
/// work.
#[ntex::test]
async fn exchange_pooled_silent_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let epoch = Arc::new(AtomicU32::new(0));
    let current = Arc::clone(&epoch);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (epoch, opened) = (Arc::clone(&current), current.load(Ordering::SeqCst));
            thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while read_request(&mut reader).is_some() {
                    if epoch.load(Ordering::SeqCst) != opened {
                        continue;
                    }
                    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    if (&stream).write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let client = PooledClient::new(Rc::new(new_client()));
    let call = |client: PooledClient| async move {
        let request = Request {
            to: addr,
            method: Method::GET,
            path: "/",
            content_type: "text/plain",
            headers: &[],
            body: Vec::new(),
            timeout: Duration::from_millis(300),
        };
        client.exchange(request).await
    };
    let first: Vec<_> = (0..4)
        .map(|_| ntex::rt::spawn(call(client.clone())))
        .collect();
    for answer in first {
        assert_eq!(answer.await.unwrap().unwrap().status, 200);
    }
    epoch.fetch_add(1, Ordering::SeqCst);
    let unanswered = call(client.clone()).await;
    assert!(matches!(unanswered, Err(CallError::TimedOut(_))));
    for _ in 0..6 {
        assert_eq!(call(client.clone()).await.unwrap().status, 200);
    }
}
