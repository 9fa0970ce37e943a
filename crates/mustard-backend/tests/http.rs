//! HTTP calls to servers that close or refuse connections.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;

use mustard_backend::BackendError;
use mustard_backend::http::HttpBackend;
use mustard_backend::service::{PlainService, ServiceCall};
use mustard_net::http::new_client;
use mustard_proto::Execution;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers the first request on a connection and closes it when a second one arrives.
fn serve_once(mut stream: TcpStream) {
    // Head and body may arrive in separate reads, so the request is read up to its body.
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\nx") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return;
        }
        request.extend(byte);
    }
    let _ = stream.write_all(ANSWER);
    let _ = stream.read(&mut byte);
}

fn start_closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || serve_once(stream.unwrap()));
        }
    });
    addr
}

async fn new_backend(addr: SocketAddr) -> HttpBackend {
    let client = Rc::new(new_client());
    let unpooled = Rc::new(new_client());
    HttpBackend::new(client, unpooled, addr)
}

fn service_call(reference: Option<&str>) -> ServiceCall {
    ServiceCall {
        method: "POST".into(),
        path: "/pages/1".into(),
        content_type: "text/plain".into(),
        reference: reference.map(Into::into),
        body: b"x".to_vec(),
        timeout_ms: 20_000,
    }
}

/// The server closes a kept connection when the second call arrives on it, so only calls on a new
/// connection get an answer.
#[ntex::test]
async fn call_uses_no_kept_connection() {
    let server = new_backend(start_closing_server()).await;
    for reference in [Some("r"), None] {
        for _ in 0..3 {
            let answer = server.call(service_call(reference)).await.unwrap();
            assert_eq!(answer.body, b"ok");
        }
    }
}

#[ntex::test]
async fn call_refused_connection_did_not_run() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let server = new_backend(closed.unwrap()).await;
    let refused = server.call(service_call(Some("r"))).await.unwrap_err();
    assert!(
        matches!(refused, BackendError::Unreachable(_)),
        "{refused:?}"
    );
    assert_eq!(refused.execution(), Execution::No);
}

/// Answers each request on a connection twice, with its path; the second answer comes a little later.
fn serve_twice(mut stream: TcpStream) {
    loop {
        let mut request = Vec::new();
        let mut byte = [0];
        while !request.ends_with(b"\r\n\r\nx") {
            if !matches!(stream.read(&mut byte), Ok(1)) {
                return;
            }
            request.extend(byte);
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
        let length = path.len();
        let answer = format!("HTTP/1.1 503 Busy\r\ncontent-length: {length}\r\n\r\n{path}");
        for _ in 0..2 {
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            thread::sleep(std::time::Duration::from_millis(5));
        }
    }
}

/// Guards against an answer that a server writes twice on a kept connection being taken for that to the next
/// call.
#[ntex::test]
async fn call_answered_twice() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || serve_twice(stream.unwrap()));
        }
    });
    let backend = new_backend(addr).await;
    for pause_ms in [0, 1, 30] {
        for n in 0..20 {
            let path = format!("/pages/{pause_ms}-{n}");
            let call = ServiceCall {
                path: path.clone(),
                ..service_call(None)
            };
            match backend.call(call).await {
                Ok(answer) => assert_eq!(String::from_utf8(answer.body).unwrap(), path),
                Err(e) => assert_ne!(e.execution(), Execution::No, "{path}: {e}"),
            }
            tokio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
        }
    }
}
