//! Handlers that answer before the body of a request has ended.
//!
//! All tests guard against taking the rest of such a body for further requests, whatever the handler does with it.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Request, Response};
use ntex::service::fn_service;
use tokio::time::timeout;

use mustard_net::client_body::{BodyError, read_body};
use mustard_net::{ClientBudget, ClientLimits, Listener, accept, server};
use mustard_tests::upload::{Framing, Received, Upload};

const RECORD: &str = "POST /inner HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
const RECORDS: usize = 12;
const READ_TIME: Duration = Duration::from_millis(60);
/// Longer than a client may send nothing while others need its room.
const STALL: Duration = Duration::from_millis(2_500);

/// What a handler does with the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handling {
    /// Drops it.
    Drops,
    /// Keeps it without reading until the answer is given.
    Ignores,
    /// Reads it up to a limit.
    Limits(usize),
    /// Stops reading after a time.
    TimesOut,
    /// Returns an error.
    Fails,
}

/// A server on the test's thread.
struct Server {
    addr: SocketAddr,
    /// The number of requests that reached the handler.
    handled: Rc<Cell<usize>>,
}

async fn handle(
    handling: Handling,
    budget: Rc<ClientBudget>,
    mut request: Request,
) -> io::Result<Response> {
    let mut payload = request.take_payload();
    match handling {
        Handling::Drops => drop(payload),
        Handling::Ignores => return Ok(Response::BadRequest().finish()),
        Handling::Limits(limit) => match read_body(&budget, &mut payload, limit).await {
            Ok(_) => return Ok(Response::Ok().finish()),
            Err(BodyError::TooLarge) => return Ok(Response::PayloadTooLarge().finish()),
            Err(_) => return Ok(Response::ServiceUnavailable().finish()),
        },
        Handling::TimesOut => {
            let reading = read_body(&budget, &mut payload, usize::MAX);
            let _ = timeout(READ_TIME, reading).await;
        }
        Handling::Fails => return Err(io::Error::other("no handler")),
    }
    Ok(Response::Forbidden().body("refused"))
}

fn start_server(handling: Handling, bytes: usize) -> Server {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let budget = ClientBudget::new(ClientLimits::default().bytes(bytes), log);
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = socket.local_addr().unwrap();
    let handled = Rc::<Cell<usize>>::default();
    let (count, shared) = (Rc::clone(&handled), Rc::clone(&budget));
    let service = fn_service(move |request: Request| {
        count.set(count.get() + 1);
        handle(handling, Rc::clone(&shared), request)
    });
    let listener = Listener::main("test");
    ntex::rt::spawn(async move {
        let config = server::config("test", 64);
        let served = accept::serve(socket, budget, listener, config, service).await;
        panic!("{served:?}");
    });
    Server { addr, handled }
}

async fn send(to: SocketAddr, upload: Upload) -> Received {
    let sending = tokio::task::spawn_blocking(move || upload.send(to).unwrap());
    sending.await.unwrap()
}

fn upload(framing: Framing, count: usize) -> Upload {
    let head = "POST /outer HTTP/1.1\r\nhost: x\r\n";
    Upload::new(head, vec![RECORD.to_owned(); count], framing)
}

#[ntex::test]
async fn answer_before_end_pieces() {
    let all = [
        (Handling::Drops, 403),
        (Handling::Ignores, 400),
        (Handling::Limits(100), 413),
        (Handling::TimesOut, 403),
        (Handling::Fails, 500),
    ];
    for (handling, status) in all {
        let server = start_server(handling, 1 << 20);
        for framing in Framing::ALL {
            for sent in [upload(framing, RECORDS), upload(framing, RECORDS).joined()] {
                server.handled.set(0);
                let received = send(server.addr, sent).await;
                let what = format!("{handling:?} {framing:?}: {}", received.text);
                assert_eq!(received.statuses, [status], "{what}");
                assert_eq!(server.handled.get(), 1, "{what}");
            }
        }
    }
}

#[ntex::test]
async fn answer_before_end_no_room() {
    for framing in Framing::ALL {
        let server = start_server(Handling::Limits(usize::MAX), 300);
        let received = send(server.addr, upload(framing, RECORDS)).await;
        assert_eq!(received.statuses, [503], "{framing:?}: {}", received.text);
        assert_eq!(server.handled.get(), 1, "{framing:?}");
    }
}

/// A body that is given up for another one, as its client sends nothing for a while, and then goes on.
#[ntex::test]
async fn answer_before_end_evicted() {
    for framing in Framing::ALL {
        let server = start_server(Handling::Limits(usize::MAX), 300);
        let stalled = upload(framing, RECORDS).stalling(STALL);
        let first = ntex::rt::spawn(send(server.addr, stalled));
        tokio::time::sleep(STALL / 2).await;
        // Needs the room of the first one once that has stalled.
        while server.handled.get() < 3 {
            let second = send(server.addr, upload(Framing::Length, 4)).await;
            assert!(matches!(second.statuses[..], [200 | 503]), "{second:?}");
        }
        let first = first.await.unwrap();
        assert_eq!(first.statuses, [503], "{framing:?}: {}", first.text);
        assert_eq!(server.handled.get(), 3, "{framing:?}");
    }
}

/// A body that ends soon doesn't cost its client the connection.
#[ntex::test]
async fn answer_before_end_small_body() {
    let server = start_server(Handling::Drops, 1 << 20);
    let next = "POST /next HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    let small = upload(Framing::Length, RECORDS).then(next);
    let joined = upload(Framing::Chunks, RECORDS).then(next).joined();
    for sent in [small, joined] {
        let received = send(server.addr, sent).await;
        assert_eq!(received.statuses, [403, 403], "{}", received.text);
        assert!(!received.announces_close(), "{}", received.text);
    }
    assert_eq!(server.handled.get(), 4);
}

/// Guards against an answer that is lost as the connection is closed while its client is still sending.
#[ntex::test]
async fn answer_before_end_large_body() {
    let server = start_server(Handling::Drops, 1 << 20);
    let record = "x".repeat(256 * 1024);
    for framing in Framing::ALL {
        let head = "POST /outer HTTP/1.1\r\nhost: x\r\n";
        let large = Upload::new(head, vec![record.clone(); RECORDS], framing);
        let received = send(server.addr, large.then(RECORD)).await;
        assert_eq!(received.statuses, [403], "{framing:?}: {}", received.text);
        assert!(received.announces_close() && !received.is_reset);
        assert!(received.text.ends_with("refused"), "{}", received.text);
    }
    assert_eq!(server.handled.get(), Framing::ALL.len());
}
