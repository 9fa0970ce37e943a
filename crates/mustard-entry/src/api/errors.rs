//! Errors of callers' and operators' requests, and their problem fields.

use std::time::Duration;

use thiserror::Error;

use mustard_core::outcome::Outcome;
use mustard_proto::{Execution, Refusal};

use crate::admission::AdmissionError;
use crate::calls::CallFailure;
use crate::driver::{DriveError, DriveFailure};

/// The result of handling a request.
pub type Result<T> = std::result::Result<T, ApiError>;

/// Why a request was refused or was not completed.
#[derive(Clone, Debug, Error)]
pub enum ApiError {
    /// The path does not exist.
    #[error("the path does not exist")]
    NoPath,
    /// The request does not have the form that the path expects.
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
    BodyTimeout {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
    /// The body made no progress while others needed the room that it takes.
    #[error("the body stalled")]
    BodyStalled,
    /// There is no room for the body.
    #[error("there is no room for the body now")]
    NoRoom {
        /// How long the caller should wait before it retries.
        retry: Duration,
    },
    /// The body ended early or could not be decoded.
    #[error("the body is not whole")]
    BodyIncomplete,
    /// No bearer key was sent, or one that belongs to no catalogue entry.
    #[error("a valid bearer key is required")]
    NoKey,
    /// The catalogue entry exists, but this key may not use it.
    #[error("the key does not open {name:?}")]
    KeyNotAllowed {
        /// The name in the request.
        name: String,
    },
    /// No catalogue entry has this name or a target of this name.
    #[error("{name:?} is not in the catalogue")]
    UnknownEntry {
        /// The name in the request.
        name: String,
    },
    /// The catalogue entry was changed after the request was accepted, and no longer allows it.
    #[error("the catalogue entry no longer allows the request")]
    Revoked,
    /// A value in the request is above a limit of the catalogue entry or of the entry process.
    #[error("{field} is {value}, the limit is {limit}")]
    OverLimit {
        /// The name of the field in the request.
        field: &'static str,
        /// The value in the request.
        value: u64,
        /// The highest allowed value.
        limit: u64,
    },
    /// The deadline passed before the request ran.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The call is not repeatable and has no idempotency key.
    #[error("the call may not be repeated, so it needs an Idempotency-Key header")]
    KeyRequired,
    /// The idempotency key is malformed.
    #[error("the Idempotency-Key must have 1 to 128 visible ASCII characters")]
    BadKey,
    /// The idempotency key was used before with another request.
    #[error("the Idempotency-Key was used with another request")]
    KeyReused,
    /// The idempotency key was voided: the call did not run and never will under this key.
    #[error("the Idempotency-Key was made final without a run; send the call under a new key")]
    KeyVoided,
    /// The entry process is stopping and takes no new requests.
    #[error("the process is stopping")]
    Draining,
    /// A limit of the catalogue entry is used up.
    #[error("the limit on {what} is used up")]
    LimitUsed {
        /// What is limited.
        what: &'static str,
        /// How long the caller should wait before it retries.
        retry: Duration,
    },
    /// The servers are too loaded to answer the request before its deadline.
    #[error("{detail}")]
    Overloaded {
        /// What is known about the outcome.
        detail: String,
        /// How long the caller should wait before it retries.
        retry: Duration,
    },
    /// The catalogue in force can't be confirmed to be the newest.
    #[error("the catalogue in force can't be confirmed to be the newest")]
    UnconfirmedCatalogue {
        /// How long the caller should wait before it retries.
        retry: Duration,
    },
    /// The caller closed the connection before the answer was complete.
    #[error("the caller went away")]
    CallerGone,
    /// The request needs an operator's key, and has none or an unknown one.
    #[error("an operator's key is required")]
    NoOperatorKey,
    /// The agent, service or content that an operator named is unknown to this entry process.
    #[error("{what:?} is not known here")]
    NotFound {
        /// The name in the request.
        what: String,
    },
    /// An agent did not answer an operator's request.
    #[error("{detail}")]
    AgentFailed {
        /// The agent and the error.
        detail: String,
    },
    /// No server can take the request now, and none ran it.
    #[error("{detail}")]
    Unavailable {
        /// The reason.
        detail: String,
        /// How long the caller should wait before it retries.
        retry: Duration,
    },
    /// The content of the request is quarantined, because servers failed while they ran it.
    #[error("the content of the request is quarantined")]
    Quarantined,
    /// The request may have run, and its answer is not known.
    #[error("{detail}")]
    Unknown {
        /// What is known about the outcome.
        detail: String,
    },
    /// The answer ended before it was complete; the tokens sent so far are correct.
    #[error("the answer broke off after {delivered} tokens: {detail}")]
    Partial {
        /// The number of tokens that were sent to the caller.
        delivered: u32,
        /// The reason.
        detail: String,
    },
}

/// The fields of an error's problem document, except for the detail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProblemFields {
    /// The HTTP status code.
    pub status: u16,
    /// The stable name of the error, the last part of the `type` member.
    pub kind: &'static str,
    /// A short summary, the same for all errors of this kind.
    pub title: &'static str,
    /// Whether the request ran.
    pub outcome: Outcome,
}

