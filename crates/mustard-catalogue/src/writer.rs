//! Accepts changes of the catalogue, each in one transaction of the table.

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
use mustard_platform::object::ObjectStore;
use mustard_platform::table::{CommitOutcome, Row, Table, Txn};

use crate::errors::{Result, WriteError};
use crate::rows::{self, IdRow, SeqRow};
use crate::store::CatalogueStore;

const MAX_ID_LEN: usize = 128;
const ID_RULE: &str = "1 to 128 letters, digits, '-', '_' or '.'";
/// The most attempts at one change; a transaction conflicts whenever another change was accepted
/// since its rows were read.
const MAX_ATTEMPTS: u32 = 24;
/// The longest delay after the first attempt. It doubles with each further attempt, up to
/// [`MAX_RETRY_DELAY`].
const RETRY_BASE: Duration = Duration::from_millis(4);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The delay before operators should send a change again, if the table gives none.
const RETRY_AFTER_MS: u64 = 1_000;
/// A snapshot is written with every change whose number is a multiple of this.
const SNAPSHOT_INTERVAL: u64 = 256;

/// A change as an operator proposes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The change id, which makes the change safe to send again after a lost answer.
    pub id: String,
    /// The current revision of the entry; zero for a new entry.
    pub expected: Revision,
    /// The change itself: to put or to retire an entry.
    pub op: Op,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The number of the change in the order of all changes.
    pub seq: Seq,
    /// The revision of the entry that it made.
    pub revision: Revision,
}

/// Accepts changes by transactions of the table.
pub struct Writer<T, O> {
    table: T,
    objects: O,
    store: Arc<CatalogueStore>,
}

/// The rows that decide whether a proposal is accepted.
struct ProposalRows {
    head: Row,
    entry: Row,
    id: Row,
}

/// What is known from the attempts at one change.
#[derive(Default)]
struct AttemptState {
    /// Whether one of the attempts may have taken effect.
    in_doubt: bool,
}

impl<T: Table, O: ObjectStore> Writer<T, O> {
    /// Creates a writer that applies accepted changes to `store` at once.
    pub fn new(table: T, objects: O, store: Arc<CatalogueStore>) -> Self {
        Writer {
            table,
            objects,
            store,
        }
    }

    /// Accepts a change of the operator `author`.
    ///
    /// Idempotent: sending the same proposal again returns the same answer without a second effect.
    ///
    /// # Errors
    ///
    /// After [`WriteError::InDoubt`] the change may have been accepted; after any other error it
    /// was not.
    pub async fn accept(&self, proposal: &Proposal, author: &str) -> Result<AcceptedChange> {
        check_proposal(proposal)?;
        let digest = digest_proposal(proposal)?;
        let mut state = AttemptState::default();
        for attempt in 0..MAX_ATTEMPTS {
            let rows = match self.read_rows(proposal).await {
                Ok(rows) => rows,
                Err(e) => return Err(AttemptState::read_error(&e)),
            };
            if let Some(done) = find_accepted(proposal, digest, &rows)? {
                return Ok(done);
            }
            let change = build_change(proposal, author, self.store.process().wall_ms(), &rows)?;
            let txn = build_transaction(&change, digest, &rows)?;
            match self.table.commit(txn).await {
                Ok(CommitOutcome::Done) => return Ok(self.finish_accept(&change).await),
                Ok(CommitOutcome::Conflict(_)) => {}
                Err(e) if e.may_have_applied() => state.in_doubt = true,
                Err(e) => return Err(state.table_error(&e)),
            }
            time::sleep(retry_delay(attempt)).await;
        }
        Err(state.exhausted_error())
    }

