//! Calls over HTTP to servers that close connections.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;

use mustard_backend::BackendError;
use mustard_backend::http::HttpBackend;
use mustard_backend::service::{PlainService, ServiceCall};
use mustard_net::http::new_client;
use mustard_proto::Ran;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers the first request of a connection and closes it when a second one arrives.
fn serve_once(mut stream: TcpStream) {
    // Head and body may arrive apart, so the request is read up to the end of its body.
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

fn closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || serve_once(stream.unwrap()));
        }
    });
    addr
}

async fn backend(addr: SocketAddr) -> HttpBackend {
    let client = Rc::new(new_client().await);
    let fresh = Rc::new(new_client().await);
    HttpBackend::new(client, fresh, addr)
}

fn call(reference: Option<&str>) -> ServiceCall {
    ServiceCall {
        method: "POST".into(),
        path: "/pages/1".into(),
        content_type: "text/plain".into(),
        reference: reference.map(Into::into),
        body: b"x".to_vec(),
        limit_ms: 20_000,
    }
}

#[ntex::test]
async fn call_with_reference_uses_no_kept_connection() {
    let server = backend(closing_server()).await;
    for _ in 0..3 {
        let answer = server.call(call(Some("r"))).await.unwrap();
        assert_eq!(answer.body, b"ok");
    }
    // Without a reference the second call goes out on the kept connection and breaks.
    server.call(call(None)).await.unwrap();
    let broken = server.call(call(None)).await.unwrap_err();
    assert!(matches!(broken, BackendError::Broken(_)), "{broken:?}");
    assert_eq!(broken.ran(), Ran::Maybe);
}

#[ntex::test]
async fn call_refused_connection_did_not_run() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let server = backend(closed.unwrap()).await;
    let refused = server.call(call(Some("r"))).await.unwrap_err();
    assert!(
        matches!(refused, BackendError::Unreachable(_)),
        "{refused:?}"
    );
    assert_eq!(refused.ran(), Ran::No);
}
