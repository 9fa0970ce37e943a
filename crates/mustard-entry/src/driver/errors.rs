//! Errors of driving a completion request.

use std::time::Duration;

use thiserror::Error;

use mustard_proto::{Execution, Refusal};

use super::Failure;
use super::ports::{AttemptDenial, NoChain};

/// The result of driving a completion request.
pub type Result<T> = std::result::Result<T, DriveFailure>;

/// A completion request that was not finished.
#[derive(Clone, Debug, Error)]
#[error("{cause}")]
pub struct DriveFailure {
    /// Why it was not finished.
    pub cause: DriveError,
    /// Whether any stage may have run a step of the request.
    pub execution: Execution,
    /// The number of tokens delivered before; all are correct.
    pub delivered: u32,
}

/// Why a completion request was not finished.
#[derive(Clone, Debug, Error)]
pub enum DriveError {
    /// The servers that take work don't together hold every layer.
    #[error("no servers hold every layer of the model and take work{}", describe_last(.last))]
    NoChain {
        /// How long the caller should wait before it retries.
        retry: Duration,
        /// Why the last attempt failed.
        last: Option<String>,
    },
    /// As many attempts failed as the settings allow for one request.
    #[error("{attempts} attempts failed{}", describe_last(.last))]
    Exhausted {
        /// The number of attempts made.
        attempts: u32,
        /// Why the last one failed.
        last: Option<String>,
    },
    /// The deadline passed.
    #[error("deadline has passed")]
    Deadline,
    /// The content of the request is quarantined because servers died under it.
    #[error("the content of the request is quarantined{}", describe_last(.last))]
    Quarantined {
        /// Why the last attempt failed.
        last: Option<String>,
    },
    /// The catalogue entry no longer allows the request.
    #[error("the catalogue entry no longer allows the request")]
    Revoked,
    /// The retry budget of this process is used up.
    #[error("too many requests are being retried{}", describe_last(.last))]
    Budget {
        /// Why the last attempt failed.
        last: Option<String>,
    },
    /// An agent has a newer catalogue, which did not arrive here before the deadline.
    #[error("the newest catalogue did not arrive in time")]
    StaleCatalogue,
    /// An agent refused the request in a way that no retry can change.
    #[error("{0}")]
    Refused(Refusal),
}

fn describe_last(last: &Option<String>) -> String {
    last.as_ref()
        .map(|reason| format!("; the last attempt: {reason}"))
        .unwrap_or_default()
}

impl DriveError {
    pub(super) fn no_chain(no_chain: NoChain, last: Option<Failure>) -> Self {
        DriveError::NoChain {
            retry: no_chain.retry,
            last: last.map(|f| f.reason),
        }
    }

    pub(super) fn denied(denial: AttemptDenial, last: Option<Failure>) -> Self {
        let last = last.map(|f| f.reason);
        match denial {
            AttemptDenial::Quarantined => DriveError::Quarantined { last },
            AttemptDenial::Revoked => DriveError::Revoked,
            AttemptDenial::Budget => DriveError::Budget { last },
            AttemptDenial::DeadlinePassed => DriveError::Deadline,
        }
    }

    pub(super) fn exhausted(attempts: u32, last: Option<Failure>) -> Self {
        DriveError::Exhausted {
            attempts,
            last: last.map(|f| f.reason),
        }
    }
}
