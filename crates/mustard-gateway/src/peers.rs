//! Gossip between gateways: the configuration, and strikes against request contents. A strike says
//! that a server died while it ran the content. A content is what repeated requests have in common,
//! identified by its fingerprint.
//!
//! The other gateways are this gateway's peers. In each round it calls a few of them, chosen at
//! random. News reaches all gateways in a number of rounds that grows with the logarithm of their
//! number, even while the store refuses some of them.

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

use mustard_adapter::NodeSettings;
use mustard_adapter::store::FollowedTable;
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_net::http::{Request, exchange};
use mustard_platform::table::{Table, Txn};
use mustard_policy::quarantine::{Clearance, Strike};

use crate::app::{App, ConfigStamp};
use crate::log_limit::Topic;
use crate::store_watch;

/// The URL path of the exchange of messages, on the port for peers.
pub const PATH: &str = "/peer/exchange";
const MEDIA_TYPE: &str = "application/msgpack";
/// The interval between rounds; with 340 gateways, a change reaches all of them in about 3 s.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// The number of peers called in each round.
const FANOUT: usize = 2;
/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after its last message a peer counts as alive. Among 30 gateways, any two exchange
/// messages every 4 s on average; that time grows in proportion to the number of gateways.
const ALIVE_TIME: Duration = Duration::from_secs(20);
/// The most addresses in one message.
const MAX_ADDRS: usize = 24;
/// The most strikes, and the most clearances, in one message.
const MAX_QUARANTINE_ITEMS: usize = 64;
/// The prefix of the keys of the gateways' rows in the store; each key ends with the gateway's
/// address.
const ROW_PREFIX: &str = "gateway/";
/// The interval between two reads of the gateways' rows.
const ROW_READ_INTERVAL: Duration = Duration::from_secs(15);
const MAX_ROWS: usize = 400;
/// The largest message that is accepted.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    last_heard: Option<Moment>,
}

/// The peers, and which of the store's tables this gateway can reach.
#[derive(Debug)]
pub struct Peers {
    own_addr: SocketAddr,
    known: Map<SocketAddr, Peer>,
    /// When the set was last updated; [`Peers::alive_count`] and [`Peers::rank`] count from it.
    updated_at: Moment,
    /// Whether each [`FollowedTable`] of the store is reachable; `None` before the first call.
    tables_reachable: [Option<bool>; 2],
}

impl Peers {
    /// Creates the set with the gateways that the settings name as seeds.
    pub fn new(node: &NodeSettings) -> Self {
        let own_addr = SocketAddr::new(node.ip, node.peer_port);
        let seeds = node
            .seeds
            .iter()
            .map(|ip| SocketAddr::new(*ip, node.peer_port));
        Peers {
            own_addr,
            known: seeds
                .filter(|a| *a != own_addr)
                .map(|a| (a, Peer::default()))
                .collect(),
            updated_at: Moment::default(),
            tables_reachable: [None; 2],
        }
    }

    /// Returns the number of peers that are alive.
    pub fn alive_count(&self) -> usize {
        let alive = |p: &&Peer| {
            p.last_heard
                .is_some_and(|h| self.updated_at.since(h) < ALIVE_TIME)
        };
        self.known.values().filter(alive).count()
    }

    /// Returns the number of peers that are known, alive or not.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// Returns the number of live peers whose addresses sort before this gateway's.
    pub fn rank(&self) -> usize {
        let alive = |p: &Peer| {
            p.last_heard
                .is_some_and(|h| self.updated_at.since(h) < ALIVE_TIME)
        };
        let before = self
            .known
            .iter()
            .filter(|(a, p)| **a < self.own_addr && alive(p));
        before.count()
    }

    /// Records whether a table of the store is reachable; tells whether that changed.
    pub fn set_table_reachable(&mut self, followed: FollowedTable, is_reachable: bool) -> bool {
        let slot = &mut self.tables_reachable[followed as usize];
        let changed = *slot != Some(is_reachable);
        *slot = Some(is_reachable);
        changed
    }

    fn add(&mut self, addr: SocketAddr) {
        if addr != self.own_addr {
            self.known.entry(addr).or_default();
        }
    }

    /// Records a message from a peer; tells whether the peer didn't count as alive before.
    fn record_heard(&mut self, now: Moment, addr: SocketAddr) -> bool {
        self.updated_at = now;
        if addr == self.own_addr {
            return false;
        }
        let peer = self.known.entry(addr).or_default();
        let newly_alive = peer.last_heard.is_none_or(|h| now.since(h) >= ALIVE_TIME);
        peer.last_heard = Some(now);
        newly_alive
    }

    fn shared_addrs(&self) -> Vec<SocketAddr> {
        let mut list: Vec<SocketAddr> = self.known.keys().copied().collect();
        list.sort_unstable();
        list.truncate(MAX_ADDRS);
        list
    }
}

/// A strike in a message.
#[derive(Debug, Serialize, Deserialize)]
struct StrikeMessage {
    content: Fingerprint,
    server: String,
    /// The number of contents that got a strike for the same death.
    shared: u32,
    age_ms: u64,
}

/// A clearance in a message: a content ran to its end, so earlier strikes against it no longer
/// count.
#[derive(Debug, Serialize, Deserialize)]
struct ClearedMessage {
    content: Fingerprint,
    age_ms: u64,
}

/// A message between gateways.
#[derive(Debug, Serialize, Deserialize)]
struct PeerMessage {
    from: SocketAddr,
    /// The version and era of the sender's configuration.
    config: ConfigStamp,
    peers: Vec<SocketAddr>,
    strikes: Vec<StrikeMessage>,
    cleared: Vec<ClearedMessage>,
    /// The configuration, if the receiver has an older version.
    text: Option<ByteBuf>,
}

