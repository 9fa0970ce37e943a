//! Accepts changes of the catalogue, each by one transaction of the table.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time;

use mustard_core::catalogue::{CatalogueError, Change, EntryVersion, Op};
use mustard_core::event::EventKind;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Revision, Seq};
use mustard_platform::PlatformError;
use mustard_platform::object::Objects;
use mustard_platform::table::{Commit, Row, Table, Txn};

use crate::errors::{Result, WriteError};
use crate::rows::{self, HeadRow, IdRow};
use crate::store::Store;

const MAX_ID_LEN: usize = 128;
const ID_RULE: &str = "1 to 128 letters, digits, '-', '_' or '.'";
/// Attempts at one change; other operators' changes may take the head in between.
const ATTEMPTS: u32 = 24;
const RETRY_STEP: Duration = Duration::from_millis(4);
const RETRY_MAX: Duration = Duration::from_millis(200);
const COME_BACK_MS: u64 = 1_000;
/// A snapshot is written with every change whose number is a multiple of this.
const SNAPSHOT_EVERY: u64 = 256;

/// A change as an operator asks for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Makes the change safe to send again after a lost answer.
    pub id: String,
    /// The revision that the entry has; zero for a new entry.
    pub expected: Revision,
    /// What the change does.
    pub op: Op,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The place of the change in the order of all changes.
    pub seq: Seq,
    /// The revision that it made.
    pub revision: Revision,
}

/// Accepts changes through the table.
pub struct Writer<T, O> {
    table: T,
    objects: O,
    store: Arc<Store>,
}

/// The rows that decide on a proposal.
struct Rows {
    head: Row,
    entry: Row,
    id: Row,
}

/// Whether an earlier attempt may have taken effect.
#[derive(Default)]
struct Attempts {
    doubt: bool,
}

impl<T: Table, O: Objects> Writer<T, O> {
    /// Creates a writer that brings accepted changes into force at `store`.
    pub fn new(table: T, objects: O, store: Arc<Store>) -> Self {
        Writer {
            table,
            objects,
            store,
        }
    }

    /// Accepts a change.
    ///
    /// Sending the same proposal again returns the same answer and has no second effect.
    ///
    /// # Errors
    ///
    /// Only [`WriteError::InDoubt`] leaves open whether the change was accepted.
    pub async fn accept(&self, proposal: &Proposal, author: &str) -> Result<Accepted> {
        check_proposal(proposal)?;
        let digest = digest(proposal)?;
        let mut attempts = Attempts::default();
        for attempt in 0..ATTEMPTS {
            let rows = match self.read(proposal).await {
                Ok(rows) => rows,
                Err(e) => return Err(Attempts::unread(&e)),
            };
            if let Some(done) = earlier(proposal, digest, &rows)? {
                return Ok(done);
            }
            let change = next_change(proposal, author, self.store.process().wall_ms(), &rows)?;
            let txn = transaction(&change, digest, &rows)?;
            match self.table.commit(txn).await {
                Ok(Commit::Done) => return Ok(self.accepted(&change).await),
                Ok(Commit::Conflict(_)) => {}
                Err(e) if e.may_have_applied() => attempts.doubt = true,
                Err(e) => return Err(attempts.sort(&e)),
            }
            time::sleep(pause(attempt)).await;
        }
        Err(attempts.give_up())
    }

    /// Returns the changes of an entry, oldest first.
    pub async fn history(&self, name: &str) -> Result<Vec<Change>> {
        let attempts = Attempts::default();
        let prefix = rows::history_prefix(name);
        let mut keys = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.table.scan(&prefix, &after, 256).await;
            let page = page.map_err(|e| attempts.sort(&e))?;
            for row in &page.rows {
                let at = rows::parse::<HeadRow>(row)?.unwrap_or_default();
                keys.push(rows::log_key(at.seq));
            }
            match page.rows.last() {
                Some(last) if page.more => after.clone_from(&last.key),
                _ => break,
            }
        }
        if keys.is_empty() {
            return Ok(Vec::new());
        }
        let log = self
            .table
            .read(&keys)
            .await
            .map_err(|e| attempts.sort(&e))?;
        Ok(rows::parse_log(&log)?)
    }

    async fn read(&self, proposal: &Proposal) -> std::result::Result<Rows, PlatformError> {
        let keys = [
            rows::HEAD.to_owned(),
            rows::entry_key(proposal.op.name()),
            rows::id_key(&proposal.id),
        ];
        let read = self.table.read(&keys).await?;
        let [head, entry, id]: [Row; 3] =
            read.try_into().map_err(|_| PlatformError::BadAnswer {
                service: "table",
                status: 200,
                detail: "another number of rows than asked for".to_owned(),
            })?;
        Ok(Rows { head, entry, id })
    }

    async fn accepted(&self, change: &Change) -> Accepted {
        let entry = change.op.name().to_owned();
        let seq = change.seq;
        let process = self.store.process();
        process.emit(None, EventKind::CatalogueAccepted { seq, entry });
        process.observe(process.tick(), seq);
        metrics::counter!("mustard_catalogue_accepted_total").increment(1);
        if self.store.apply(std::slice::from_ref(change)).gap {
            self.store.wake();
        }
        if seq.0.is_multiple_of(SNAPSHOT_EVERY) {
            self.write_snapshot().await;
        }
        Accepted {
            seq,
            revision: change.expected.next(),
        }
    }

    /// Writes the catalogue in force to the object store; a failure only leaves an older one.
    async fn write_snapshot(&self) {
        let catalogue = self.store.current();
        let Ok(body) = serde_json::to_vec(catalogue.snapshot()) else {
            return;
        };
        let written = self.objects.put(rows::SNAPSHOT_OBJECT, body).await.is_ok();
        let result = if written { "written" } else { "failed" };
        metrics::counter!("mustard_catalogue_snapshots_total", "result" => result).increment(1);
    }
}

