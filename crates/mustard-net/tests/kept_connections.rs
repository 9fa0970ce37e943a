//! Calls over connections that are kept for further ones.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::http::Method;

use mustard_net::CallError;
use mustard_net::forward::exchange_unpooled;
use mustard_net::http::{Request, exchange, new_client};
use mustard_tests::kept::start_keeping_server;

fn request(to: SocketAddr) -> Request<'static> {
    Request {
        to,
        method: Method::POST,
        path: "/",
        content_type: "text/plain",
        headers: &[],
        body: Vec::new(),
        timeout: Duration::from_secs(5),
    }
}

/// Guards against a connection that carries another request though bytes follow its last answer, or its sender ends it:
/// they would be taken for the next answer.
#[ntex::test]
async fn exchange_kept_connection() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nodd";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n";
    let none = "HTTP/1.1 204 No Content\r\n\r\n";
    let kept = [whole, chunked, none];
    let ended = [
        format!("{whole}{whole}"),
        format!("{whole}\r\n"),
        format!("{chunked}x"),
        whole.replace("content", "connection: x, Close\r\ncontent"),
        whole.replace("1.1", "1.0"),
    ];
    let cases = kept.iter().map(|a| ((*a).to_owned(), 1));
    for (answer, connections) in cases.chain(ended.map(|a| (a, 4))) {
        let (to, opened) = start_keeping_server(vec![answer.clone()]).unwrap();
        let client = new_client();
        for _ in 0..4 {
            let answer = exchange(&client, request(to)).await.unwrap();
            assert!(answer.body.is_empty() || answer.body == *b"odd");
            // Lets what follows the answer arrive.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(opened.load(Ordering::SeqCst), connections, "{answer:?}");
    }
}

/// Guards against a path or a header that begins another request on the connection.
#[ntex::test]
async fn exchange_line_ends() {
    let (to, opened) = start_keeping_server(vec![String::new()]).unwrap();
    let client = new_client();
    let paths = [
        "/a b",
        "/a\r\nx: y",
        "/a HTTP/1.1\r\n\r\nGET /b",
        "/a\0",
        "a",
        "",
    ];
    let bad_paths = paths.map(|path| Request {
        path,
        ..request(to)
    });
    let bad_header = Request {
        headers: &[("x", "a\r\ny: b")],
        ..request(to)
    };
    for request in bad_paths.into_iter().chain([bad_header]) {
        let unpooled = exchange_unpooled(&request).await;
        for answer in [unpooled, exchange(&client, request).await] {
            assert!(matches!(answer, Err(CallError::NotSent(_))), "{answer:?}");
        }
    }
    assert_eq!(opened.load(Ordering::SeqCst), 0);
}
