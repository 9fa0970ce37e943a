//! Keeps the gateways' own rows in the platform's store: the address of each gateway, by which the
//! others find it, and the quarantined contents and blocked segments, so that they outlast all
//! processes.
//!
//! Rows that were lost because the store was restored from an older copy are written again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::sleep;

use mustard_core::clock::{Clock, Moment};
use mustard_core::collections::Set;
use mustard_core::fingerprint::Fingerprint;
use mustard_platform::Result;
use mustard_platform::table::{Row, Table, Txn};
use mustard_policy::quarantine::{Content, Quarantine, Strike};
use mustard_policy::segments::SegmentStrike;

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;
use crate::strikes::is_blocked;

/// The prefix of the keys of the gateways' rows; each key ends with the gateway's address.
const GATEWAY_PREFIX: &str = "gateway/";
/// The prefix of the keys of the quarantined contents' rows; each key ends with the fingerprint.
const QUARANTINE_PREFIX: &str = "quarantine/";
/// The interval between two reads of the rows.
const READ_INTERVAL: Duration = Duration::from_secs(15);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The most rows that one call reads.
const PAGE_ROWS: usize = 400;
/// The most rows of a kind that one transaction writes or removes.
const MAX_WRITES: usize = 30;

/// The prefix of the keys of the blocked segments' rows; each key ends with the segment.
const SEGMENT_PREFIX: &str = "segment/";

/// The content of a quarantined content's row, stored as JSON.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineRow {
    strikes: Vec<StrikeRow>,
}

/// A strike in a row.
#[derive(Debug, Serialize, Deserialize)]
struct StrikeRow {
    /// The variant of the content; absent in rows of older versions, which don't tell them apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    variant: Option<Fingerprint>,
    process: String,
    shared: u32,
    /// When the process ended, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// The content of a blocked segment's row, stored as JSON.
#[derive(Debug, Serialize, Deserialize)]
struct SegmentRow {
    strikes: Vec<SegmentStrikeRow>,
}

/// A strike in a segment's row.
#[derive(Debug, Serialize, Deserialize)]
struct SegmentStrikeRow {
    process: String,
    content: Fingerprint,
    is_trial: bool,
    /// When the process ended, in milliseconds since the Unix epoch.
    at_ms: u64,
}

/// Reads the rows at intervals and writes those that are missing, for the life of the process.
pub async fn run(app: Rc<App>) {
    loop {
        let restored = app.store_restored.notified();
        let quarantined = app.quarantined.notified();
        let wait = match sync_rows(&app).await {
            Ok(()) => READ_INTERVAL,
            Err(e) => {
                if let Some(log) = app.log.logger_for(Topic::Dependency) {
                    warn!(log, "store: The gateways' own rows can't be read or written.";
                        "error" => %e);
                }
                RETRY_DELAY
            }
        };
        tokio::select! {
            () = sleep(wait) => {}
            () = restored => {}
            () = quarantined => {}
        }
    }
}

async fn sync_rows(app: &App) -> Result<()> {
    let rows = read_rows(app).await?;
    let mut listed = Set::default();
    let mut obsolete = Vec::new();
    for row in &rows {
        if let Some(addr) = row.key.strip_prefix(GATEWAY_PREFIX) {
            if let Ok(addr) = addr.parse::<SocketAddr>() {
                app.peers.borrow_mut().add(addr);
            }
        } else if let Some(content) = row.key.strip_prefix(QUARANTINE_PREFIX) {
            match parse_fingerprint(content) {
                Some(content) if adopt_quarantine(app, content, &row.value) => {
                    listed.insert(content);
                }
                // It is written again with more strikes.
                Some(content) if is_quarantined(&app.quarantine.borrow(), app.now(), content) => {}
                _ => obsolete.push(row.key.clone()),
            }
        } else if let Some(segment) = row.key.strip_prefix(SEGMENT_PREFIX) {
            match parse_fingerprint(segment) {
                Some(segment) if adopt_segment(app, segment, &row.value) => {
                    listed.insert(segment);
                }
                // It is written again with more strikes.
                Some(segment) if is_blocked(app, &[segment]) => {}
                _ => obsolete.push(row.key.clone()),
            }
        }
    }
    app.peers.borrow_mut().record_listed();
    let own_key = format!("{GATEWAY_PREFIX}{}", app.peers.borrow().own_addr());
    let mut txn = Txn::default();
    if !rows.iter().any(|r| r.key == own_key) {
        txn = txn.put(own_key, app.node.name.clone());
    }
    let quarantines = missing_quarantines(app, &listed).into_iter();
    for (key, value) in quarantines.chain(missing_segments(app, &listed)) {
        txn = txn.put(key, value);
    }
    for key in obsolete.into_iter().take(MAX_WRITES) {
        txn = txn.delete(key);
    }
    if txn.writes.is_empty() {
        return Ok(());
    }
    if let Some(log) = app.log.logger_for(Topic::Dependency) {
        info!(log, "store: Own rows are written."; "rows" => txn.writes.len(),
            "era" => app.store.era().0);
    }
    app.store.commit(txn).await.map(drop)
}

async fn read_rows(app: &App) -> Result<Vec<Row>> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map(|r| r.key.clone()).unwrap_or_default();
        let page = app.store.scan("", &after, PAGE_ROWS).await?;
        let more = page.more && !page.rows.is_empty();
        rows.extend(page.rows);
        if !more {
            return Ok(rows);
        }
    }
}

