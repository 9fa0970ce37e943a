//! Tells other gateways of the ends of servers without waiting for the next exchange: the collectors of a
//! content or segment of each end under it, and all gateways of those that may no longer run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::info;
use tokio::time::sleep;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::quarantine::{Content, Strike};
use mustard_policy::segments::SegmentStrike;
use mustard_policy::strike_news::StrikeNews;

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;
use crate::outliers::{self, OutlierMessage};
use crate::peer_codec;
use crate::quiet_servers::{self, SilentMessage};

/// The URL path of these messages, on the port for peers.
pub const PATH: &str = "/peer/strikes";
/// How long strikes are collected before they are sent: the end of a server shows in many requests.
const COLLECT_TIME: Duration = Duration::from_millis(100);

/// How often a report of a server at fault is sent to a gateway that doesn't answer; the regular exchange
/// with many gateways would take longer than the second within which ejections are to reach all of them.
const OUTLIER_TRIES: u32 = 2;

/// A strike in a message.
#[derive(Debug, Serialize, Deserialize)]
pub struct StrikeMessage {
    #[serde(rename = "c")]
    content: Fingerprint,
    #[serde(rename = "s")]
    server: String,
    /// The number of contents that got a strike for the same death.
    #[serde(rename = "n")]
    shared: u32,
    #[serde(rename = "a")]
    age_ms: u64,
    /// The variant of the content; absent in messages of older versions, which don't tell them apart.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    variant: Option<Fingerprint>,
}

impl StrikeMessage {
    /// Encodes a strike.
    pub fn encode(now: Moment, strike: Strike) -> Self {
        StrikeMessage {
            content: strike.content.fingerprint,
            variant: strike.content.variant,
            server: strike.vm,
            shared: strike.shared,
            age_ms: now.ms_since(strike.at),
        }
    }

    /// Returns the fields that versions know which decode messages by position.
    pub fn positions(&self) -> (Fingerprint, &str, u32, u64) {
        (self.content, &self.server, self.shared, self.age_ms)
    }

    fn decode(self, now: Moment) -> Strike {
        Strike {
            content: Content {
                fingerprint: self.content,
                variant: self.variant,
            },
            vm: self.server,
            shared: self.shared,
            at: now - Duration::from_millis(self.age_ms),
        }
    }
}

/// A strike against a segment in a message.
#[derive(Debug, Serialize, Deserialize)]
pub struct SegmentStrikeMessage {
    #[serde(rename = "g")]
    segment: Fingerprint,
    #[serde(rename = "s")]
    server: String,
    #[serde(rename = "c")]
    content: Fingerprint,
    #[serde(rename = "a")]
    age_ms: u64,
    #[serde(rename = "t")]
    is_trial: bool,
}

impl SegmentStrikeMessage {
    /// Encodes a strike.
    pub fn encode(now: Moment, strike: SegmentStrike) -> Self {
        SegmentStrikeMessage {
            segment: strike.segment,
            server: strike.process,
            content: strike.content,
            age_ms: now.ms_since(strike.at),
            is_trial: strike.is_trial,
        }
    }

    fn decode(self, now: Moment) -> SegmentStrike {
        SegmentStrike {
            segment: self.segment,
            process: self.server,
            content: self.content,
            at: now - Duration::from_millis(self.age_ms),
            is_trial: self.is_trial,
        }
    }
}

/// What a gateway is told at once.
#[derive(Debug, Serialize, Deserialize)]
struct NewsMessage {
    #[serde(rename = "f")]
    from: SocketAddr,
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    strikes: Vec<StrikeMessage>,
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    segment_strikes: Vec<SegmentStrikeMessage>,
    /// Whether the contents and segments may no longer run, which all gateways are told.
    #[serde(rename = "d", default)]
    is_settled: bool,
    /// Servers at fault.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    outliers: Vec<OutlierMessage>,
    /// Servers that don't answer the sender.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    silent: Vec<SilentMessage>,
}

