//! Answers that are none in the protocol, at both readers of answers, and answers that are cut off.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::http::Method;

use mustard_core::ids::Incarnation;
use mustard_net::forward::exchange_unpooled;
use mustard_net::http::{Answer, Request, exchange, new_client};
use mustard_net::{CallError, MessageClient, Process, Result};
use mustard_proto::agent::Heartbeat;
use mustard_tests::bad_answers::{BODY, bad_answers, sound_answers, start_server};
use mustard_tests::kept::start_keeping_server;

const LIMIT: Duration = Duration::from_secs(5);

fn request(to: SocketAddr, method: Method) -> Request<'static> {
    Request {
        to,
        method,
        path: "/",
        content_type: "text/plain",
        headers: &[],
        body: Vec::new(),
        timeout: LIMIT,
    }
}

/// Reads the answer of a server with each reader, for a request that may be repeated and for one that may not.
async fn read_with_each(to: SocketAddr) -> Vec<(&'static str, Result<Answer>)> {
    let client = new_client();
    vec![
        (
            "own, POST",
            exchange_unpooled(&request(to, Method::POST)).await,
        ),
        (
            "own, GET",
            exchange_unpooled(&request(to, Method::GET)).await,
        ),
        (
            "pooled, POST",
            exchange(&client, request(to, Method::POST)).await,
        ),
        (
            "pooled, GET",
            exchange(&client, request(to, Method::GET)).await,
        ),
    ]
}

/// Guards against taking bytes for an answer that are none, or an answer that isn't whole.
#[ntex::test]
async fn exchange_bad_answers() {
    let mut taken = Vec::new();
    for bad in bad_answers("server: x\r\n") {
        for (reader, answer) in read_with_each(bad.start_server().unwrap()).await {
            match answer {
                Err(CallError::Lost(_)) => {}
                other => taken.push(format!("{} by {reader}: {other:?}", bad.what)),
            }
        }
    }
    assert!(taken.is_empty(), "{} taken: {taken:#?}", taken.len());
}

#[ntex::test]
async fn exchange_sound_answers() {
    for sound in sound_answers("server: x\r\n") {
        let to = start_server(sound.clone().into_bytes()).unwrap();
        for (reader, answer) in read_with_each(to).await {
            let answer = answer.unwrap_or_else(|e| panic!("{reader}: {e}: {sound:?}"));
            assert_eq!(answer.body, BODY.as_bytes(), "{reader}: {sound:?}");
        }
    }
}

/// The same for messages between processes.
#[ntex::test]
async fn call_bad_answers() {
    let process = Process::new("entry", 16);
    let client = MessageClient::new(process);
    for bad in bad_answers("server: x\r\n") {
        let to = bad.start_server().unwrap();
        let from = "entry".to_owned();
        let answer = client
            .call(to, Incarnation(0), Heartbeat { from }, LIMIT)
            .await;
        assert!(
            matches!(answer, Err(CallError::Lost(_))),
            "{}: {answer:?}",
            bad.what
        );
    }
}

/// A bad answer on a kept connection is none either, and the connection carries no other request.
#[ntex::test]
async fn exchange_bad_answer_kept_connection() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nodd".to_owned();
    for status in ["000", "099", "600"] {
        let bad = whole.replace("200", status);
        let (to, opened) = start_keeping_server(vec![whole.clone(), bad]).unwrap();
        let client = new_client();
        for _ in 0..2 {
            let first = exchange(&client, request(to, Method::GET)).await;
            assert_eq!(first.unwrap().status, 200);
            let second = exchange(&client, request(to, Method::GET)).await;
            assert!(matches!(second, Err(CallError::Lost(_))), "{second:?}");
        }
        assert_eq!(opened.load(Ordering::SeqCst), 2);
    }
}
