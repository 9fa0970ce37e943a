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
    let client = Rc::new(new_client().await);
    let unpooled = Rc::new(new_client().await);
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
async fn call_with_reference_uses_no_kept_connection() {
    let server = new_backend(start_closing_server()).await;
    for _ in 0..3 {
        let answer = server.call(service_call(Some("r"))).await.unwrap();
        assert_eq!(answer.body, b"ok");
    }
    // Without a reference the second call is sent on the kept connection, which breaks.
    server.call(service_call(None)).await.unwrap();
    let broken = server.call(service_call(None)).await.unwrap_err();
    assert!(
        matches!(broken, BackendError::ConnectionBroken(_)),
        "{broken:?}"
    );
    assert_eq!(broken.execution(), Execution::Maybe);
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
