//! Why a draft did not come to its end.

use std::time::Duration;

use thiserror::Error;

use mustard_proto::{Ran, Refusal};

use super::Failure;
use super::ports::{NoChain, Veto};

/// The result of driving a draft.
pub type Result<T> = std::result::Result<T, Failed>;

/// A draft that did not come to its end.
#[derive(Clone, Debug, Error)]
#[error("{cause}")]
pub struct Failed {
    /// Why.
    pub cause: DriveError,
    /// Whether any stage may have run.
    pub ran: Ran,
    /// Tokens that were delivered; all are correct.
    pub delivered: u32,
}

/// Why a draft did not come to its end.
#[derive(Clone, Debug, Error)]
pub enum DriveError {
    /// No servers that hold every layer take work now.
    #[error("no servers hold every layer of the model and take work{}", after(.last))]
    NoChain {
        /// When to come back.
        retry: Duration,
        /// The reason of the last failed attempt.
        last: Option<String>,
    },
    /// The last attempt that the budget allows failed.
    #[error("{attempts} attempts failed{}", after(.last))]
    Exhausted {
        /// The attempts made.
        attempts: u32,
        /// The reason of the last one.
        last: Option<String>,
    },
    /// The deadline passed.
    #[error("deadline has passed")]
    Deadline,
    /// The content of the request harms servers.
    #[error("the content of the request is quarantined{}", after(.last))]
    Quarantined {
        /// The reason of the last failed attempt.
        last: Option<String>,
    },
    /// The catalogue entry no longer allows the request.
    #[error("the catalogue entry no longer allows the request")]
    Revoked,
    /// The budget for retries is used up.
    #[error("too many requests are being retried{}", after(.last))]
    Budget {
        /// The reason of the last failed attempt.
        last: Option<String>,
    },
    /// A newer catalogue exists and did not arrive in time.
    #[error("the newest catalogue did not arrive in time")]
    StaleCatalogue,
    /// An agent refused for good.
    #[error("{0}")]
    Refused(Refusal),
}

fn after(last: &Option<String>) -> String {
    last.as_ref()
        .map(|reason| format!("; the last attempt: {reason}"))
        .unwrap_or_default()
}

impl DriveError {
    pub(super) fn no_chain(none: NoChain, last: Option<Failure>) -> Self {
        DriveError::NoChain {
            retry: none.retry,
            last: last.map(|f| f.reason),
        }
    }

    pub(super) fn vetoed(veto: Veto, last: Option<Failure>) -> Self {
        let last = last.map(|f| f.reason);
        match veto {
            Veto::Quarantined => DriveError::Quarantined { last },
            Veto::Revoked => DriveError::Revoked,
            Veto::Budget => DriveError::Budget { last },
            Veto::Late => DriveError::Deadline,
        }
    }

    pub(super) fn exhausted(attempts: u32, last: Option<Failure>) -> Self {
        DriveError::Exhausted {
            attempts,
            last: last.map(|f| f.reason),
        }
    }
}
