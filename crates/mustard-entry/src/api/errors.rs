//! Why a caller's request was refused or broke off.

use std::time::Duration;

use thiserror::Error;

use mustard_core::outcome::Outcome;
use mustard_proto::{Ran, Refusal};

use crate::admit::Refused;
use crate::calls::CallFailure;
use crate::drive::{DriveError, Failed};

/// The result of handling a request.
pub type Result<T> = std::result::Result<T, ApiError>;

/// Why a caller's request was refused or broke off.
#[derive(Clone, Debug, Error)]
pub enum ApiError {
    /// The path does not exist.
    #[error("the path does not exist")]
    NoPath,
    /// The body is not what the path takes.
    #[error("{detail}")]
    Malformed {
        /// What is wrong and where.
        detail: String,
    },
    /// The body is larger than allowed.
    #[error("the body exceeds the limit of {limit} bytes")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {limit_ms} ms")]
    BodySlow {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// The body broke off.
    #[error("the body is not whole")]
    BodyCut,
    /// No bearer key was sent, or one that no entry knows.
    #[error("a valid bearer key is required")]
    NoKey,
    /// The entry exists and the key does not open it.
    #[error("the key does not open {name:?}")]
    Foreign {
        /// The name asked for.
        name: String,
    },
    /// No entry, model or service has the name.
    #[error("{name:?} is not in the catalogue")]
    UnknownEntry {
        /// The name asked for.
        name: String,
    },
    /// The entry was changed while the request waited, and no longer allows it.
    #[error("the catalogue entry no longer allows the request")]
    Revoked,
    /// A value lies above a limit of the entry.
    #[error("{field} is {read}, the limit is {limit}")]
    OverLimit {
        /// The field of the request.
        field: &'static str,
        /// The value as read.
        read: u64,
        /// The limit.
        limit: u64,
    },
    /// The deadline passed before anything ran.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The call needs an idempotency key.
    #[error("the call may not be repeated, so it needs an Idempotency-Key header")]
    KeyRequired,
    /// The idempotency key has another form.
    #[error("the Idempotency-Key must have 1 to 128 visible ASCII characters")]
    BadKey,
    /// The idempotency key was used before with another request.
    #[error("the Idempotency-Key was used with another request")]
    KeyReused,
    /// The idempotency key was made final without a run.
    #[error("the Idempotency-Key was made final without a run; send the call under a new key")]
    KeyVoided,
    /// The process takes no new requests.
    #[error("the process is stopping")]
    Draining,
    /// The owner's limits are used up.
    #[error("the limit on {what} is used up")]
    LimitUsed {
        /// The limit.
        what: &'static str,
        /// When to come back.
        retry: Duration,
    },
    /// The request cannot be answered in time.
    #[error("{detail}")]
    Overloaded {
        /// What is known.
        detail: String,
        /// When to come back.
        retry: Duration,
    },
    /// The catalogue in force can't be confirmed to be the newest.
    #[error("the catalogue in force can't be confirmed to be the newest")]
    Unconfirmed {
        /// When to come back.
        retry: Duration,
    },
    /// The caller went away before the answer was whole.
    #[error("the caller went away")]
    Gone,
    /// The operator's key is missing or unknown.
    #[error("an operator's key is required")]
    NoOperator,
    /// The agent, key or content that an operator names does not exist.
    #[error("{what:?} is not known here")]
    Missing {
        /// The name.
        what: String,
    },
    /// An agent did not answer an operator's request.
    #[error("{detail}")]
    AgentFailed {
        /// What was seen.
        detail: String,
    },
    /// No server can take the request now, and none ran it.
    #[error("{detail}")]
    Unavailable {
        /// What is missing.
        detail: String,
        /// When to come back.
        retry: Duration,
    },
    /// The content of the request harmed servers before.
    #[error("the content of the request is quarantined")]
    Quarantined,
    /// The request may have run and its answer is not known.
    #[error("{detail}")]
    Unknown {
        /// What is known.
        detail: String,
    },
    /// The answer broke off.
    #[error("the answer broke off after {delivered} tokens: {detail}")]
    Partial {
        /// Tokens that were delivered.
        delivered: u32,
        /// Why.
        detail: String,
    },
}

/// The parts of an error that its answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Face {
    /// The HTTP status.
    pub status: u16,
    /// The stable name, the last part of the `type` member.
    pub kind: &'static str,
    /// The short summary of the kind.
    pub title: &'static str,
    /// What the caller may conclude.
    pub outcome: Outcome,
}

impl ApiError {
    /// Returns the parts of the error that its answer shows.
    pub fn face(&self) -> Face {
        let (status, kind, title) = self.kind();
        let outcome = match self {
            ApiError::Unknown { .. } | ApiError::AgentFailed { .. } => Outcome::Unknown,
            ApiError::Partial { .. } | ApiError::Gone => Outcome::Partial,
            _ => Outcome::NotRun,
        };
        Face {
            status,
            kind,
            title,
            outcome,
        }
    }

