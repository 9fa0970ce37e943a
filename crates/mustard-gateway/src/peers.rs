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

use ntex::util::Bytes;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use slog::{info, warn};
use tokio::time::sleep;

use mustard_adapter::NodeSettings;
use mustard_adapter::store::FollowedTable;
use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::quarantine::{Clearance, Content};

use crate::app::{App, ConfigStamp};
use crate::crossing_share::{self, CrossingMessage};
use crate::limits::{self, LimitMessage};
use crate::log_limit::Topic;
use crate::outliers::{self, OutlierMessage};
use crate::peer_codec;
use crate::server_load::{self, LoadMessage};
use crate::store_watch;
use crate::strike_news::{self, SegmentStrikeMessage, StrikeMessage};

/// The URL path of the exchange of messages, on the port for peers.
pub const PATH: &str = "/peer/exchange";
/// The media type of messages between gateways.
pub const MEDIA_TYPE: &str = "application/msgpack";
/// The interval between rounds; with 340 gateways, a change reaches all of them in about 3 s.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// The number of live peers called in each round.
pub const FANOUT: usize = 2;
/// Each round also calls one of this many peers that aren't alive, as far as is known.
const OTHERS_ROUNDS: usize = 8;
/// The most of these in one round.
const MAX_OTHERS: usize = 8;
/// The most peers called at once with urgent strikes.
const NEWS_FANOUT: usize = 8;
/// The least time between two such calls.
const NEWS_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after its last message a peer counts as alive. Among 30 gateways, any two exchange
/// messages every 4 s on average; that time grows in proportion to the number of gateways.
const ALIVE_TIME: Duration = Duration::from_secs(20);
/// The most addresses in one message.
const MAX_ADDRS: usize = 24;
/// The most strikes, and the most clearances, in one message.
const MAX_QUARANTINE_ITEMS: usize = 64;
/// The most strikes against segments, and the most clearances of segments, in one message.
const MAX_SEGMENT_ITEMS: usize = 128;
/// The least number of gateways among which capacity is divided by one that has just started, as it
/// knows only few of its peers.
pub const MIN_GATEWAYS: usize = 4;
/// The time after its start in which a gateway doesn't know which of the others are alive.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// The largest message that is accepted.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    last_heard: Option<Moment>,
    /// Whether another peer has said that it is alive, and no call was made since.
    is_reported: bool,
}

impl Peer {
    fn is_alive(&self, now: Moment) -> bool {
        self.last_heard.is_some_and(|h| now.since(h) < ALIVE_TIME)
    }
}

