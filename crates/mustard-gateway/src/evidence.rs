//! Keeps the evidence against contents and segments in the platform's store, so that verdicts which need the ends
//! of several servers don't start anew when all gateways end.
//!
//! Each gateway writes what it has seen itself, a batch at a time: the ends of servers, and what clears the contents and
//! segments that they count against. A gateway that starts reads what is there. Rows are never changed; any gateway
//! removes those that no longer count.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::sleep;

use mustard_core::clock::{Clock, Moment};
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::Era;
use mustard_platform::Result;
use mustard_platform::table::{Row, Table, Txn};
use mustard_policy::quarantine::{Clearance, Content, Strike};
use mustard_policy::segments::SegmentStrike;

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;

/// How long evidence is collected before it is written: the end of a server shows in many requests.
const COLLECT_TIME: Duration = Duration::from_millis(100);
/// The least time between two writes of a gateway, and of all gateways together.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
const SHARED_INTERVAL: Duration = Duration::from_millis(10);
/// How long clearances wait for a strike to be written with.
const CLEARANCE_TIME: Duration = Duration::from_secs(3);
/// The interval between two looks at the state of the store.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after a failed call: several fit into the time after which a gateway counts as in touch.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// When the rows are read again after a start beside no other gateway, as processes that ended meanwhile may have
/// written some.
const REREAD_TIME: Duration = Duration::from_secs(2);
/// How much earlier than its write a row may be named, by the clocks of two machines.
const CLOCK_MARGIN: Duration = Duration::from_secs(15);
/// After this time nothing in a row counts any longer.
const ROW_TIME: Duration = Duration::from_secs(660);
/// The mean interval between two looks of a gateway for rows of that age.
const SWEEP_INTERVAL: Duration = Duration::from_secs(300);
/// The rows that are looked at, and the most that one transaction removes.
const SWEEP_ROWS: usize = 90;
/// The most rows that one call reads.
const PAGE_ROWS: usize = 400;
/// The most rows of one transaction, and the size from which on a row is full, in bytes.
const MAX_ROWS: usize = 20;
const ROW_BYTES: usize = 24_000;
/// The most items that wait to be written.
const MAX_PENDING: usize = 4_096;
/// The most strikes of each kind that are written again after the store was away or was restored.
const MAX_REWRITTEN: usize = 300;
/// How long before the store was found to be away a strike may have been lost.
const OUTAGE_MARGIN: Duration = Duration::from_secs(5);
/// The digits of the time in a row's key, so that keys are in the order of time.
const TIME_DIGITS: usize = 13;

/// The end of a server under the segments of a prompt.
#[derive(Clone, Debug)]
struct SegmentEnd {
    segments: Vec<Fingerprint>,
    content: Fingerprint,
    process: String,
    at: Moment,
}

/// A piece of evidence that isn't in the store yet.
#[derive(Clone, Debug)]
enum Item {
    End(Strike),
    SegmentEnd(SegmentEnd),
    Cleared(Clearance),
    ClearedSegment(Clearance),
}

/// The evidence that this gateway has yet to write.
#[derive(Debug, Default)]
pub struct Evidence {
    pending: Vec<Item>,
}

impl Evidence {
    /// Records an end under a content.
    pub fn record_end(&mut self, strike: Strike) {
        self.add(vec![Item::End(strike)]);
    }

    /// Records an end under segments of a prompt.
    pub fn record_segments(
        &mut self,
        segments: &[Fingerprint],
        content: Fingerprint,
        process: String,
        at: Moment,
    ) {
        self.add(vec![Item::SegmentEnd(SegmentEnd {
            segments: segments.to_vec(),
            content,
            process,
            at,
        })]);
    }

    /// Adds items to those that wait.
    fn add(&mut self, mut items: Vec<Item>) {
        self.pending.append(&mut items);
        self.drop_oldest();
    }

    /// Puts items back that couldn't be written, before those that came since.
    fn put_back(&mut self, mut items: Vec<Item>) {
        items.append(&mut self.pending);
        self.pending = items;
        self.drop_oldest();
    }

    /// Drops the oldest items if there are too many, as while the store is away for long.
    fn drop_oldest(&mut self) {
        let excess = self.pending.len().saturating_sub(MAX_PENDING);
        self.pending.drain(..excess);
    }
}

/// The content of a row, stored as JSON.
#[derive(Debug, Default, Serialize, Deserialize)]
struct EvidenceRow {
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    ends: Vec<EndItem>,
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    segment_ends: Vec<SegmentEndItem>,
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    cleared: Vec<ClearedItem>,
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    cleared_segments: Vec<ClearedItem>,
}

