//! Reads accepted changes from the table, or a snapshot of the catalogue if this process is far
//! behind.

use std::collections::BTreeMap;

use mustard_core::catalogue::{Catalogue, Change, EntryVersion, Snapshot};
use mustard_core::ids::Seq;
use mustard_platform::object::ObjectStore;
use mustard_platform::table::Table;

use crate::errors::{FetchError, RowError};
use crate::rows::{self, SeqRow};

type Result<T> = std::result::Result<T, FetchError>;

/// The number of log rows in one read.
const LOG_BATCH_ROWS: u64 = 256;
/// The number of entry rows in one page of a scan.
const SCAN_PAGE_ROWS: usize = 512;

/// What the table holds beyond the catalogue in force.
pub(crate) enum Fetched {
    /// Nothing: the catalogue in force is the newest.
    UpToDate,
    /// The newer changes, in order.
    Changes(Vec<Change>),
    /// The whole catalogue, because this process lacks too many changes or some are not in the log.
    Snapshot(Snapshot),
}

/// Reads what follows change `current`; more than `max_changes` changes come as a snapshot.
pub(crate) async fn fetch<T: Table, O: ObjectStore>(
    table: &T,
    objects: &O,
    current: Seq,
    max_changes: u64,
) -> Result<Fetched> {
    let head = read_head(table).await?;
    if head < current {
        return Err(FetchError::HeadBehind { current, head });
    }
    if head == current {
        return Ok(Fetched::UpToDate);
    }
    if head.0 - current.0 <= max_changes {
        match read_log(table, current, head).await {
            Err(FetchError::MissingChange { .. }) => {}
            changes => return changes.map(Fetched::Changes),
        }
    }
    build_snapshot(table, objects, current)
        .await
        .map(Fetched::Snapshot)
}

async fn read_head<T: Table>(table: &T) -> Result<Seq> {
    let read = table.read(&[rows::HEAD_KEY.to_owned()]).await?;
    let head = read.first().map(rows::parse::<SeqRow>).transpose()?;
    Ok(head.flatten().unwrap_or_default().seq)
}

/// Reads the changes after `from`, up to `to`.
async fn read_log<T: Table>(table: &T, from: Seq, to: Seq) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    let mut next = from.next();
    while next <= to {
        let last = Seq(to.0.min(next.0 + LOG_BATCH_ROWS - 1));
        let keys: Vec<String> = (next.0..=last.0).map(|n| rows::log_key(Seq(n))).collect();
        let wanted = keys.len();
        let batch = rows::parse_log(&table.read(&keys).await?)?;
        let got = batch.len();
        changes.extend(batch);
        if got < wanted {
            let seq = Seq(next.0 + got as u64);
            return Err(FetchError::MissingChange { seq });
        }
        next = last.next();
    }
    Ok(changes)
}

/// Builds a snapshot from the stored snapshot and the log, or from the entry rows and the log if
/// the stored one is missing, unreadable or too old.
async fn build_snapshot<T: Table, O: ObjectStore>(
    table: &T,
    objects: &O,
    current: Seq,
) -> Result<Snapshot> {
    let snapshot = read_stored_snapshot(objects).await.unwrap_or_default();
    if snapshot.seq > current {
        match replay_log(table, snapshot).await {
            Err(FetchError::MissingChange { .. }) => {}
            replayed => return replayed,
        }
    }
    let scanned = scan_entries(table).await?;
    replay_log(table, scanned).await
}

async fn read_stored_snapshot<O: ObjectStore>(objects: &O) -> Result<Snapshot> {
    let body = objects.get(rows::SNAPSHOT_OBJECT).await?;
    let Some(body) = body else {
        return Ok(Snapshot::default());
    };
    serde_json::from_slice(&body).map_err(|e| {
        let key = rows::SNAPSHOT_OBJECT.to_owned();
        let detail = e.to_string();
        RowError { key, detail }.into()
    })
}

/// Applies the log to a snapshot, up to the newest change.
///
/// A scan is not atomic: it may read some entries at later versions than others. Its result is
/// consistent only after replaying the log up to a head that was read after the scan.
async fn replay_log<T: Table>(table: &T, snapshot: Snapshot) -> Result<Snapshot> {
    let head = read_head(table).await?;
    let from = snapshot.seq;
    let mut catalogue = Catalogue::from_snapshot(snapshot);
    for change in read_log(table, from, head).await? {
        catalogue
            .apply(&change)
            .map_err(|_| FetchError::MissingChange { seq: change.seq })?;
    }
    Ok(catalogue.snapshot().clone())
}

async fn scan_entries<T: Table>(table: &T) -> Result<Snapshot> {
    // The head is read before the entries, so that the replay covers every change accepted during
    // the scan.
    let seq = read_head(table).await?;
    let mut entries = BTreeMap::new();
    let mut after = String::new();
    loop {
        let page = table
            .scan(rows::ENTRY_PREFIX, &after, SCAN_PAGE_ROWS)
            .await?;
        for row in &page.rows {
            let name = row.key.trim_start_matches(rows::ENTRY_PREFIX).to_owned();
            if let Some(version) = rows::parse::<EntryVersion>(row)? {
                entries.insert(name, version);
            }
        }
        match page.rows.last() {
            Some(last) if page.more => after.clone_from(&last.key),
            _ => return Ok(Snapshot { seq, entries }),
        }
    }
}
