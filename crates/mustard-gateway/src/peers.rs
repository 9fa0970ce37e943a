//! What gateways tell each other: the configuration, and contents that end servers.
//!
//! Each gateway calls a few random others several times a second, so that news reach everybody
//! in a number of rounds that grows with the logarithm of their number, also while the store
//! turns some of them away.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Method;
use ntex::util::Bytes;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use slog::{info, warn};
use tokio::time::{Instant, sleep, sleep_until};

use mustard_adapter::Node;
use mustard_adapter::store::Followed;
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_net::http::{Request, exchange};
use mustard_platform::table::{Table, Txn};
use mustard_policy::quarantine::{Clearance, Strike};

use crate::app::App;
use crate::follow;
use crate::journal::Topic;

/// The path of the exchange on the port for gateways.
pub const PATH: &str = "/peer/exchange";
const MEDIA: &str = "application/msgpack";
/// The pause between rounds; a change crosses 340 gateways in about 3 s.
const ROUND: Duration = Duration::from_millis(500);
/// The gateways called in each round.
const FANOUT: usize = 2;
/// The time for one call.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// How long a gateway that was heard of counts as alive; among 30 gateways two are heard of each
/// other every 4 s on the mean.
const ALIVE: Duration = Duration::from_secs(20);
/// Addresses told in one message.
const TOLD: usize = 24;
/// Strikes told in one message.
const STRIKES: usize = 64;
/// The rows of gateways in the table of this system.
const ROWS: &str = "gateway/";
/// The pause between two readings of these rows.
const ROWS_PAUSE: Duration = Duration::from_secs(15);
const ROWS_LIMIT: usize = 400;
/// The largest message that is read, in bytes.
pub const MAX_MESSAGE: usize = 8 * 1024 * 1024;

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    heard: Option<Moment>,
}

/// The other gateways, and whether the store can be followed here.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    known: Map<SocketAddr, Peer>,
    now: Moment,
    followed: [Option<bool>; 2],
}

impl Peers {
    /// Creates the set with the gateways that the settings name.
    pub fn new(node: &Node) -> Self {
        let own = SocketAddr::new(node.ip, node.peer_port);
        let seeds = node
            .seeds
            .iter()
            .map(|ip| SocketAddr::new(*ip, node.peer_port));
        Peers {
            own,
            known: seeds
                .filter(|a| *a != own)
                .map(|a| (a, Peer::default()))
                .collect(),
            now: Moment::default(),
            followed: [None; 2],
        }
    }

    /// Returns the number of other gateways that were heard of lately.
    pub fn count(&self) -> usize {
        let alive = |p: &&Peer| p.heard.is_some_and(|h| self.now.since(h) < ALIVE);
        self.known.values().filter(alive).count()
    }

    /// Returns the number of other gateways that are known, alive or not.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// Returns the place of this gateway among those that are alive, by address.
    pub fn rank(&self) -> usize {
        let alive = |p: &Peer| p.heard.is_some_and(|h| self.now.since(h) < ALIVE);
        let before = self
            .known
            .iter()
            .filter(|(a, p)| **a < self.own && alive(p));
        before.count()
    }

    /// Takes in whether a table can be followed; tells whether that changed.
    pub fn set_store(&mut self, followed: Followed, works: bool) -> bool {
        let slot = &mut self.followed[followed as usize];
        let changed = *slot != Some(works);
        *slot = Some(works);
        changed
    }

    fn learn(&mut self, addr: SocketAddr) {
        if addr != self.own {
            self.known.entry(addr).or_default();
        }
    }

    /// Takes in a sign of life; tells whether the gateway counted as gone before.
    fn heard(&mut self, now: Moment, addr: SocketAddr) -> bool {
        self.now = now;
        if addr == self.own {
            return false;
        }
        let peer = self.known.entry(addr).or_default();
        let regained = peer.heard.is_none_or(|h| now.since(h) >= ALIVE);
        peer.heard = Some(now);
        regained
    }

    fn told(&self) -> Vec<SocketAddr> {
        let mut list: Vec<SocketAddr> = self.known.keys().copied().collect();
        list.sort_unstable();
        list.truncate(TOLD);
        list
    }
}

/// One strike in a message.
#[derive(Debug, Serialize, Deserialize)]
struct StrikeMessage {
    content: Fingerprint,
    server: String,
    shared: u32,
    age_ms: u64,
}

/// A content that ran to its end, in a message.
#[derive(Debug, Serialize, Deserialize)]
struct ClearedMessage {
    content: Fingerprint,
    age_ms: u64,
}

/// What a gateway tells another one.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    from: SocketAddr,
    config: u64,
    peers: Vec<SocketAddr>,
    strikes: Vec<StrikeMessage>,
    cleared: Vec<ClearedMessage>,
    /// The configuration, if the other one has an older version.
    text: Option<ByteBuf>,
}