impl NewsMessage {
    /// Encodes the message by position; see [`peer_codec`].
    fn encode_positions(&self) -> Option<Vec<u8>> {
        let strikes: Vec<_> = self.strikes.iter().map(StrikeMessage::positions).collect();
        let fields = (
            self.from,
            strikes,
            &self.segment_strikes,
            self.is_settled,
            &self.outliers,
        );
        rmp_serde::to_vec(&fields).ok()
    }
}

/// What is to be told.
#[derive(Debug, Default)]
pub struct News {
    contents: StrikeNews<Strike>,
    segments: StrikeNews<SegmentStrike>,
}

impl News {
    /// Records a strike that was seen here, and whether its content became quarantined by it.
    pub fn record_content(&mut self, strike: Strike, is_settled: bool) {
        if is_settled {
            self.contents.record_settled(strike.content.fingerprint);
        }
        self.contents
            .record_seen(strike.content.fingerprint, strike);
    }

    /// Records a strike against a segment that was seen here, and whether it became blocked by it.
    pub fn record_segment(&mut self, strike: SegmentStrike, is_settled: bool) {
        if is_settled {
            self.segments.record_settled(strike.segment);
        }
        self.segments.record_seen(strike.segment, strike);
    }

    fn is_empty(&self) -> bool {
        self.contents.is_empty() && self.segments.is_empty()
    }
}

/// Records a strike that another gateway has told; returns whether its content became quarantined by it.
pub fn record_strike(app: &App, from: SocketAddr, strike: StrikeMessage) -> bool {
    let now = app.now();
    let strike = strike.decode(now);
    let is_settled = app.quarantine.borrow_mut().record_strike(now, &strike);
    if is_settled {
        metric::count_strike("peer");
        if let Some(log) = app.log.logger_for(Topic::Server) {
            info!(log, "peers: A content is quarantined by a peer's strikes.";
                "content" => %strike.content.fingerprint, "peer" => %from);
        }
    }
    is_settled
}

/// Records a strike against a segment that another gateway has told; returns whether the segment became
/// blocked by it.
pub fn record_segment_strike(app: &App, from: SocketAddr, strike: SegmentStrikeMessage) -> bool {
    let now = app.now();
    let strike = strike.decode(now);
    let is_settled = app.segments.borrow_mut().record_strike(now, &strike);
    if is_settled {
        metric::count_segment_strike("peer");
        if let Some(log) = app.log.logger_for(Topic::Server) {
            info!(log, "peers: A segment is blocked by a peer's strikes.";
                "segment" => %strike.segment, "peer" => %from);
        }
    }
    is_settled
}

/// Applies what another gateway has told at once. What may no longer run by that is told to all, unless
/// the other gateway has done so. Returns whether the message could be decoded.
pub fn handle_message(app: &Rc<App>, body: &[u8]) -> bool {
    let Some(message) = peer_codec::decode::<NewsMessage>(body) else {
        return false;
    };
    outliers::apply_messages(app, message.from, message.outliers);
    quiet_servers::apply_messages(app, message.from, message.silent);
    let mut has_settled = false;
    for strike in message.strikes {
        let content = strike.content;
        if record_strike(app, message.from, strike) && !message.is_settled {
            app.news.borrow_mut().contents.record_settled(content);
            has_settled = true;
        }
    }
    for strike in message.segment_strikes {
        let segment = strike.segment;
        if record_segment_strike(app, message.from, strike) && !message.is_settled {
            app.news.borrow_mut().segments.record_settled(segment);
            has_settled = true;
        }
    }
    if has_settled {
        app.quarantined.notify_waiters();
        app.has_news.notify_one();
    }
    true
}

/// Tells other gateways for the life of the process.
pub async fn run(app: Rc<App>) {
    loop {
        app.has_news.notified().await;
        sleep(COLLECT_TIME).await;
        if !app.news.borrow().is_empty() {
            tell(&app);
        }
    }
}