/// The peers, and which of the store's tables this gateway can reach.
#[derive(Debug)]
pub struct Peers {
    own_addr: SocketAddr,
    known: Map<SocketAddr, Peer>,
    /// The largest number of gateways that the store's rows or another gateway named; `None` until then.
    counted: Option<usize>,
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
            counted: None,
            updated_at: Moment::default(),
            tables_reachable: [None; 2],
        }
    }

    /// Returns the number of peers that are alive.
    pub fn alive_count(&self) -> usize {
        self.others(false).count()
    }

    /// Returns whether a gateway that started `age` ago has had the time to hear from all live peers.
    pub fn has_heard_all(&self, age: Duration) -> bool {
        age >= STARTUP_TIME
    }

    /// Returns the number of gateways that capacity is divided among, this one included, by one that started
    /// `age` ago. Until it has heard from all live peers, those that it knows of count.
    pub fn share_count(&self, age: Duration) -> usize {
        let alive = self.alive_count() + 1;
        if self.has_heard_all(age) {
            alive
        } else {
            alive.max(self.total_or_known())
        }
    }

    /// Returns the number of peers that are known, alive or not.
    pub fn known_count(&self) -> usize {
        self.known.len()
    }

    /// Returns the largest number of gateways ever counted, this one included; `None` before the store's rows
    /// or another gateway have named it.
    pub fn total(&self) -> Option<usize> {
        self.counted.map(|count| count.max(self.known_count() + 1))
    }

    /// Returns the largest number of gateways ever counted; while it isn't known, the number of those that are
    /// known, at least [`MIN_GATEWAYS`].
    pub fn total_or_known(&self) -> usize {
        let known = self.known_count() + 1;
        self.total().unwrap_or(known.max(MIN_GATEWAYS))
    }

    /// Records that the addresses of all gateways in the store's rows were added.
    pub fn record_listed(&mut self) {
        self.counted = self.counted.max(Some(1));
    }

    /// Records the number of gateways that another one has counted.
    pub fn record_total(&mut self, total: usize) {
        self.counted = self.counted.max(Some(total));
    }

    /// Returns the number of live peers whose addresses sort before this gateway's.
    pub fn rank(&self) -> usize {
        self.others(false).filter(|a| *a < self.own_addr).count()
    }

    /// Returns whether a turn is this gateway's, which started `age` ago: the live gateways have turns one after
    /// the other. One that hasn't heard from all of them counts those that it knows of.
    pub fn has_turn(&self, turn: u64, age: Duration) -> bool {
        let others = || self.others(!self.has_heard_all(age));
        let rank = others().filter(|a| *a < self.own_addr).count() as u64;
        turn % (others().count() as u64 + 1) == rank
    }

    /// Returns the addresses of the peers that are alive, or of all that are known.
    pub fn others(&self, all: bool) -> impl Iterator<Item = SocketAddr> {
        let now = self.updated_at;
        let others = self
            .known
            .iter()
            .filter(move |(_, p)| all || p.is_alive(now));
        others.map(|(addr, _)| *addr)
    }

    /// Records whether a table of the store is reachable; tells whether that changed.
    pub fn set_table_reachable(&mut self, followed: FollowedTable, is_reachable: bool) -> bool {
        let slot = &mut self.tables_reachable[followed as usize];
        let changed = *slot != Some(is_reachable);
        *slot = Some(is_reachable);
        changed
    }

    /// Returns the address of this gateway, on the port for peers.
    pub fn own_addr(&self) -> SocketAddr {
        self.own_addr
    }

    /// Adds a peer, unless the address is this gateway's own.
    pub fn add(&mut self, addr: SocketAddr) {
        if addr != self.own_addr {
            self.known.entry(addr).or_default();
        }
    }

    /// Records a message from a peer; tells whether the peer didn't count as alive before.
    pub fn record_heard(&mut self, now: Moment, addr: SocketAddr) -> bool {
        self.updated_at = now;
        if addr == self.own_addr {
            return false;
        }
        let peer = self.known.entry(addr).or_default();
        let newly_alive = !peer.is_alive(now);
        peer.last_heard = Some(now);
        newly_alive
    }

    /// Returns the addresses of the peers that are alive, at most [`MAX_ADDRS`].
    pub fn shared_addrs(&self, now: Moment) -> Vec<SocketAddr> {
        let alive = self.known.iter().filter(|(_, p)| p.is_alive(now));
        let mut list: Vec<SocketAddr> = alive.map(|(addr, _)| *addr).collect();
        list.sort_unstable();
        list.truncate(MAX_ADDRS);
        list
    }

    /// Records that another peer has said that a peer is alive.
    pub fn record_reported(&mut self, now: Moment, addr: SocketAddr) {
        self.add(addr);
        if let Some(peer) = self.known.get_mut(&addr)
            && !peer.is_alive(now)
        {
            peer.is_reported = true;
        }
    }

    /// Chooses up to `alive` peers that are alive at random and, if `with_others`, those that were
    /// reported alive and some of the rest.
    pub fn choose(
        &mut self,
        now: Moment,
        alive: usize,
        with_others: bool,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        self.updated_at = now;
        let mut heard = Vec::new();
        let mut reported = Vec::new();
        let mut rest = Vec::new();
        for (addr, peer) in &mut self.known {
            if peer.is_alive(now) {
                heard.push(*addr);
            } else if with_others && std::mem::take(&mut peer.is_reported) {
                reported.push(*addr);
            } else {
                rest.push(*addr);
            }
        }
        let mut chosen: Vec<_> = heard.choose_multiple(rng, alive).copied().collect();
        if with_others {
            let others = (rest.len() / OTHERS_ROUNDS).clamp(1, MAX_OTHERS);
            let others = if heard.is_empty() {
                others.max(FANOUT)
            } else {
                others
            };
            chosen.extend(reported);
            chosen.extend(rest.choose_multiple(rng, others));
        }
        chosen
    }
}

/// A clearance in a message: a content, or a request with a segment, ran well, so earlier strikes
/// against it no longer count.
#[derive(Debug, Serialize, Deserialize)]
struct ClearedMessage {
    #[serde(rename = "c")]
    content: Fingerprint,
    #[serde(rename = "a")]
    age_ms: u64,
    /// The variant of the content; absent in messages of older versions, which don't tell them apart.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    variant: Option<Fingerprint>,
}

