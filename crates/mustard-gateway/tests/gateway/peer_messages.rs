//! Messages between gateways of different versions.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use mustard_core::fingerprint::Fingerprint;
use mustard_fakes::site::{Site, SiteOptions};
use mustard_gateway::app::ConfigStamp;
use mustard_gateway::peers::{MEDIA_TYPE, PATH};
use mustard_gateway::strike_news;
use mustard_net::http::{Answer, Request, exchange, new_client};
use ntex::http::Method;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use super::harness::{Caller, Gateway, new_port};
use super::start_site;

/// A gateway, and the address on which it answers other gateways.
async fn start() -> (Site, Gateway, SocketAddr) {
    let site = start_site(SiteOptions::default());
    let caller = Caller::new().await;
    let (ip, peer_port) = (Ipv4Addr::LOCALHOST, new_port());
    let gateway = Gateway::start(&site, ip, peer_port, &[ip]);
    gateway.wait_ready(&caller).await;
    (site, gateway, SocketAddr::from((ip, peer_port)))
}

async fn post(to: SocketAddr, path: &str, body: Vec<u8>) -> Answer {
    let request = Request {
        to,
        method: Method::POST,
        path,
        content_type: MEDIA_TYPE,
        headers: &[],
        body,
        timeout: Duration::from_secs(2),
    };
    exchange(&new_client(), request).await.unwrap()
}

fn peer(i: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, i), 7_020))
}

/// Returns a message of a version that encodes fields by position, up to the text of the configuration.
fn older_message(from: SocketAddr) -> Vec<u8> {
    let none = || Vec::<u8>::new();
    let message = (
        from,
        ConfigStamp::default(),
        None::<u64>,
        vec![from],
        none(),
        none(),
        none(),
        none(),
        none(),
        None::<Vec<u8>>,
    );
    rmp_serde::to_vec(&message).unwrap()
}

/// The fields of a message that were encoded by position last; a longer or shorter one can't be decoded.
type PositionalMessage = (
    SocketAddr,
    ConfigStamp,
    Option<u64>,
    Vec<SocketAddr>,
    Vec<IgnoredAny>,
    Vec<IgnoredAny>,
    Vec<IgnoredAny>,
    Vec<IgnoredAny>,
    Vec<IgnoredAny>,
    Option<IgnoredAny>,
    Vec<IgnoredAny>,
    (usize, Vec<IgnoredAny>),
);

/// Messages by name, with fields that this version doesn't know.
#[derive(Serialize)]
struct NewerMessage {
    f: SocketAddr,
    c: NewerStamp,
    p: Vec<SocketAddr>,
    s: Vec<NewerStrike>,
    zz: Vec<u64>,
}

#[derive(Serialize)]
struct NewerStamp {
    v: u64,
    e: u64,
    w: bool,
    zz: &'static str,
}

#[derive(Serialize)]
struct NewerStrike {
    zz: Option<f64>,
    c: Fingerprint,
    s: &'static str,
    n: u32,
    a: u64,
}

fn newer_message(from: SocketAddr, strikes: Vec<NewerStrike>) -> Vec<u8> {
    let message = NewerMessage {
        f: from,
        c: NewerStamp {
            v: 0,
            e: 0,
            w: false,
            zz: "a field of a newer version",
        },
        p: vec![from],
        s: strikes,
        zz: vec![1, 2],
    };
    rmp_serde::to_vec_named(&message).unwrap()
}

fn newer_strike() -> NewerStrike {
    NewerStrike {
        zz: Some(0.5),
        c: Fingerprint(7),
        s: "i-0001",
        n: 1,
        a: 100,
    }
}

#[derive(Deserialize)]
struct NamedAnswer {
    f: SocketAddr,
    p: Vec<SocketAddr>,
    #[serde(default)]
    s: Vec<IgnoredAny>,
}

/// Guards against a gateway that doesn't understand the messages of an older version, which end with the text
/// of the configuration, or whose answers that version can't decode: it would be cut off from all others until
/// the last one is replaced.
#[ntex::test]
async fn exchange_older_version() {
    let (_site, _gateway, to) = start().await;
    let answer = post(to, PATH, older_message(peer(9))).await;
    assert_eq!(answer.status, 200);
    let message: PositionalMessage = rmp_serde::from_slice(&answer.body).unwrap();
    assert_eq!((message.0, message.3), (to, vec![peer(9)]));
    let news = (peer(9), Vec::<u8>::new(), Vec::<u8>::new(), false);
    let answer = post(to, strike_news::PATH, rmp_serde::to_vec(&news).unwrap()).await;
    assert_eq!(answer.status, 200);
}