fn hello(app: &App, newer_than: Option<u64>) -> Hello {
    let version = app.config().map_or(0, |c| c.version);
    let send = newer_than.is_some_and(|v| v < version);
    let text = send.then(|| ByteBuf::from(app.config_text.borrow().as_ref().clone()));
    let now = app.now();
    let quarantine = app.quarantine.borrow();
    let strikes = quarantine.strikes(now);
    let cleared = quarantine.clearances(now).take(STRIKES);
    let peers = app.peers.borrow();
    Hello {
        from: peers.own,
        config: version,
        peers: peers.told(),
        strikes: strikes
            .into_iter()
            .take(STRIKES)
            .map(|s| StrikeMessage {
                content: s.fingerprint,
                server: s.vm,
                shared: s.shared,
                age_ms: now.ms_since(s.at),
            })
            .collect(),
        cleared: cleared
            .map(|c| ClearedMessage {
                content: c.fingerprint,
                age_ms: now.ms_since(c.at),
            })
            .collect(),
        text,
    }
}

fn take(app: &App, hello: Hello) {
    let now = app.now();
    let regained = {
        let mut peers = app.peers.borrow_mut();
        for addr in hello.peers {
            peers.learn(addr);
        }
        peers.heard(now, hello.from)
    };
    if regained && let Some(log) = app.journal.admit(Topic::Dependency) {
        info!(log, "peers: A gateway answers."; "peer" => %hello.from);
    }
    for cleared in hello.cleared {
        let clearance = Clearance {
            fingerprint: cleared.content,
            at: now - Duration::from_millis(cleared.age_ms),
        };
        app.quarantine.borrow_mut().take(now, clearance);
    }
    for strike in hello.strikes {
        let strike = Strike {
            fingerprint: strike.content,
            vm: strike.server,
            shared: strike.shared,
            at: now - Duration::from_millis(strike.age_ms),
        };
        app.quarantine.borrow_mut().strike(now, &strike);
    }
    if let Some(text) = hello.text {
        follow::adopt(app, text.into_vec(), "peer");
    }
}

/// Answers a message; none if it can't be read.
pub fn answer(app: &App, body: &[u8]) -> Option<Vec<u8>> {
    let message: Hello = rmp_serde::from_slice(body).ok()?;
    let known = message.config;
    take(app, message);
    rmp_serde::to_vec(&hello(app, Some(known))).ok()
}

/// Calls other gateways for the life of the process.
pub async fn run(app: Rc<App>) {
    loop {
        let chosen = {
            let now = app.now();
            let mut peers = app.peers.borrow_mut();
            peers.now = now;
            let list: Vec<SocketAddr> = peers.known.keys().copied().collect();
            let mut rng = app.rng.borrow_mut();
            list.choose_multiple(&mut *rng, FANOUT)
                .copied()
                .collect::<Vec<_>>()
        };
        for addr in chosen {
            let app = Rc::clone(&app);
            ntex::rt::spawn(async move { call(&app, addr).await });
        }
        sleep(ROUND).await;
    }
}

async fn call(app: &App, to: SocketAddr) {
    let Ok(body) = rmp_serde::to_vec(&hello(app, None)) else {
        return;
    };
    let request = Request {
        to,
        method: Method::POST,
        path: PATH,
        content_type: MEDIA,
        headers: &[],
        body,
        limit: CALL_LIMIT,
    };
    match exchange(&app.peer_client, request).await {
        Ok(answer) if answer.status == 200 => {
            if let Ok(message) = rmp_serde::from_slice::<Hello>(&answer.body) {
                take(app, message);
            }
        }
        Ok(_) => {}
        Err(e) => report_lost(app, to, &e),
    }
}

/// Logs a gateway that has just stopped answering.
fn report_lost(app: &App, to: SocketAddr, error: &mustard_net::CallError) {
    let now = app.now();
    let heard = app.peers.borrow().known.get(&to).and_then(|p| p.heard);
    let just_lost = heard.is_some_and(|h| now.since(h) < 2 * ROUND * FANOUT as u32 * 2);
    if just_lost && let Some(log) = app.journal.admit(Topic::Dependency) {
        warn!(log, "peers: A gateway doesn't answer."; "peer" => %to, "error" => %error);
    }
}

/// Writes this gateway's row once and reads those of the others now and then.
pub async fn register(app: Rc<App>) {
    let key = format!("{ROWS}{}", app.peers.borrow().own);
    let mut written = false;
    loop {
        let next = Instant::now() + ROWS_PAUSE;
        if !written {
            let txn = Txn::default().put(key.clone(), app.node.name.clone());
            written = app.store.commit(txn).await.is_ok();
        }
        match app.store.scan(ROWS, "", ROWS_LIMIT).await {
            Ok(scan) => {
                let mut peers = app.peers.borrow_mut();
                let addrs = scan
                    .rows
                    .iter()
                    .filter_map(|r| r.key.strip_prefix(ROWS)?.parse().ok());
                for addr in addrs {
                    peers.learn(addr);
                }
            }
            Err(e) => {
                if let Some(log) = app.journal.admit(Topic::Dependency) {
                    warn!(log, "peers: The rows of gateways can't be read."; "error" => %e);
                }
            }
        }
        if written {
            sleep_until(next).await;
        } else {
            sleep(Duration::from_secs(1)).await;
        }
    }
}

/// The media type of messages between gateways.
pub fn media() -> &'static str {
    MEDIA
}

/// Makes a body of an encoded message.
pub fn body(bytes: Vec<u8>) -> Bytes {
    Bytes::from(bytes)
}