#[derive(Debug, Serialize, Deserialize)]
struct EndItem {
    #[serde(rename = "c")]
    content: Fingerprint,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    variant: Option<Fingerprint>,
    #[serde(rename = "p")]
    process: String,
    #[serde(rename = "n")]
    shared: u32,
    /// When the process ended, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    at_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct SegmentEndItem {
    #[serde(rename = "g")]
    segments: Vec<Fingerprint>,
    #[serde(rename = "c")]
    content: Fingerprint,
    #[serde(rename = "p")]
    process: String,
    /// Those of the segments for which the run was a trial.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    tried: Vec<Fingerprint>,
    #[serde(rename = "t")]
    at_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct ClearedItem {
    #[serde(rename = "c")]
    content: Fingerprint,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    variant: Option<Fingerprint>,
    #[serde(rename = "t")]
    at_ms: u64,
}

impl EvidenceRow {
    /// Returns roughly how many bytes the row takes.
    fn size(&self) -> usize {
        let segments: usize = self.segment_ends.iter().map(|e| e.segments.len()).sum();
        let cleared = self.cleared.len() + self.cleared_segments.len();
        180 * self.ends.len() + 140 * self.segment_ends.len() + 36 * segments + 110 * cleared
    }
}

/// Writes evidence for the life of the process.
pub(crate) async fn write(app: Rc<App>) {
    let mut watch = StoreWatch::new(&app);
    let mut retry_delay = RETRY_DELAY;
    let mut idle = Duration::ZERO;
    loop {
        let has_end = tokio::select! {
            () = app.has_evidence.notified() => true,
            () = sleep(WATCH_INTERVAL) => false,
        };
        watch.update(&app);
        // Whoever follows the store's tables finds out when it is back.
        if app.store_failed.get() {
            continue;
        }
        idle += WATCH_INTERVAL;
        if !has_end && app.evidence.borrow().pending.is_empty() && idle < CLEARANCE_TIME {
            continue;
        }
        idle = Duration::ZERO;
        sleep(COLLECT_TIME).await;
        let items = take_items(&app);
        if items.is_empty() {
            continue;
        }
        match write_items(&app, &items).await {
            Ok(()) => {
                metric::count_store_call("evidence", "ok");
                log_written(&app, &items);
                retry_delay = RETRY_DELAY;
                sleep(write_interval(&app)).await;
            }
            Err(e) => {
                metric::count_store_call("evidence", "failed");
                if let Some(log) = app.log.logger_for(Topic::Dependency) {
                    warn!(log, "store: Evidence can't be written."; "items" => items.len(),
                        "error" => %e);
                }
                app.evidence.borrow_mut().put_back(items);
                sleep(retry_delay).await;
                retry_delay = MAX_RETRY_DELAY.min(retry_delay * 2);
                app.has_evidence.notify_one();
            }
        }
    }
}

fn log_written(app: &App, items: &[Item]) {
    if let Some(log) = app.log.logger_for(Topic::Dependency) {
        let is_clearance = |i: &&Item| matches!(i, Item::Cleared(_) | Item::ClearedSegment(_));
        let cleared = items.iter().filter(is_clearance).count();
        info!(log, "store: Evidence is written."; "ends" => items.len() - cleared,
            "cleared" => cleared);
    }
}

/// Returns the time until the next write, so that all gateways together leave room for the other calls.
fn write_interval(app: &App) -> Duration {
    WRITE_INTERVAL.max(SHARED_INTERVAL * app.gateway_count() as u32)
}

/// Notices that the store may have lost evidence, or that nobody could write it.
struct StoreWatch {
    era: Era,
    recovered: Option<Moment>,
    /// When the store was last found to be there.
    sound_at: Moment,
}

impl StoreWatch {
    fn new(app: &App) -> Self {
        StoreWatch {
            era: app.store.era(),
            recovered: app.store_recovered.get(),
            sound_at: app.now(),
        }
    }

