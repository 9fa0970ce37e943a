//! Reads accepted changes from the table, or the whole catalogue when far behind.

use std::collections::BTreeMap;

use mustard_core::catalogue::{Catalogue, Change, EntryVersion, Snapshot};
use mustard_core::ids::Seq;
use mustard_platform::object::Objects;
use mustard_platform::table::Table;

use crate::errors::{FetchError, RowError};
use crate::rows::{self, HeadRow};

type Result<T> = std::result::Result<T, FetchError>;

/// Log rows that one read asks for.
const LOG_BATCH: u64 = 256;
/// Entry rows of one page of a scan.
const SCAN_PAGE: usize = 512;

/// What the table has beyond the catalogue in force.
pub(crate) enum Fetched {
    /// Nothing.
    Current,
    /// These changes, in order.
    Changes(Vec<Change>),
    /// So much that the whole catalogue is given.
    Whole(Snapshot),
}

/// Reads what follows change `have`; more than `most` changes come as a whole catalogue.
pub(crate) async fn fetch<T: Table, O: Objects>(
    table: &T,
    objects: &O,
    have: Seq,
    most: u64,
) -> Result<Fetched> {
    let head = read_head(table).await?;
    if head < have {
        return Err(FetchError::HeadFell { have, head });
    }
    if head == have {
        return Ok(Fetched::Current);
    }
    if head.0 - have.0 <= most {
        match read_log(table, have, head).await {
            Err(FetchError::Hole { .. }) => {}
            changes => return changes.map(Fetched::Changes),
        }
    }
    read_whole(table, objects, have).await.map(Fetched::Whole)
}

async fn read_head<T: Table>(table: &T) -> Result<Seq> {
    let read = table.read(&[rows::HEAD.to_owned()]).await?;
    let head = read.first().map(rows::parse::<HeadRow>).transpose()?;
    Ok(head.flatten().unwrap_or_default().seq)
}

/// Reads the changes after `from`, up to `to`.
async fn read_log<T: Table>(table: &T, from: Seq, to: Seq) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    let mut next = from.next();
    while next <= to {
        let last = Seq(to.0.min(next.0 + LOG_BATCH - 1));
        let keys: Vec<String> = (next.0..=last.0).map(|n| rows::log_key(Seq(n))).collect();
        let wanted = keys.len();
        let batch = rows::parse_log(&table.read(&keys).await?)?;
        let got = batch.len();
        changes.extend(batch);
        if got < wanted {
            let seq = Seq(next.0 + got as u64);
            return Err(FetchError::Hole { seq });
        }
        next = last.next();
    }
    Ok(changes)
}

/// Builds the whole catalogue from the snapshot and the log, or else from the entry rows.
async fn read_whole<T: Table, O: Objects>(table: &T, objects: &O, have: Seq) -> Result<Snapshot> {
    let snapshot = read_snapshot(objects).await.unwrap_or_default();
    if snapshot.seq > have {
        match replay(table, snapshot).await {
            Err(FetchError::Hole { .. }) => {}
            whole => return whole,
        }
    }
    let scanned = scan_entries(table).await?;
    replay(table, scanned).await
}

async fn read_snapshot<O: Objects>(objects: &O) -> Result<Snapshot> {
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

/// Applies the log up to the newest change.
///
/// A scan may have read some entries at later versions than others. The log up to a head that
/// was read after the scan brings all of them to the same place, so the result is published only
/// then.
async fn replay<T: Table>(table: &T, snapshot: Snapshot) -> Result<Snapshot> {
    let head = read_head(table).await?;
    let from = snapshot.seq;
    let mut catalogue = Catalogue::from_snapshot(snapshot);
    for change in read_log(table, from, head).await? {
        catalogue
            .apply(&change)
            .map_err(|_| FetchError::Hole { seq: change.seq })?;
    }
    Ok(catalogue.snapshot().clone())
}

async fn scan_entries<T: Table>(table: &T) -> Result<Snapshot> {
    // The head is read first: changes accepted during the scan are replayed afterwards.
    let seq = read_head(table).await?;
    let mut entries = BTreeMap::new();
    let mut after = String::new();
    loop {
        let page = table.scan(rows::ENTRY_PREFIX, &after, SCAN_PAGE).await?;
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