fn tell(app: &Rc<App>) {
    let now = app.now();
    let (own_addr, peers) = {
        let peers = app.peers.borrow();
        let alive: Vec<SocketAddr> = peers.others(false).collect();
        (peers.own_addr(), alive)
    };
    let new_message = |is_settled| NewsMessage {
        from: own_addr,
        strikes: Vec::new(),
        segment_strikes: Vec::new(),
        is_settled,
        outliers: Vec::new(),
        silent: Vec::new(),
    };
    let names: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let own_name = own_addr.to_string();
    let mut news = app.news.borrow_mut();
    let mut told: Map<usize, NewsMessage> = Map::default();
    for (peer, strikes) in news.contents.take_seen(&own_name, &names) {
        let message = told.entry(peer).or_insert_with(|| new_message(false));
        let strikes = strikes.into_iter();
        message.strikes = strikes.map(|s| StrikeMessage::encode(now, s)).collect();
    }
    for (peer, strikes) in news.segments.take_seen(&own_name, &names) {
        let message = told.entry(peer).or_insert_with(|| new_message(false));
        let strikes = strikes.into_iter();
        message.segment_strikes = strikes
            .map(|s| SegmentStrikeMessage::encode(now, s))
            .collect();
    }
    for (peer, message) in told {
        send(app, peers[peer], &message, 1, metric::count_news);
    }
    let mut settled = new_message(true);
    let quarantine = app.quarantine.borrow();
    for content in news.contents.take_settled() {
        let strikes = quarantine.strikes_of(content);
        let strikes = strikes.map(|s| StrikeMessage::encode(now, s));
        settled.strikes.extend(strikes);
    }
    let filter = app.segments.borrow();
    for segment in news.segments.take_settled() {
        let strikes = filter.strikes_of(segment);
        let strikes = strikes.map(|s| SegmentStrikeMessage::encode(now, s));
        settled.segment_strikes.extend(strikes);
    }
    if !settled.strikes.is_empty() || !settled.segment_strikes.is_empty() {
        for peer in peers {
            send(app, peer, &settled, 1, metric::count_news);
        }
    }
}

/// Sends reports of servers at fault to all gateways that are alive; returns their number.
pub fn send_outliers(app: &Rc<App>, outliers: &[OutlierMessage]) -> usize {
    let (own_addr, peers) = {
        let peers = app.peers.borrow();
        let alive: Vec<SocketAddr> = peers.others(false).collect();
        (peers.own_addr(), alive)
    };
    let message = NewsMessage {
        from: own_addr,
        strikes: Vec::new(),
        segment_strikes: Vec::new(),
        is_settled: false,
        outliers: outliers.to_vec(),
        silent: Vec::new(),
    };
    for peer in &peers {
        send(
            app,
            *peer,
            &message,
            OUTLIER_TRIES,
            metric::count_outlier_report,
        );
    }
    peers.len()
}

/// Tells some gateways of a server that doesn't answer.
pub fn send_silent(app: &Rc<App>, peers: &[SocketAddr], silent: SilentMessage) {
    let message = NewsMessage {
        from: app.peers.borrow().own_addr(),
        strikes: Vec::new(),
        segment_strikes: Vec::new(),
        is_settled: false,
        outliers: Vec::new(),
        silent: vec![silent],
    };
    for peer in peers {
        send(app, *peer, &message, 1, metric::count_news);
    }
}

/// Sends a message, `tries` times at most, without waiting for the answer. One that is lost is made up for by the regular exchange.
fn send(app: &Rc<App>, to: SocketAddr, message: &NewsMessage, tries: u32, count: fn(&'static str)) {
    let Some(bodies) = peer_codec::encode(message).zip(message.encode_positions()) else {
        return;
    };
    let app = Rc::clone(app);
    ntex::rt::spawn(async move {
        let mut result = peer_codec::send(&app, to, PATH, &bodies).await;
        for _ in 1..tries {
            if result.is_ok() {
                break;
            }
            result = peer_codec::send(&app, to, PATH, &bodies).await;
        }
        count(if result.is_ok() { "told" } else { "lost" });
    });
}