    /// Adds the evidence that is to be written again to the pending items. Who saw it may have ended while the
    /// store was away, so each gateway writes what it knows.
    fn update(&mut self, app: &App) {
        let (now, era) = (app.now(), app.store.era());
        let recovered = app.store_recovered.get();
        if era != self.era && self.era != Era::default() {
            add_known(app, Moment::default());
        } else if recovered != self.recovered {
            add_known(app, self.sound_at - OUTAGE_MARGIN);
        }
        (self.era, self.recovered) = (era, recovered);
        if !app.store_failed.get() {
            self.sound_at = now;
        }
    }
}

/// Adds the strikes for ends since a moment, and the clearances that are told to other gateways.
fn add_known(app: &App, since: Moment) {
    let now = app.now();
    let (quarantine, filter) = (app.quarantine.borrow(), app.segments.borrow());
    let ends = quarantine.strikes_to_share(now, MAX_REWRITTEN);
    let ends = ends.into_iter().filter(|s| s.at >= since);
    let segment_ends = filter.strikes_to_share(now, MAX_REWRITTEN).into_iter();
    let segment_ends = segment_ends.filter(|s| s.at >= since).map(|s| SegmentEnd {
        segments: vec![s.segment],
        content: s.content,
        process: s.process,
        at: s.at,
    });
    let cleared = quarantine.clearances_to_share(now, MAX_REWRITTEN);
    let cleared = cleared.into_iter().filter(|c| c.at >= since);
    let acquitted = filter.clearances_to_share(now, MAX_REWRITTEN);
    let acquitted = acquitted.into_iter().filter(|c| c.at >= since);
    let mut items: Vec<Item> = ends.map(Item::End).collect();
    items.extend(segment_ends.map(Item::SegmentEnd));
    items.extend(cleared.map(Item::Cleared));
    items.extend(acquitted.map(Item::ClearedSegment));
    app.evidence.borrow_mut().add(items);
}

/// Removes the pending items, together with the clearances that arose since, and returns them.
fn take_items(app: &App) -> Vec<Item> {
    let mut items = std::mem::take(&mut app.evidence.borrow_mut().pending);
    let cleared = app.quarantine.borrow_mut().take_clearances();
    items.extend(cleared.into_iter().map(Item::Cleared));
    let acquitted = app.segments.borrow_mut().take_clearances();
    items.extend(acquitted.into_iter().map(Item::ClearedSegment));
    items
}

async fn write_items(app: &App, items: &[Item]) -> Result<()> {
    let rows = encode_rows(app, items);
    let (wall_ms, own_addr) = (app.clock.wall_ms(), app.peers.borrow().own_addr());
    let mut count = 0;
    for chunk in rows.chunks(MAX_ROWS) {
        let mut txn = Txn::default();
        for row in chunk {
            txn = txn.put(row_key(wall_ms, own_addr, count), row.clone());
            count += 1;
        }
        app.evidence_store.commit(txn).await?;
    }
    Ok(())
}

fn row_key(wall_ms: u64, own_addr: SocketAddr, number: usize) -> String {
    format!("{wall_ms:0TIME_DIGITS$}/{own_addr}/{number}")
}

/// Returns when a row was written, by the clock of its writer in milliseconds since the Unix epoch.
fn row_time(key: &str) -> Option<u64> {
    key.get(..TIME_DIGITS)?.parse().ok()
}

fn encode_rows(app: &App, items: &[Item]) -> Vec<String> {
    let (now, wall_ms) = (app.now(), app.clock.wall_ms());
    let at_ms = |at: Moment| wall_ms.saturating_sub(now.ms_since(at));
    let encode_cleared = |c: &Clearance| ClearedItem {
        content: c.content.fingerprint,
        variant: c.content.variant,
        at_ms: at_ms(c.at),
    };
    let filter = app.segments.borrow();
    let mut rows = Vec::new();
    let mut row = EvidenceRow::default();
    for item in items {
        if row.size() >= ROW_BYTES {
            rows.push(std::mem::take(&mut row));
        }
        match item {
            Item::End(strike) => row.ends.push(EndItem {
                content: strike.content.fingerprint,
                variant: strike.content.variant,
                process: strike.vm.clone(),
                shared: strike.shared,
                at_ms: at_ms(strike.at),
            }),
            Item::SegmentEnd(end) => row.segment_ends.push(SegmentEndItem {
                segments: end.segments.clone(),
                content: end.content,
                process: end.process.clone(),
                tried: (end.segments.iter().copied())
                    .filter(|s| filter.ended_in_trial(*s, &end.process))
                    .collect(),
                at_ms: at_ms(end.at),
            }),
            Item::Cleared(clearance) => row.cleared.push(encode_cleared(clearance)),
            Item::ClearedSegment(clearance) => {
                row.cleared_segments.push(encode_cleared(clearance));
            }
        }
    }
    rows.push(row);
    // A row of plain fields is always encoded.
    let rows = rows.iter().filter_map(|r| serde_json::to_string(r).ok());
    rows.collect()
}

/// Reads the evidence at the start of the process and removes rows that no longer count, for its life.
///
/// Requests don't wait for it: what is sent before a gateway counts as in touch isn't held against it, and by then a
/// stable store has answered several calls.
pub(crate) async fn read(app: Rc<App>) {
    read_from(&app, "").await;
    sleep(REREAD_TIME).await;
    // Gateways that are alive tell of what they have seen themselves.
    if app.peers.borrow().others(false).next().is_none() {
        let margin = CLOCK_MARGIN.as_millis() as u64;
        let since = app.clock.wall_ms().saturating_sub(margin);
        read_from(&app, &format!("{since:0TIME_DIGITS$}")).await;
    }
    loop {
        let jitter = app.rng.borrow_mut().random_range(0.5..1.5);
        sleep(SWEEP_INTERVAL.mul_f64(jitter)).await;
        match app.evidence_store.scan("", "", SWEEP_ROWS).await {
            Ok(page) => remove_expired(&app, &page.rows).await,
            Err(e) => log_failed_read(&app, &e),
        }
    }
}

/// Reads the rows after a key, however often it takes.
async fn read_from(app: &App, after: &str) {
    let mut retry_delay = RETRY_DELAY;
    loop {
        match read_rows(app, after).await {
            Ok(rows) => {
                apply_rows(app, &rows);
                return remove_expired(app, &rows).await;
            }
            Err(e) => log_failed_read(app, &e),
        }
        sleep(retry_delay).await;
        retry_delay = MAX_RETRY_DELAY.min(retry_delay * 2);
    }
}

fn log_failed_read(app: &App, error: &mustard_platform::PlatformError) {
    if let Some(log) = app.log.logger_for(Topic::Dependency) {
        warn!(log, "store: Evidence can't be read."; "error" => %error);
    }
}

async fn read_rows(app: &App, after: &str) -> Result<Vec<Row>> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let last = rows.last().map_or(after, |r| &r.key).to_owned();
        let page = app.evidence_store.scan("", &last, PAGE_ROWS).await?;
        let more = page.more && !page.rows.is_empty();
        rows.extend(page.rows);
        if !more {
            return Ok(rows);
        }
    }
}

