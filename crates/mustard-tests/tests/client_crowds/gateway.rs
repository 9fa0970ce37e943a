//! Crowds before a gateway.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::MutexGuard;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::json;

use mustard_fakes::site::{API_KEY, HOST, Site, SiteOptions};
use mustard_tests::child::find_program;
use mustard_tests::http::HttpRequest;
use mustard_tests::ports::free_port;
use mustard_tests::wait_for;

use super::crowd::{
    Body, Crowd, Sent, assert_descriptors_left, flood, frame_whole, lock_crowds, open_descriptors,
    peak_memory, resident_memory, send_whole, unread_bytes, wait_for_answer,
};

const MEMORY_MB: u64 = 64;
const DESCRIPTORS: u64 = 1_000;
const BODY_LIMIT: usize = 1024 * 1024;
const CLIENTS: usize = 120;

/// A gateway with little memory, the only one of its site; dropping this kills the process.
struct Gateway {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    descriptors: u64,
    next_id: AtomicUsize,
    dir: std::path::PathBuf,
    _lock: MutexGuard<'static, ()>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!(
                "the log of the failed test is kept in {}",
                self.dir.display()
            );
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Gateway {
    fn start() -> Self {
        Gateway::start_with(DESCRIPTORS)
    }

    fn start_with(descriptors: u64) -> Self {
        let options = SiteOptions {
            body_limit: BODY_LIMIT,
            ..SiteOptions::default()
        };
        Gateway::start_at(options, descriptors)
    }

    fn start_at(options: SiteOptions, descriptors: u64) -> Self {
        let lock = lock_crowds();
        let site = Site::start(options).unwrap();
        site.write_config(1, &[API_KEY]);
        let ip = Ipv4Addr::LOCALHOST;
        let ports = [0; 4].map(|_| free_port().unwrap());
        let mut settings = site.settings(ip, [ports[0], ports[1], ports[2]], &[]);
        settings["limits"] = json!({"memory_mb": MEMORY_MB, "max_fds": descriptors});
        let name = format!("mustard-crowd-{}-{}", std::process::id(), ports[0]);
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let file = dir.join("settings.json");
        std::fs::write(&file, settings.to_string()).unwrap();
        let log = File::create(dir.join("log")).unwrap();
        let child = Command::new(find_program("mustard-gateway").unwrap())
            .args(["--metrics-port", &ports[3].to_string()])
            .env("MUSTARDFIELD_BOOT", &file)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: Some(descriptors),
        };
        prlimit(Some(Pid::from_child(&child)), Resource::Nofile, limit).unwrap();
        let at = |port| SocketAddr::from((ip, port));
        let mut gateway = Gateway {
            child,
            callers: at(ports[0]),
            ready: at(ports[1]),
            peers: at(ports[2]),
            metrics: at(ports[3]),
            descriptors,
            next_id: AtomicUsize::new(0),
            dir,
            _lock: lock,
        };
        gateway.assert_serves();
        gateway
    }

    /// Sends an ordinary request until it is answered with success; it may be refused before.
    fn assert_serves(&mut self) {
        let answered = || {
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let answer = HttpRequest::post(self.callers, "/book/x", "{}")
                .bearer(API_KEY)
                .header("host", HOST)
                .header("attempt-id", format!("ordinary-{id}"))
                .header("time-budget-ms", "2000")
                .send();
            (answer.ok()?.status == 200).then_some(())
        };
        wait_for("an ordinary request is answered", answered).unwrap();
        let is_ready = || {
            let answer = HttpRequest::get(self.ready, "/v1/ready").send();
            (answer.ok()?.status == 200).then_some(())
        };
        wait_for("the readiness check is answered", is_ready).unwrap();
    }

    /// Returns the number of requests that servers have answered.
    fn served_requests(&self) -> u64 {
        let metrics = HttpRequest::get(self.metrics, "/metrics").send().unwrap();
        let line = "mustard_requests_total{kind=\"plain\",outcome=\"served\"} ";
        let count = metrics.body.lines().find_map(|l| l.strip_prefix(line));
        count.map_or(0, |c| c.parse().unwrap())
    }

    /// Checks that the process lives and holds no more than its machine has.
    fn assert_bounded(&mut self) {
        assert!(
            self.child.try_wait().unwrap().is_none(),
            "the process ended"
        );
        let peak = peak_memory(self.child.id());
        let open = open_descriptors(self.child.id());
        println!("peak memory {peak} bytes, {open} descriptors");
        assert!(peak <= MEMORY_MB * 1_000_000, "peak memory {peak} bytes");
        assert!(open as u64 <= self.descriptors, "{open} descriptors");
    }

    fn assert_withstands(&mut self, to: SocketAddr, count: usize, request: &Sent) {
        let crowd = Crowd::send(to, count, request);
        self.assert_serves_beside(crowd);
    }

    /// Checks the process beside a crowd, and after the crowd has left.
    fn assert_serves_beside<T>(&mut self, crowd: T) {
        self.assert_serves();
        self.assert_bounded();
        drop(crowd);
        self.assert_serves();
        self.assert_bounded();
    }
}

