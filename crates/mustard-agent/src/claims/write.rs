//! One conditional write of a claim row and its outcome.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use mustard_core::ids::Incarnation;
use mustard_net::shutdown::RequestGuard;
use mustard_platform::table::Row;

use super::row::ClaimState;

/// What must hold of the row when a write is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The row has this version; zero means that it does not exist.
    Version(u64),
    /// The row holds the given claim, or still has the version that the claim was to replace.
    Claim {
        /// The process that made the claim.
        claimant: Incarnation,
        /// The number of the claim within that process.
        number: u64,
        /// The version that the claim was to replace.
        old_version: u64,
    },
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied.
    Done,
    /// The write was not applied and never will be; holds the row in the table.
    Conflict(Row),
    /// The table did not answer in time.
    Unavailable {
        /// When to retry, in milliseconds.
        retry_ms: u64,
        /// Whether the write may have been applied or still may be.
        maybe_applied: bool,
    },
}

/// Who waits for the outcome of a write.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A call, or a request to close a key, waits until the given deadline.
    Caller(oneshot::Sender<WriteOutcome>, Instant),
    /// No caller waits; the write is retried until its outcome is known.
    Background {
        /// Sends the outcome.
        sender: oneshot::Sender<WriteOutcome>,
        /// Keeps a planned stop waiting until the write has ended.
        _guard: RequestGuard,
        /// When the write was queued.
        queued_at: Instant,
    },
}

/// A write that waits for its transaction.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) key: String,
    pub(super) precondition: Precondition,
    /// The row version that the transaction checks; none until the row has been read.
    pub(super) version: Option<u64>,
    pub(super) value: String,
    /// Whether an earlier transaction with this write may have been applied.
    pub(super) maybe_applied: bool,
    pub(super) waiter: Waiter,
}

impl PendingWrite {
    /// Sends the outcome of the write to its waiter.
    pub(super) fn complete(self, outcome: WriteOutcome) {
        let (Waiter::Caller(reply, _) | Waiter::Background { sender: reply, .. }) = self.waiter;
        // The receiver may be gone; nobody needs the outcome then.
        let _ = reply.send(outcome);
    }

    /// Tells whether a caller waits.
    pub(super) fn has_caller(&self) -> bool {
        matches!(self.waiter, Waiter::Caller(..))
    }

    /// Returns until when a caller waits; none without a caller.
    pub(super) fn deadline(&self) -> Option<Instant> {
        match self.waiter {
            Waiter::Caller(_, deadline) => Some(deadline),
            Waiter::Background { .. } => None,
        }
    }

    /// Tells whether the caller's deadline has passed.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        self.deadline().is_some_and(|deadline| deadline <= now)
    }

    /// Tells whether the write has waited long enough for others to share its transaction.
    pub(super) fn is_due(&self, now: Instant, linger: Duration) -> bool {
        match &self.waiter {
            Waiter::Caller(..) => true,
            Waiter::Background { queued_at, .. } => now.duration_since(*queued_at) >= linger,
        }
    }

    /// Compares the write with the row in the table.
    ///
    /// Returns the version to check in the transaction, or as error the outcome if the write is
    /// applied already or never can be.
    pub(super) fn check_row(&self, row: &Row) -> std::result::Result<u64, WriteOutcome> {
        if row.version != 0 && row.value == self.value {
            return Err(WriteOutcome::Done);
        }
        let holds = match self.precondition {
            Precondition::Version(version) => row.version == version,
            Precondition::Claim {
                claimant,
                number,
                old_version,
            } => {
                row.version == old_version
                    || ClaimState::from_row(row).is_some_and(|s| s.is_claim(claimant, number))
            }
        };
        match holds {
            true => Ok(row.version),
            false => Err(WriteOutcome::Conflict(row.clone())),
        }
    }
}