impl ApiError {
    /// Returns the fields of the error's problem document.
    pub fn problem_fields(&self) -> ProblemFields {
        let (status, kind, title) = self.status_kind_title();
        let outcome = match self {
            ApiError::Unknown { .. } | ApiError::AgentFailed { .. } => Outcome::Unknown,
            ApiError::Partial { .. } | ApiError::CallerGone => Outcome::Partial,
            _ => Outcome::NotRun,
        };
        ProblemFields {
            status,
            kind,
            title,
            outcome,
        }
    }

    fn status_kind_title(&self) -> (u16, &'static str, &'static str) {
        match self {
            ApiError::NoPath => (404, "no-path", "Path does not exist"),
            ApiError::Malformed { .. } => (400, "malformed", "Request is malformed"),
            ApiError::BodyTooLarge { .. } => (413, "body-too-large", "Body is too large"),
            ApiError::BodyTimeout { .. } => (408, "body-slow", "Body arrives too slowly"),
            ApiError::BodyStalled => (408, "body-stalled", "Body makes no progress"),
            ApiError::NoRoom { .. } => (503, "no-room", "No room for the body"),
            ApiError::BodyIncomplete => (400, "body-cut", "Body is not whole"),
            ApiError::NoKey => (401, "no-key", "Bearer key is missing or unknown"),
            ApiError::KeyNotAllowed { .. } => (403, "foreign-key", "Key does not open the entry"),
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
            ApiError::UnconfirmedCatalogue { .. } => {
                (503, "unconfirmed", "Catalogue is not confirmed")
            }
            ApiError::CallerGone => (499, "gone", "Caller went away"),
            ApiError::NoOperatorKey => (401, "no-operator", "Operator's key is missing or unknown"),
            ApiError::NotFound { .. } => (404, "missing", "Name is not known"),
            ApiError::AgentFailed { .. } => (502, "agent-failed", "Agent does not answer"),
            ApiError::Unavailable { .. } => (503, "unavailable", "No server is available"),
            ApiError::Quarantined => (422, "quarantined", "Request content is quarantined"),
            ApiError::Unknown { .. } => (504, "unknown", "Outcome is not known"),
            ApiError::Partial { .. } => (502, "partial", "Answer broke off"),
        }
    }

    /// Returns how long the caller should wait before a retry; none if a retry would not help.
    pub fn retry(&self) -> Option<Duration> {
        match self {
            ApiError::LimitUsed { retry, .. }
            | ApiError::Overloaded { retry, .. }
            | ApiError::UnconfirmedCatalogue { retry }
            | ApiError::NoRoom { retry }
            | ApiError::Unavailable { retry, .. } => Some(*retry),
            ApiError::Draining => Some(DRAINING_RETRY),
            _ => None,
        }
    }

    /// Creates an error for a malformed request.
    pub fn malformed(detail: impl Into<String>) -> Self {
        ApiError::Malformed {
            detail: detail.into(),
        }
    }
}

/// The retry delay while this entry process is stopping.
const DRAINING_RETRY: Duration = Duration::from_millis(200);
/// The retry delay after a failure of a completion request that gives none.
const FAILED_RETRY: Duration = Duration::from_secs(1);

impl From<DriveFailure> for ApiError {
    fn from(failure: DriveFailure) -> Self {
        let detail = failure.cause.to_string();
        if failure.delivered > 0 {
            return ApiError::Partial {
                delivered: failure.delivered,
                detail,
            };
        }
        if failure.execution == Execution::Maybe {
            return ApiError::Unknown { detail };
        }
        match failure.cause {
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

impl From<AdmissionError> for ApiError {
    fn from(error: AdmissionError) -> Self {
        let detail = error.to_string();
        match error {
            AdmissionError::NotAdmitted { retry, .. } => ApiError::Overloaded { detail, retry },
            AdmissionError::NoServer { retry, .. } => ApiError::Unavailable { detail, retry },
        }
    }
}