fn booking(body: Body) -> Sent {
    Sent::new(
        &format!(
            "POST /book/x HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {{id}}\r\n\
             authorization: Bearer {API_KEY}\r\ntime-budget-ms: 60000\r\n"
        ),
        body,
    )
}

fn withstand(request: &Sent) {
    let mut gateway = Gateway::start();
    gateway.assert_withstands(gateway.callers, CLIENTS, request);
}

#[test]
fn gateway_bodies_just_short() {
    withstand(&booking(Body::just_short(BODY_LIMIT)));
}

#[test]
fn gateway_bodies_in_pieces() {
    withstand(&booking(Body::in_pieces(BODY_LIMIT, 1_000)));
}

#[test]
fn gateway_bodies_whole() {
    withstand(&booking(Body::Length {
        announced: BODY_LIMIT as u64,
        sent: BODY_LIMIT,
        piece: BODY_LIMIT,
    }));
}

#[test]
fn gateway_chunks_large() {
    withstand(&booking(Body::Chunks {
        chunk: 65_536,
        sent: BODY_LIMIT - 65_536,
    }));
}

#[test]
fn gateway_chunks_small() {
    withstand(&booking(Body::Chunks {
        chunk: 64,
        sent: BODY_LIMIT - 64,
    }));
}

#[test]
fn gateway_chunks_single_bytes() {
    withstand(&booking(Body::Chunks {
        chunk: 1,
        sent: BODY_LIMIT / 8,
    }));
}

#[test]
fn gateway_announced_over_limit() {
    withstand(&booking(Body::Length {
        announced: 100_000_000_000,
        sent: 8 * BODY_LIMIT,
        piece: 65_536,
    }));
}

#[test]
fn gateway_chunks_over_limit() {
    withstand(&booking(Body::Chunks {
        chunk: 65_536,
        sent: 8 * BODY_LIMIT,
    }));
}

#[test]
fn gateway_extension_without_end() {
    withstand(&booking(Body::Extension {
        sent: 4 * BODY_LIMIT,
    }));
}

#[test]
fn gateway_trailers_without_end() {
    withstand(&booking(Body::Trailers {
        sent: 4 * BODY_LIMIT,
    }));
}

#[test]
fn gateway_pipelined_bodies() {
    let mut request = booking(Body::just_short(BODY_LIMIT));
    request.pipelined = (4, BODY_LIMIT);
    withstand(&request);
}

#[test]
fn gateway_bodies_without_key() {
    let mut request = booking(Body::just_short(BODY_LIMIT));
    request.head = request.head.replace(API_KEY, "unknown");
    withstand(&request);
}

#[test]
fn gateway_bodies_without_route() {
    let mut request = booking(Body::just_short(BODY_LIMIT));
    request.head = request.head.replace("/book/", "/nowhere/");
    withstand(&request);
}

#[test]
fn gateway_bodies_without_id() {
    let mut request = booking(Body::just_short(BODY_LIMIT));
    request.head = request.head.replace("attempt-id", "other-id");
    withstand(&request);
}

#[test]
fn gateway_bodies_of_reads() {
    let mut request = booking(Body::just_short(BODY_LIMIT));
    request.head = request.head.replace("POST /book/", "GET /status/");
    withstand(&request);
}

#[test]
fn gateway_peer_bodies() {
    let mut gateway = Gateway::start();
    for path in ["/peer/exchange", "/peer/strikes", "/"] {
        let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\n");
        let request = Sent::new(&head, Body::just_short(BODY_LIMIT));
        gateway.assert_withstands(gateway.peers, CLIENTS, &request);
    }
}

#[test]
fn gateway_bodies_at_each_listener() {
    let mut gateway = Gateway::start();
    for to in [gateway.ready, gateway.peers, gateway.metrics] {
        for body in [
            Body::just_short(BODY_LIMIT),
            Body::Extension {
                sent: 2 * BODY_LIMIT,
            },
        ] {
            let head = "POST /v1/ready HTTP/1.1\r\nhost: x\r\n";
            gateway.assert_withstands(to, CLIENTS, &Sent::new(head, body));
        }
    }
}

/// Crowds one after the other leave no more behind than one.
#[test]
fn gateway_bodies_repeated() {
    let mut gateway = Gateway::start();
    for _ in 0..3 {
        for body in [
            Body::just_short(BODY_LIMIT),
            Body::Chunks {
                chunk: 1_000,
                sent: BODY_LIMIT - 1_000,
            },
            Body::in_pieces(BODY_LIMIT / 4, 10_000),
        ] {
            gateway.assert_withstands(gateway.callers, CLIENTS, &booking(body));
        }
    }
}