/// Records the strikes of a row; returns whether the row is to stay as it is: the content is quarantined, and the row
/// holds the strikes against it.
fn adopt_quarantine(app: &App, content: Fingerprint, value: &str) -> bool {
    let Ok(row) = serde_json::from_str::<QuarantineRow>(value) else {
        return false;
    };
    let (now, wall_ms) = (app.now(), app.clock.wall_ms());
    let mut quarantine = app.quarantine.borrow_mut();
    let row_strikes = row.strikes.len();
    for strike in row.strikes {
        let age = Duration::from_millis(wall_ms.saturating_sub(strike.at_ms));
        let strike = Strike {
            content: Content {
                fingerprint: content,
                variant: strike.variant,
            },
            vm: strike.process,
            shared: strike.shared,
            at: now - age,
        };
        if quarantine.record_strike(now, &strike) {
            metric::count_strike("row");
        }
    }
    is_quarantined(&quarantine, now, content)
        && row_strikes >= quarantine.strikes_of(content).count()
}

/// Returns whether any variant of a content is quarantined.
fn is_quarantined(quarantine: &Quarantine, now: Moment, content: Fingerprint) -> bool {
    let mut quarantined = quarantine.quarantined(now);
    quarantined.any(|(known, _)| known == content)
}

/// Returns the rows of the quarantined contents that aren't in `listed`.
fn missing_quarantines(app: &App, listed: &Set<Fingerprint>) -> Vec<(String, String)> {
    let (now, wall_ms) = (app.now(), app.clock.wall_ms());
    let quarantine = app.quarantine.borrow();
    let missing: Vec<Fingerprint> = quarantine
        .quarantined(now)
        .map(|(content, _)| content)
        .filter(|content| !listed.contains(content))
        .take(MAX_WRITES)
        .collect();
    let encode = |content: Fingerprint| {
        let strikes = quarantine.strikes_of(content).map(|s| StrikeRow {
            variant: s.content.variant,
            process: s.vm,
            shared: s.shared,
            at_ms: wall_ms.saturating_sub(now.ms_since(s.at)),
        });
        let row = QuarantineRow {
            strikes: strikes.collect(),
        };
        let value = serde_json::to_string(&row).ok()?;
        Some((format!("{QUARANTINE_PREFIX}{content}"), value))
    };
    missing.into_iter().filter_map(encode).collect()
}

/// Records the strikes of a segment's row; returns whether the row is to stay as it is: the segment is
/// blocked, and the row holds the strikes against it.
fn adopt_segment(app: &App, segment: Fingerprint, value: &str) -> bool {
    let Ok(row) = serde_json::from_str::<SegmentRow>(value) else {
        return false;
    };
    let (now, wall_ms) = (app.now(), app.clock.wall_ms());
    let mut filter = app.segments.borrow_mut();
    let row_strikes = row.strikes.len();
    for strike in row.strikes {
        let age = Duration::from_millis(wall_ms.saturating_sub(strike.at_ms));
        let strike = SegmentStrike {
            segment,
            process: strike.process,
            content: strike.content,
            at: now - age,
            is_trial: strike.is_trial,
        };
        if filter.record_strike(now, &strike) {
            metric::count_segment_strike("row");
        }
    }
    filter.is_blocked(now, &[segment]) && row_strikes >= filter.strikes_of(segment).count()
}

/// Returns the rows of the blocked segments that aren't in `listed`.
fn missing_segments(app: &App, listed: &Set<Fingerprint>) -> Vec<(String, String)> {
    let (now, wall_ms) = (app.now(), app.clock.wall_ms());
    let filter = app.segments.borrow();
    let missing = filter.blocked(now).filter(|s| !listed.contains(s));
    let encode = |segment: Fingerprint| {
        let strikes = filter.strikes_of(segment).map(|s| SegmentStrikeRow {
            process: s.process,
            content: s.content,
            is_trial: s.is_trial,
            at_ms: wall_ms.saturating_sub(now.ms_since(s.at)),
        });
        let row = SegmentRow {
            strikes: strikes.collect(),
        };
        let value = serde_json::to_string(&row).ok()?;
        Some((format!("{SEGMENT_PREFIX}{segment}"), value))
    };
    missing.take(MAX_WRITES).filter_map(encode).collect()
}

fn parse_fingerprint(text: &str) -> Option<Fingerprint> {
    u128::from_str_radix(text, 16).ok().map(Fingerprint)
}