impl Attempts {
    fn sort(&self, e: &PlatformError) -> WriteError {
        let retry_ms = come_back(e);
        if self.doubt {
            return WriteError::InDoubt { retry_ms };
        }
        WriteError::Unavailable { retry_ms }
    }

    /// Sorts a failed read: without the row of the change id, an earlier send of the same change
    /// may have been accepted.
    fn unread(e: &PlatformError) -> WriteError {
        let retry_ms = come_back(e);
        WriteError::InDoubt { retry_ms }
    }

    fn give_up(&self) -> WriteError {
        let retry_ms = COME_BACK_MS;
        if self.doubt {
            return WriteError::InDoubt { retry_ms };
        }
        WriteError::Unavailable { retry_ms }
    }
}

fn come_back(e: &PlatformError) -> u64 {
    match e {
        PlatformError::Unavailable { retry_ms, .. } => *retry_ms,
        _ => COME_BACK_MS,
    }
}

fn check_proposal(proposal: &Proposal) -> Result<()> {
    let name = proposal.op.name();
    if !is_key_part(&proposal.id) {
        let read = format!("{:?}", proposal.id);
        return Err(CatalogueError::bad_field(name, "id", read, ID_RULE).into());
    }
    match &proposal.op {
        Op::Put(entry) => Ok(entry.validate()?),
        Op::Retire(name) if is_key_part(name) => Ok(()),
        Op::Retire(name) => Err(WriteError::NotInForce { name: name.clone() }),
    }
}

fn is_key_part(text: &str) -> bool {
    let legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_ID_LEN && text.chars().all(legal)
}

fn digest(proposal: &Proposal) -> Result<Fingerprint> {
    let op = rows::encode(&proposal.id, &proposal.op)?;
    let expected = proposal.expected.0.to_le_bytes();
    Ok(Fingerprint::of(&[&expected, op.as_bytes()]))
}

fn earlier(proposal: &Proposal, digest: Fingerprint, rows: &Rows) -> Result<Option<Accepted>> {
    let Some(row) = rows::parse::<IdRow>(&rows.id)? else {
        return Ok(None);
    };
    if row.digest != digest {
        let id = proposal.id.clone();
        return Err(WriteError::IdReused { id });
    }
    Ok(Some(Accepted {
        seq: row.seq,
        revision: row.revision,
    }))
}

fn next_change(proposal: &Proposal, author: &str, wall_ms: u64, rows: &Rows) -> Result<Change> {
    let name = proposal.op.name();
    let current = rows::parse::<EntryVersion>(&rows.entry)?;
    let have = current.as_ref().map_or(Revision(0), |v| v.revision);
    if have != proposal.expected {
        let name = name.to_owned();
        let current = current.map(Box::new);
        return Err(WriteError::Conflict { name, current });
    }
    let in_force = current.is_some_and(|v| v.entry.is_some());
    if matches!(proposal.op, Op::Retire(_)) && !in_force {
        let name = name.to_owned();
        return Err(WriteError::NotInForce { name });
    }
    let head = rows::parse::<HeadRow>(&rows.head)?.unwrap_or_default();
    Ok(Change {
        seq: head.seq.next(),
        id: proposal.id.clone(),
        expected: proposal.expected,
        author: author.to_owned(),
        wall_ms,
        op: proposal.op.clone(),
    })
}

fn transaction(change: &Change, digest: Fingerprint, rows: &Rows) -> Result<Txn> {
    let seq = change.seq;
    let revision = change.expected.next();
    let name = change.op.name();
    let entry = match &change.op {
        Op::Put(entry) => Some(entry.clone()),
        Op::Retire(_) => None,
    };
    let version = EntryVersion {
        revision,
        seq,
        entry,
    };
    let id = IdRow {
        seq,
        revision,
        digest,
    };
    let head = HeadRow { seq };
    let log_key = rows::log_key(seq);
    let history_key = rows::history_key(name, revision);
    Ok(Txn::default()
        .check(rows::HEAD, rows.head.version)
        .check(&rows.entry.key, rows.entry.version)
        .check(&rows.id.key, 0)
        .put(rows::HEAD, rows::encode(rows::HEAD, &head)?)
        .put(&log_key, rows::encode(&log_key, change)?)
        .put(&rows.entry.key, rows::encode(&rows.entry.key, &version)?)
        .put(&rows.id.key, rows::encode(&rows.id.key, &id)?)
        .put(&history_key, rows::encode(&history_key, &head)?))
}

fn pause(attempt: u32) -> Duration {
    let most = RETRY_STEP
        .saturating_mul(1 << attempt.min(8))
        .min(RETRY_MAX);
    most.mul_f64(rand::rng().random_range(0.1..1.0))
}