/// A request with a small body whose answer its client doesn't read.
fn small_booking(id: usize) -> Vec<u8> {
    let head = booking(Body::just_short(BODY_LIMIT)).head;
    let head = head.replace("{id}", &format!("unread-{id}"));
    format!("{head}content-length: 2\r\n\r\n{{}}").into_bytes()
}

/// Clients that ask for large answers and read none, which the gateway has to hold.
#[test]
fn gateway_answers_unread() {
    let options = SiteOptions {
        body_limit: BODY_LIMIT,
        answer_bytes: 8 * BODY_LIMIT,
        ..SiteOptions::default()
    };
    let mut gateway = Gateway::start_at(options, DESCRIPTORS);
    let client = |n| {
        let mut stream = TcpStream::connect(gateway.callers).unwrap();
        stream.write_all(&small_booking(n)).unwrap();
        wait_for_answer(&stream);
        stream
    };
    let clients: Vec<TcpStream> = (0..40).map(client).collect();
    gateway.assert_serves_beside(clients);
}

/// Clients that send requests ahead and read none of the short answers.
#[test]
fn gateway_short_answers_unread() {
    let options = SiteOptions {
        body_limit: BODY_LIMIT,
        answer_bytes: 300,
        ..SiteOptions::default()
    };
    let mut gateway = Gateway::start_at(options, DESCRIPTORS);
    let client = |n| flood(gateway.callers, &small_booking(n).repeat(100));
    let clients: Vec<TcpStream> = (0..2 * CLIENTS).filter_map(client).collect();
    // Until the gateway passes on no more requests, as their answers find no way out.
    let mut served = 0;
    loop {
        thread::sleep(Duration::from_millis(500));
        let before = std::mem::replace(&mut served, gateway.served_requests());
        if served == before {
            break;
        }
    }
    gateway.assert_serves_beside(clients);
}

/// Clients that send requests ahead on each connection: what has arrived and isn't read counts as the machine's memory.
#[test]
fn gateway_bytes_unread() {
    // As many for each byte of memory as the smallest machine has: 4,100 beside 160 MB.
    let mut gateway = Gateway::start_with(1_640);
    let mut clients = Vec::new();
    let mut most = 0;
    for n in 0..800 {
        clients.extend(flood(gateway.callers, &small_booking(n).repeat(100)));
        if n % 50 == 49 {
            let unread = unread_bytes(gateway.callers.port());
            most = most.max(unread + resident_memory(gateway.child.id()));
        }
    }
    println!("at most {most} bytes, resident and unread");
    assert!(most <= MEMORY_MB * 1_000_000, "{most} bytes");
    gateway.assert_serves_beside(clients);
}

/// The number of descriptors of a gateway before a crowd of connections; 200 of them aren't for sockets.
const FEW_DESCRIPTORS: u64 = 400;

fn withstand_connections(bytes: &[u8]) {
    let mut gateway = Gateway::start_with(FEW_DESCRIPTORS);
    let listeners = [
        gateway.callers,
        gateway.peers,
        gateway.metrics,
        gateway.ready,
    ];
    for to in listeners {
        let crowd = Crowd::connect(to, 2 * FEW_DESCRIPTORS as usize, bytes);
        assert_descriptors_left(gateway.child.id(), FEW_DESCRIPTORS);
        gateway.assert_serves();
        gateway.assert_bounded();
        drop(crowd);
        gateway.assert_serves();
    }
}

#[test]
fn gateway_connections_silent() {
    withstand_connections(b"");
}

#[test]
fn gateway_connections_half_heads() {
    let head = format!("POST /book/x HTTP/1.1\r\nhost: {HOST}\r\nx-fill: ");
    let mut bytes = head.into_bytes();
    bytes.resize(15_000, b'x');
    withstand_connections(&bytes);
}

#[test]
fn gateway_connections_half_bodies() {
    let head = booking(Body::just_short(BODY_LIMIT)).head;
    let bytes = format!("{head}content-length: 100\r\n\r\nhalf");
    withstand_connections(bytes.as_bytes());
}

/// A body of the full size is served if no one else asks for anything.
#[test]
fn gateway_single_full_body() {
    let mut gateway = Gateway::start();
    let body = vec![b'x'; BODY_LIMIT];
    for (n, chunk) in [None, Some(65_536), Some(100), Some(1)]
        .into_iter()
        .enumerate()
    {
        let head = booking(Body::just_short(BODY_LIMIT)).head;
        let head = head.replace("{id}", &format!("full-{n}"));
        let bytes = frame_whole(&head, &body, chunk);
        let answer = send_whole(gateway.callers, &bytes);
        assert!(answer.starts_with("HTTP/1.1 200"), "{chunk:?}: {answer}");
    }
    gateway.assert_bounded();
}