/// Builds a message; it holds the configuration if that is newer than `newer_than`.
fn build_message(app: &App, newer_than: Option<ConfigStamp>) -> PeerMessage {
    let stamp = app.config_stamp();
    let send = newer_than.is_some_and(|known| known < stamp);
    let text = send.then(|| ByteBuf::from(app.config_text.borrow().as_ref().clone()));
    let now = app.now();
    let quarantine = app.quarantine.borrow();
    let strikes = quarantine.strikes(now);
    let cleared = quarantine.clearances(now).take(MAX_QUARANTINE_ITEMS);
    let peers = app.peers.borrow();
    PeerMessage {
        from: peers.own_addr,
        config: stamp,
        peers: peers.shared_addrs(),
        strikes: strikes
            .into_iter()
            .take(MAX_QUARANTINE_ITEMS)
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

fn apply_message(app: &App, message: PeerMessage) {
    let now = app.now();
    let newly_alive = {
        let mut peers = app.peers.borrow_mut();
        for addr in message.peers {
            peers.add(addr);
        }
        peers.record_heard(now, message.from)
    };
    if newly_alive && let Some(log) = app.log.logger_for(Topic::Dependency) {
        info!(log, "peers: A gateway answers."; "peer" => %message.from);
    }
    for cleared in message.cleared {
        let clearance = Clearance {
            fingerprint: cleared.content,
            at: now - Duration::from_millis(cleared.age_ms),
        };
        app.quarantine.borrow_mut().apply_clearance(now, clearance);
    }
    for strike in message.strikes {
        let strike = Strike {
            fingerprint: strike.content,
            vm: strike.server,
            shared: strike.shared,
            at: now - Duration::from_millis(strike.age_ms),
        };
        app.quarantine.borrow_mut().record_strike(now, &strike);
    }
    if let Some(text) = message.text {
        store_watch::adopt_config(app, text.into_vec(), message.config.era, "peer");
    }
}

/// Applies a message and returns the answer; `None` if the message can't be decoded.
pub fn handle_message(app: &App, body: &[u8]) -> Option<Vec<u8>> {
    let message: PeerMessage = rmp_serde::from_slice(body).ok()?;
    let known = message.config;
    apply_message(app, message);
    rmp_serde::to_vec(&build_message(app, Some(known))).ok()
}

/// Calls peers for the life of the process.
pub async fn run(app: Rc<App>) {
    loop {
        let chosen = {
            let now = app.now();
            let mut peers = app.peers.borrow_mut();
            peers.updated_at = now;
            let list: Vec<SocketAddr> = peers.known.keys().copied().collect();
            let mut rng = app.rng.borrow_mut();
            list.choose_multiple(&mut *rng, FANOUT)
                .copied()
                .collect::<Vec<_>>()
        };
        for addr in chosen {
            let app = Rc::clone(&app);
            ntex::rt::spawn(async move { call_peer(&app, addr).await });
        }
        sleep(ROUND_INTERVAL).await;
    }
}

async fn call_peer(app: &App, to: SocketAddr) {
    let Ok(body) = rmp_serde::to_vec(&build_message(app, None)) else {
        return;
    };
    let request = Request {
        to,
        method: Method::POST,
        path: PATH,
        content_type: MEDIA_TYPE,
        headers: &[],
        body,
        timeout: CALL_TIMEOUT,
    };
    match exchange(&app.peer_client, request).await {
        Ok(answer) if answer.status == 200 => {
            if let Ok(message) = rmp_serde::from_slice::<PeerMessage>(&answer.body) {
                apply_message(app, message);
            }
        }
        Ok(_) => {}
        Err(e) => log_unreachable(app, to, &e),
    }
}

/// Logs a failed call, but only if the peer was heard from within the last 4 s.
fn log_unreachable(app: &App, to: SocketAddr, error: &mustard_net::CallError) {
    let now = app.now();
    let heard = app.peers.borrow().known.get(&to).and_then(|p| p.last_heard);
    let just_lost = heard.is_some_and(|h| now.since(h) < 2 * ROUND_INTERVAL * FANOUT as u32 * 2);
    if just_lost && let Some(log) = app.log.logger_for(Topic::Dependency) {
        warn!(log, "peers: A gateway doesn't answer."; "peer" => %to, "error" => %error);
    }
}

/// Writes this gateway's address to the store once, and reads those of all gateways at intervals.
pub async fn sync_peer_rows(app: Rc<App>) {
    let key = format!("{ROW_PREFIX}{}", app.peers.borrow().own_addr);
    let mut written = false;
    loop {
        let next = Instant::now() + ROW_READ_INTERVAL;
        if !written {
            let txn = Txn::default().put(key.clone(), app.node.name.clone());
            written = app.store.commit(txn).await.is_ok();
        }
        match app.store.scan(ROW_PREFIX, "", MAX_ROWS).await {
            Ok(scan) => {
                let mut peers = app.peers.borrow_mut();
                let addrs = scan
                    .rows
                    .iter()
                    .filter_map(|r| r.key.strip_prefix(ROW_PREFIX)?.parse().ok());
                for addr in addrs {
                    peers.add(addr);
                }
            }
            Err(e) => {
                if let Some(log) = app.log.logger_for(Topic::Dependency) {
                    warn!(log, "peers: The gateways' rows can't be read."; "error" => %e);
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

/// Returns the media type of messages between gateways.
pub fn media_type() -> &'static str {
    MEDIA_TYPE
}

/// Returns an encoded message as a response body.
pub fn message_body(bytes: Vec<u8>) -> Bytes {
    Bytes::from(bytes)
}
