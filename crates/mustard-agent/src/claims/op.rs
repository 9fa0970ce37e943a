//! One conditional write of a claim row and what became of it.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use mustard_core::ids::Incarnation;
use mustard_net::shutdown::Pass;
use mustard_platform::table::Row;

use super::row::ClaimState;

/// What must hold for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The row has this version; zero means that it does not exist.
    Version(u64),
    /// The row is the given claim, or what that claim was to replace.
    Claim {
        /// The life of the claimant.
        by: Incarnation,
        /// The number of the claim.
        number: u64,
        /// The version that the claim was to replace.
        over: u64,
    },
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect.
    Done,
    /// It did not take effect and never will; the row as it is.
    Found(Row),
    /// The table did not answer in time.
    Down {
        /// When to come back, in milliseconds.
        retry_ms: u64,
        /// Whether the write may have taken effect or still may.
        maybe: bool,
    },
}

/// Who waits for a write.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A caller waits until the given time.
    Caller(oneshot::Sender<Commit>, Instant),
    /// Nobody waits; the write is tried until it is settled.
    Behind {
        /// Told at the end.
        done: oneshot::Sender<Commit>,
        /// Keeps a planned stop waiting.
        _pass: Pass,
        /// When it was asked for.
        since: Instant,
    },
}

/// A write that waits for its transaction.
#[derive(Debug)]
pub(super) struct Op {
    pub(super) key: String,
    pub(super) expect: Expect,
    /// The version to check, once it is known.
    pub(super) version: Option<u64>,
    pub(super) value: String,
    pub(super) doubt: bool,
    pub(super) waiter: Waiter,
}

impl Op {
    /// Tells the waiter the end of the write.
    pub(super) fn settle(self, commit: Commit) {
        let (Waiter::Caller(tell, _) | Waiter::Behind { done: tell, .. }) = self.waiter;
        // A waiter that went away needs no answer.
        let _ = tell.send(commit);
    }

    /// Tells whether a caller waits.
    pub(super) fn is_urgent(&self) -> bool {
        matches!(self.waiter, Waiter::Caller(..))
    }

    /// Returns until when a caller waits.
    pub(super) fn until(&self) -> Option<Instant> {
        match self.waiter {
            Waiter::Caller(_, until) => Some(until),
            Waiter::Behind { .. } => None,
        }
    }

    /// Tells whether the caller's time has passed.
    pub(super) fn is_late(&self, now: Instant) -> bool {
        self.until().is_some_and(|until| until <= now)
    }

    /// Tells whether the write has waited long enough for others to share its transaction.
    pub(super) fn is_ripe(&self, now: Instant, linger: Duration) -> bool {
        match &self.waiter {
            Waiter::Caller(..) => true,
            Waiter::Behind { since, .. } => now.duration_since(*since) >= linger,
        }
    }

    /// Compares the write with the row and returns the version to check, or its end.
    pub(super) fn judge(&self, row: &Row) -> std::result::Result<u64, Commit> {
        if row.version != 0 && row.value == self.value {
            return Err(Commit::Done);
        }
        let holds = match self.expect {
            Expect::Version(version) => row.version == version,
            Expect::Claim { by, number, over } => {
                row.version == over || ClaimState::read(row).is_some_and(|s| s.is_claim(by, number))
            }
        };
        match holds {
            true => Ok(row.version),
            false => Err(Commit::Found(row.clone())),
        }
    }
}