impl ClearedMessage {
    fn encode(now: Moment, clearance: Clearance) -> Self {
        ClearedMessage {
            content: clearance.content.fingerprint,
            age_ms: now.ms_since(clearance.at),
            variant: clearance.content.variant,
        }
    }

    fn decode(self, now: Moment) -> Clearance {
        Clearance {
            content: Content {
                fingerprint: self.content,
                variant: self.variant,
            },
            at: now - Duration::from_millis(self.age_ms),
        }
    }
}

/// A message between gateways.
///
/// Fields are encoded by name; see [`peer_codec`] for how a field is added. Messages of older versions
/// are encoded by position, in the order of the fields up to `crossings`.
#[derive(Debug, Serialize, Deserialize)]
struct PeerMessage {
    #[serde(rename = "f")]
    from: SocketAddr,
    /// The stamp of the sender's configuration.
    #[serde(rename = "c")]
    config: ConfigStamp,
    /// How long ago the store last had no newer one, as far as the sender knows, in milliseconds.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    confirmed_ms: Option<u64>,
    /// The peers that the sender has heard from lately.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    peers: Vec<SocketAddr>,
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    strikes: Vec<StrikeMessage>,
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    cleared: Vec<ClearedMessage>,
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    segment_strikes: Vec<SegmentStrikeMessage>,
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    cleared_segments: Vec<ClearedMessage>,
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    limits: Vec<LimitMessage>,
    /// The configuration, if the receiver has an older version.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    text: Option<ByteBuf>,
    /// Servers at fault.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    outliers: Vec<OutlierMessage>,
    /// The demand for crossings.
    #[serde(
        rename = "x",
        default,
        skip_serializing_if = "CrossingMessage::is_empty"
    )]
    crossings: CrossingMessage,
    /// The load of servers; absent in messages of older versions.
    #[serde(rename = "m", default, skip_serializing_if = "LoadMessage::is_empty")]
    loads: LoadMessage,
    /// The largest number of gateways that the sender has counted; absent in messages of older versions.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    total: Option<usize>,
}

impl PeerMessage {
    /// Encodes the message by position, for gateways of versions that decode nothing else. They have exactly
    /// these fields and can't decode a longer message; fields added since are left out.
    fn encode_positions(&self) -> Option<Vec<u8>> {
        let strikes: Vec<_> = self.strikes.iter().map(StrikeMessage::positions).collect();
        let positions = |c: &ClearedMessage| (c.content, c.age_ms);
        let cleared: Vec<_> = self.cleared.iter().map(positions).collect();
        let fields = (
            self.from,
            self.config,
            self.confirmed_ms,
            &self.peers,
            strikes,
            cleared,
            &self.segment_strikes,
            &self.cleared_segments,
            &self.limits,
            &self.text,
            &self.outliers,
            &self.crossings,
        );
        rmp_serde::to_vec(&fields).ok()
    }
}

/// Builds a message; it holds the configuration if that is newer than `newer_than`.
fn build_message(app: &App, newer_than: Option<ConfigStamp>) -> PeerMessage {
    let stamp = app.config_stamp.get();
    let send = newer_than.is_some_and(|known| stamp.replaces(known));
    let text = send.then(|| ByteBuf::from(app.config_text.borrow().as_ref().clone()));
    let now = app.now();
    let quarantine = app.quarantine.borrow();
    let strikes = quarantine.strikes_to_share(now, MAX_QUARANTINE_ITEMS);
    let cleared = quarantine.clearances_to_share(now, MAX_QUARANTINE_ITEMS);
    let filter = app.segments.borrow();
    let segment_strikes = filter.strikes_to_share(now, MAX_SEGMENT_ITEMS);
    let cleared_segments = filter.clearances_to_share(now, MAX_SEGMENT_ITEMS);
    let to_message = |c: Clearance| ClearedMessage::encode(now, c);
    let peers = app.peers.borrow();
    PeerMessage {
        from: peers.own_addr,
        config: stamp,
        confirmed_ms: app.config_confirmed.get().map(|at| now.ms_since(at)),
        peers: peers.shared_addrs(now),
        strikes: strikes
            .into_iter()
            .map(|s| StrikeMessage::encode(now, s))
            .collect(),
        cleared: cleared.into_iter().map(to_message).collect(),
        segment_strikes: segment_strikes
            .into_iter()
            .map(|s| SegmentStrikeMessage::encode(now, s))
            .collect(),
        cleared_segments: cleared_segments.into_iter().map(to_message).collect(),
        limits: limits::messages(app),
        text,
        outliers: outliers::messages(app),
        crossings: crossing_share::message(app),
        loads: server_load::message(app),
        total: peers.total(),
    }
}