/// Removes rows in which nothing counts any longer, whoever wrote them.
async fn remove_expired(app: &App, rows: &[Row]) {
    let oldest = app
        .clock
        .wall_ms()
        .saturating_sub(ROW_TIME.as_millis() as u64);
    let expired = rows
        .iter()
        .filter(|r| row_time(&r.key).is_none_or(|at| at < oldest))
        .take(SWEEP_ROWS);
    let txn = expired.fold(Txn::default(), |txn, row| txn.delete(row.key.clone()));
    if txn.writes.is_empty() {
        return;
    }
    let count = txn.writes.len();
    match app.evidence_store.commit(txn).await {
        Ok(_) => metric::count_store_call("evidence", "removed"),
        // They are found again at the next look.
        Err(e) => {
            if let Some(log) = app.log.logger_for(Topic::Dependency) {
                warn!(log, "store: Old evidence can't be removed."; "rows" => count, "error" => %e);
            }
        }
    }
}

/// Records what rows say. Strikes that something clears don't count, whatever order the rows are in.
fn apply_rows(app: &App, rows: &[Row]) {
    let decoded = rows
        .iter()
        .filter_map(|r| serde_json::from_str::<EvidenceRow>(&r.value).ok());
    let rows: Vec<EvidenceRow> = decoded.collect();
    if rows.is_empty() {
        return;
    }
    let (now, wall_ms) = (app.now(), app.clock.wall_ms());
    let at = |at_ms: u64| now - Duration::from_millis(wall_ms.saturating_sub(at_ms));
    let decode_cleared = |item: &ClearedItem| Clearance {
        content: Content {
            fingerprint: item.content,
            variant: item.variant,
        },
        at: at(item.at_ms),
    };
    // Clearances that these rows give rise to are in the rows.
    let fresh = take_items(app);
    let mut quarantine = app.quarantine.borrow_mut();
    let mut filter = app.segments.borrow_mut();
    for item in rows.iter().flat_map(|r| &r.cleared) {
        quarantine.apply_clearance(now, decode_cleared(item));
    }
    let (mut ends, mut segment_ends, mut is_settled) = (0, 0, false);
    for item in rows.iter().flat_map(|r| &r.ends) {
        let strike = Strike {
            content: Content {
                fingerprint: item.content,
                variant: item.variant,
            },
            vm: item.process.clone(),
            shared: item.shared,
            at: at(item.at_ms),
        };
        ends += 1;
        if quarantine.record_strike(now, &strike) {
            metric::count_strike("row");
            is_settled = true;
        }
    }
    for item in rows.iter().flat_map(|r| &r.segment_ends) {
        segment_ends += 1;
        for segment in &item.segments {
            let strike = SegmentStrike {
                segment: *segment,
                process: item.process.clone(),
                content: item.content,
                at: at(item.at_ms),
                is_trial: item.tried.contains(segment),
            };
            if filter.record_strike(now, &strike) {
                metric::count_segment_strike("row");
                is_settled = true;
            }
        }
    }
    for item in rows.iter().flat_map(|r| &r.cleared_segments) {
        filter.apply_clearance(now, decode_cleared(item));
    }
    drop((quarantine, filter));
    let _known = take_items(app);
    app.evidence.borrow_mut().put_back(fresh);
    if is_settled {
        app.quarantined.notify_waiters();
    }
    if let Some(log) = app.log.logger_for(Topic::Dependency) {
        info!(log, "store: Evidence was read."; "rows" => rows.len(), "ends" => ends,
            "segment_ends" => segment_ends);
    }
}