    /// Returns all accepted changes of an entry, oldest first.
    pub async fn history(&self, name: &str) -> Result<Vec<Change>> {
        let state = AttemptState::default();
        let prefix = rows::history_prefix(name);
        let mut keys = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.table.scan(&prefix, &after, 256).await;
            let page = page.map_err(|e| state.table_error(&e))?;
            for row in &page.rows {
                let made_by = rows::parse::<SeqRow>(row)?.unwrap_or_default();
                keys.push(rows::log_key(made_by.seq));
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
            .map_err(|e| state.table_error(&e))?;
        Ok(rows::parse_log(&log)?)
    }

    async fn read_rows(
        &self,
        proposal: &Proposal,
    ) -> std::result::Result<ProposalRows, PlatformError> {
        let keys = [
            rows::HEAD_KEY.to_owned(),
            rows::entry_key(proposal.op.name()),
            rows::change_id_key(&proposal.id),
        ];
        let read = self.table.read(&keys).await?;
        let [head, entry, id]: [Row; 3] =
            read.try_into().map_err(|_| PlatformError::BadAnswer {
                service: "table",
                status: 200,
                detail: "answer has the wrong number of rows".to_owned(),
            })?;
        Ok(ProposalRows { head, entry, id })
    }

    /// Applies an accepted change here, and records it.
    async fn finish_accept(&self, change: &Change) -> AcceptedChange {
        let entry = change.op.name().to_owned();
        let seq = change.seq;
        let process = self.store.process();
        process.emit(None, EventKind::CatalogueAccepted { seq, entry });
        process.observe(process.tick(), seq);
        metrics::counter!("mustard_catalogue_accepted_total").increment(1);
        if self.store.apply(std::slice::from_ref(change)).gap {
            self.store.wake_sync();
        }
        if seq.0.is_multiple_of(SNAPSHOT_INTERVAL) {
            self.write_snapshot().await;
        }
        AcceptedChange {
            seq,
            revision: change.expected.next(),
        }
    }

    /// Writes a snapshot of the catalogue in force to the object store; after a failure the older
    /// snapshot stays in use.
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

impl AttemptState {
    /// Returns the error for a table call that failed.
    fn table_error(&self, e: &PlatformError) -> WriteError {
        let retry_ms = retry_after_ms(e);
        if self.in_doubt {
            return WriteError::InDoubt { retry_ms };
        }
        WriteError::Unavailable { retry_ms }
    }

    /// Returns the error for a failed read of the [`ProposalRows`]. Without the row of the change
    /// id it is not known whether the same change was accepted when it was sent before.
    fn read_error(e: &PlatformError) -> WriteError {
        let retry_ms = retry_after_ms(e);
        WriteError::InDoubt { retry_ms }
    }

    /// Returns the error for a change whose attempts are used up.
    fn exhausted_error(&self) -> WriteError {
        let retry_ms = RETRY_AFTER_MS;
        if self.in_doubt {
            return WriteError::InDoubt { retry_ms };
        }
        WriteError::Unavailable { retry_ms }
    }
}

fn retry_after_ms(e: &PlatformError) -> u64 {
    match e {
        PlatformError::Unavailable { retry_ms, .. } => *retry_ms,
        _ => RETRY_AFTER_MS,
    }
}

fn check_proposal(proposal: &Proposal) -> Result<()> {
    let name = proposal.op.name();
    if !is_key_part(&proposal.id) {
        let shown = format!("{:?}", proposal.id);
        return Err(CatalogueError::bad_field(name, "id", shown, ID_RULE).into());
    }
    match &proposal.op {
        Op::Put(entry) => Ok(entry.validate()?),
        Op::Retire(name) if is_key_part(name) => Ok(()),
        Op::Retire(name) => Err(WriteError::NotInForce { name: name.clone() }),
    }
}

fn is_key_part(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_ID_LEN && text.chars().all(is_allowed)
}

fn digest_proposal(proposal: &Proposal) -> Result<Fingerprint> {
    let op = rows::encode(&proposal.id, &proposal.op)?;
    let expected = proposal.expected.0.to_le_bytes();
    Ok(Fingerprint::of(&[&expected, op.as_bytes()]))
}

/// Returns the result of the proposal if it was accepted when it was sent before.
fn find_accepted(
    proposal: &Proposal,
    digest: Fingerprint,
    rows: &ProposalRows,
) -> Result<Option<AcceptedChange>> {
    let Some(row) = rows::parse::<IdRow>(&rows.id)? else {
        return Ok(None);
    };
    if row.digest != digest {
        let id = proposal.id.clone();
        return Err(WriteError::IdReused { id });
    }
    Ok(Some(AcceptedChange {
        seq: row.seq,
        revision: row.revision,
    }))
}

/// Builds the change that follows the newest one, if the proposal fits the entry's current version.
fn build_change(
    proposal: &Proposal,
    author: &str,
    wall_ms: u64,
    rows: &ProposalRows,
) -> Result<Change> {
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
    let head = rows::parse::<SeqRow>(&rows.head)?.unwrap_or_default();
    Ok(Change {
        seq: head.seq.next(),
        id: proposal.id.clone(),
        expected: proposal.expected,
        author: author.to_owned(),
        wall_ms,
        op: proposal.op.clone(),
    })
}

/// Builds the transaction that accepts a change, unless one of the rows read has changed since.
fn build_transaction(change: &Change, digest: Fingerprint, rows: &ProposalRows) -> Result<Txn> {
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
    let head = SeqRow { seq };
    let log_key = rows::log_key(seq);
    let history_key = rows::history_key(name, revision);
    Ok(Txn::default()
        .check(rows::HEAD_KEY, rows.head.version)
        .check(&rows.entry.key, rows.entry.version)
        .check(&rows.id.key, 0)
        .put(rows::HEAD_KEY, rows::encode(rows::HEAD_KEY, &head)?)
        .put(&log_key, rows::encode(&log_key, change)?)
        .put(&rows.entry.key, rows::encode(&rows.entry.key, &version)?)
        .put(&rows.id.key, rows::encode(&rows.id.key, &id)?)
        .put(&history_key, rows::encode(&history_key, &head)?))
}

/// Returns the delay before the next attempt: exponential, with jitter.
fn retry_delay(attempt: u32) -> Duration {
    let max = RETRY_BASE
        .saturating_mul(1 << attempt.min(8))
        .min(MAX_RETRY_DELAY);
    max.mul_f64(rand::rng().random_range(0.1..1.0))
}