fn apply_message(app: &App, message: PeerMessage) {
    let now = app.now();
    let newly_alive = {
        let mut peers = app.peers.borrow_mut();
        for addr in message.peers {
            peers.record_reported(now, addr);
        }
        if let Some(total) = message.total {
            peers.record_total(total);
        }
        peers.record_heard(now, message.from)
    };
    if newly_alive && let Some(log) = app.log.logger_for(Topic::Dependency) {
        info!(log, "peers: A gateway answers."; "peer" => %message.from);
    }
    for cleared in message.cleared {
        let clearance = cleared.decode(now);
        app.quarantine.borrow_mut().apply_clearance(now, clearance);
    }
    for strike in message.strikes {
        strike_news::record_strike(app, message.from, strike);
    }
    apply_segments(
        app,
        message.from,
        message.segment_strikes,
        message.cleared_segments,
    );
    limits::apply_messages(app, message.limits);
    outliers::apply_messages(app, message.from, message.outliers);
    crossing_share::apply_message(app, message.crossings);
    server_load::apply_message(app, &message.loads);
    if let Some(text) = message.text {
        store_watch::adopt_peer_config(app, text.into_vec(), message.config);
    }
    let own = app.config_stamp.get();
    let is_same = (own.version, own.era) == (message.config.version, message.config.era);
    if let Some(age_ms) = message.confirmed_ms.filter(|_| is_same) {
        app.confirm_config(now - Duration::from_millis(age_ms));
    }
}

fn apply_segments(
    app: &App,
    from: SocketAddr,
    strikes: Vec<SegmentStrikeMessage>,
    cleared: Vec<ClearedMessage>,
) {
    let now = app.now();
    for cleared in cleared {
        let clearance = cleared.decode(now);
        app.segments.borrow_mut().apply_clearance(now, clearance);
    }
    for strike in strikes {
        strike_news::record_segment_strike(app, from, strike);
    }
}

/// Applies a message and returns the answer, which is encoded as the message is; `None` if the message
/// can't be decoded.
pub fn handle_message(app: &App, body: &[u8]) -> Option<Vec<u8>> {
    let message: PeerMessage = peer_codec::decode(body)?;
    let known = message.config;
    apply_message(app, message);
    let answer = build_message(app, Some(known));
    if peer_codec::is_positional(body) {
        answer.encode_positions()
    } else {
        peer_codec::encode(&answer)
    }
}

/// Calls peers for the life of the process: in each round a few of those that are alive and some of
/// the others, and up to [`NEWS_FANOUT`] of those that are alive at once when a strike recorded here is
/// urgent.
pub async fn run(app: Rc<App>) {
    loop {
        call_peers(&app, FANOUT, true);
        limits::divide_again(&app);
        let news = tokio::time::timeout(ROUND_INTERVAL, app.strike_news.notified()).await;
        if news.is_ok() {
            call_peers(&app, NEWS_FANOUT, false);
            sleep(NEWS_INTERVAL).await;
        }
    }
}

/// Calls the peers that [`Peers::choose`] returns.
fn call_peers(app: &Rc<App>, alive: usize, with_others: bool) {
    let now = app.now();
    let rng = &mut *app.rng.borrow_mut();
    let chosen = app.peers.borrow_mut().choose(now, alive, with_others, rng);
    for addr in chosen {
        let app = Rc::clone(app);
        ntex::rt::spawn(async move { call_peer(&app, addr).await });
    }
}

async fn call_peer(app: &App, to: SocketAddr) {
    let message = build_message(app, None);
    let Some(bodies) = peer_codec::encode(&message).zip(message.encode_positions()) else {
        return;
    };
    match peer_codec::send(app, to, PATH, &bodies).await {
        Ok(answer) if answer.status == 200 => {
            if let Some(message) = peer_codec::decode::<PeerMessage>(&answer.body) {
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

/// Returns an encoded message as a response body.
pub fn message_body(bytes: Vec<u8>) -> Bytes {
    Bytes::from(bytes)
}
