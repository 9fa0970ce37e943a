//! Answers that have neither a length nor a transfer encoding, so that only the end of the
//! connection ends their body, and connections that are reset.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ntex::http::Method;
use ntex::util::Bytes;
use socket2::SockRef;

use mustard_net::CallError;
use mustard_net::http::{ForwardedRequest, forward_request, new_client};

const UNFRAMED_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of the body";

/// Starts a server that answers one request without stating a length, pauses, and then closes or
/// resets the connection.
fn start_server(reset: bool, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).unwrap();
        stream.write_all(UNFRAMED_ANSWER).unwrap();
        std::thread::sleep(pause);
        if reset {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    });
    addr
}

async fn forward_request_get(addr: SocketAddr) -> Result<(), CallError> {
    let client = new_client().await;
    let request = ForwardedRequest {
        to: addr,
        method: Method::GET,
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    forward_request(&client, request).await.map(|_| ())
}

/// A body that may be cut short must not be taken for a complete one.
#[ntex::test]
async fn forward_request_unframed() {
    for reset in [true, false] {
        for ms in [0, 30] {
            let result = forward_request_get(start_server(reset, Duration::from_millis(ms))).await;
            assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
        }
    }
}

/// A request whose connection is reset while it is being sent counts as lost, because the server
/// may have read it.
#[ntex::test]
async fn forward_request_reset_while_sending() {
    for _ in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().unwrap();
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        });
        let client = new_client().await;
        let request = ForwardedRequest {
            to: addr,
            method: Method::POST,
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Bytes::from(vec![b'x'; 4 * 1024 * 1024]),
        };
        let result = forward_request(&client, request).await.map(|_| ());
        assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
    }
}