    fn kind(&self) -> (u16, &'static str, &'static str) {
        match self {
            ApiError::NoPath => (404, "no-path", "Path does not exist"),
            ApiError::Malformed { .. } => (400, "malformed", "Request is malformed"),
            ApiError::BodyTooLarge { .. } => (413, "body-too-large", "Body is too large"),
            ApiError::BodySlow { .. } => (408, "body-slow", "Body arrives too slowly"),
            ApiError::BodyCut => (400, "body-cut", "Body is not whole"),
            ApiError::NoKey => (401, "no-key", "Bearer key is missing or unknown"),
            ApiError::Foreign { .. } => (403, "foreign-key", "Key does not open the entry"),
            ApiError::UnknownEntry { .. } => (404, "unknown-entry", "Entry does not exist"),
            ApiError::Revoked => (403, "revoked", "Entry no longer allows the request"),
            ApiError::OverLimit { .. } => (422, "over-limit", "Value is above a limit"),
            ApiError::DeadlinePassed => (408, "deadline-passed", "Deadline has passed"),
            ApiError::KeyRequired => (400, "key-required", "Idempotency key is required"),
            ApiError::BadKey => (400, "bad-key", "Idempotency key is malformed"),
            ApiError::KeyReused => (422, "key-reused", "Idempotency key was used differently"),
            ApiError::KeyVoided => (409, "key-voided", "Idempotency key is final"),
            ApiError::Draining => (503, "draining", "Process is stopping"),
            ApiError::LimitUsed { .. } => (429, "limit-used", "Limit is used up"),
            ApiError::Overloaded { .. } => (503, "overloaded", "Servers are overloaded"),
            ApiError::Unconfirmed { .. } => (503, "unconfirmed", "Catalogue is not confirmed"),
            ApiError::Gone => (499, "gone", "Caller went away"),
            ApiError::NoOperator => (401, "no-operator", "Operator's key is missing or unknown"),
            ApiError::Missing { .. } => (404, "missing", "Name is not known"),
            ApiError::AgentFailed { .. } => (502, "agent-failed", "Agent does not answer"),
            ApiError::Unavailable { .. } => (503, "unavailable", "No server is available"),
            ApiError::Quarantined => (422, "quarantined", "Request content is quarantined"),
            ApiError::Unknown { .. } => (504, "unknown", "Outcome is not known"),
            ApiError::Partial { .. } => (502, "partial", "Answer broke off"),
        }
    }

    /// Returns when to come back, where that helps.
    pub fn retry(&self) -> Option<Duration> {
        match self {
            ApiError::LimitUsed { retry, .. }
            | ApiError::Overloaded { retry, .. }
            | ApiError::Unconfirmed { retry }
            | ApiError::Unavailable { retry, .. } => Some(*retry),
            ApiError::Draining => Some(DRAIN_RETRY),
            _ => None,
        }
    }

    /// Creates an error for a body of another form.
    pub fn malformed(detail: impl Into<String>) -> Self {
        ApiError::Malformed {
            detail: detail.into(),
        }
    }
}

const DRAIN_RETRY: Duration = Duration::from_millis(200);
const FAILED_RETRY: Duration = Duration::from_secs(1);

impl From<Failed> for ApiError {
    fn from(failed: Failed) -> Self {
        let detail = failed.cause.to_string();
        if failed.delivered > 0 {
            return ApiError::Partial {
                delivered: failed.delivered,
                detail,
            };
        }
        if failed.ran == Ran::Maybe {
            return ApiError::Unknown { detail };
        }
        match failed.cause {
            DriveError::Deadline | DriveError::Refused(Refusal::Expired) => {
                ApiError::DeadlinePassed
            }
            DriveError::Refused(Refusal::Quarantined) | DriveError::Quarantined { .. } => {
                ApiError::Quarantined
            }
            DriveError::Revoked => ApiError::Revoked,
            DriveError::NoChain { retry, .. } => ApiError::Unavailable { detail, retry },
            _ => ApiError::Unavailable {
                detail,
                retry: FAILED_RETRY,
            },
        }
    }
}

impl From<CallFailure> for ApiError {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::NotRun { detail, retry } => ApiError::Unavailable { detail, retry },
            CallFailure::Deadline => ApiError::DeadlinePassed,
            CallFailure::Revoked => ApiError::Revoked,
            CallFailure::KeyReused => ApiError::KeyReused,
            CallFailure::Voided => ApiError::KeyVoided,
            CallFailure::Unknown { detail } => ApiError::Unknown { detail },
        }
    }
}

impl From<Refused> for ApiError {
    fn from(refused: Refused) -> Self {
        let detail = refused.to_string();
        match refused {
            Refused::Late { retry, .. } => ApiError::Overloaded { detail, retry },
            Refused::NoServer { retry, .. } => ApiError::Unavailable { detail, retry },
        }
    }
}