/// Guards against a gateway that can't decode the messages of a newer version during a rolling update, and
/// against fields that are lost beside those that it doesn't know.
#[ntex::test]
async fn exchange_newer_version() {
    let (_site, _gateway, to) = start().await;
    let body = newer_message(peer(9), vec![newer_strike()]);
    let answer = post(to, PATH, body.clone()).await;
    assert_eq!(answer.status, 200);
    let message: NamedAnswer = rmp_serde::from_slice(&answer.body).unwrap();
    assert_eq!((message.f, message.p), (to, vec![peer(9)]));
    assert_eq!(message.s.len(), 1, "the strike is known here");
    assert_eq!(post(to, strike_news::PATH, body).await.status, 200);
}

/// A gateway of a version that decodes messages by position only: the path and body of each that it decoded.
struct OlderGateway(Receiver<(String, Vec<u8>)>);

impl OlderGateway {
    fn start(addr: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr).unwrap();
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                answer_as_older(stream, &sender);
            }
        });
        OlderGateway(receiver)
    }

    /// Returns the next message to a path.
    fn next(&self, path: &str) -> Vec<u8> {
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let (to, body) = self.0.recv_timeout(left).unwrap();
            if to == path {
                return body;
            }
        }
    }
}

fn answer_as_older(mut stream: TcpStream, decoded: &Sender<(String, Vec<u8>)>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        if line.trim().is_empty() {
            break;
        }
        lines.push(line.to_ascii_lowercase());
    }
    let length = lines.iter().find_map(|l| l.strip_prefix("content-length:"));
    let mut body = vec![0; length.unwrap().trim().parse().unwrap()];
    reader.read_exact(&mut body).unwrap();
    let path = lines[0].split(' ').nth(1).unwrap().to_owned();
    let is_decoded = if path == PATH {
        rmp_serde::from_slice::<PositionalMessage>(&body).is_ok()
    } else {
        rmp_serde::from_slice::<PositionalNews>(&body).is_ok()
    };
    let status = if is_decoded {
        "200 OK"
    } else {
        "400 Bad Request"
    };
    if is_decoded {
        // The test may be over.
        let _ = decoded.send((path, body));
    }
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    let _ = stream.write_all(answer.as_bytes());
}

/// The fields of a message about ends of servers by position, with strikes.
type PositionalNews = (
    SocketAddr,
    Vec<(Fingerprint, String, u32, u64)>,
    Vec<IgnoredAny>,
    bool,
    Vec<IgnoredAny>,
);

/// Guards against an older gateway that learns nothing from the calls and the news of a newer one during a
/// rolling update.
#[ntex::test]
async fn call_older_version() {
    let site = start_site(SiteOptions::default());
    let caller = Caller::new().await;
    let (ip, older_ip) = (Ipv4Addr::LOCALHOST, Ipv4Addr::new(127, 0, 0, 9));
    let peer_port = new_port();
    let (to, older_addr) = ((ip, peer_port).into(), (older_ip, peer_port).into());
    let older = OlderGateway::start(older_addr);
    let gateway = Gateway::start(&site, ip, peer_port, &[ip, older_ip]);
    gateway.wait_ready(&caller).await;
    let message: PositionalMessage = rmp_serde::from_slice(&older.next(PATH)).unwrap();
    assert_eq!(message.0, to);
    // It counts as alive once it has sent a message; then it is told of a content that may no longer run.
    post(to, PATH, older_message(older_addr)).await;
    let strike = |i: u32| (Fingerprint(7), format!("i-{i}/1"), 1, 100);
    let news: (_, Vec<(Fingerprint, String, u32, u64)>, _, _) = (
        peer(8),
        (1..=3).map(strike).collect(),
        Vec::<u8>::new(),
        false,
    );
    let answer = post(to, strike_news::PATH, rmp_serde::to_vec(&news).unwrap()).await;
    assert_eq!(answer.status, 200);
    let told: PositionalNews = rmp_serde::from_slice(&older.next(strike_news::PATH)).unwrap();
    assert_eq!((told.0, told.1.len(), told.3), (to, 3, true));
}
