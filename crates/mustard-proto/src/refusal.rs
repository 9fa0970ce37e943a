//! The reasons for which a process refuses a message of another process.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Fence, Incarnation, Seq};

/// Whether the refused work may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Execution {
    /// It did not run and will not.
    No,
    /// It may have run.
    Maybe,
}

/// Why a process did not do what a message asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// The body is not a valid message of this path.
    #[error("message is malformed: {detail}")]
    Malformed {
        /// The error of the decoder or of the check that failed.
        detail: String,
    },
    /// The sender uses another version of the protocol.
    #[error("message version {got} is not supported, supported: {supported}")]
    Version {
        /// The sender's version.
        got: u16,
        /// The version that this process supports.
        supported: u16,
    },
    /// The body is larger than this path accepts.
    #[error("message exceeds {limit} bytes")]
    TooLarge {
        /// The largest body, in bytes.
        limit: u64,
    },
    /// The message is meant for another incarnation, usually from before a restart.
    #[error("message is for another incarnation, this is {current}")]
    WrongIncarnation {
        /// The current incarnation.
        current: Incarnation,
    },
    /// The sender's catalogue is older than a change that this process knows to exist.
    #[error("sender's catalogue is older than change {have}")]
    StaleCatalogue {
        /// The newest change known here.
        have: Seq,
    },
    /// The message belongs to an attempt that a later one superseded.
    #[error("attempt is superseded by epoch {current}")]
    StaleEpoch {
        /// The newest epoch seen here.
        current: Epoch,
    },
    /// The step does not start at the next position of the attempt.
    #[error("step does not follow, expected position {expected}")]
    Gap {
        /// The next position that this stage accepts.
        expected: u32,
    },
    /// The stage has no session for the attempt.
    #[error("attempt is not open here")]
    NotOpen,
    /// The process takes no new work: it drains, stops or changes its layers.
    #[error("process is leaving")]
    Leaving,
    /// The process has no capacity at present.
    #[error("process is busy, retry after {retry_ms} ms")]
    Busy {
        /// How long to wait before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// The deadline passed before the work started.
    #[error("deadline has passed")]
    Expired,
    /// The backend server beside this agent does not hold the requested model, layers or service.
    #[error("server does not hold {what}")]
    NotHeld {
        /// What was requested.
        what: String,
    },
    /// The backend server beside this agent failed.
    #[error("server failed: {detail}")]
    ServerFailed {
        /// Whether the work may have run.
        ran: Execution,
        /// What was observed.
        detail: String,
        /// The distinct request contents that ran on the backend server when it died, this one
        /// included; empty if it did not die.
        #[serde(default)]
        suspects: Vec<Fingerprint>,
    },
    /// The next stage of the chain failed or refused the step.
    #[error("stage {stage} failed: {cause}")]
    NextFailed {
        /// The index of that stage in the chain.
        stage: u32,
        /// Its refusal, or the failure that was observed.
        cause: Box<Refusal>,
    },
    /// A process that was sent a message gave no answer.
    #[error("no answer: {detail}")]
    NoAnswer {
        /// Whether the work may have run there.
        ran: Execution,
        /// What was observed.
        detail: String,
    },
    /// The idempotency key was used before for another call.
    #[error("idempotency key was used with another body")]
    KeyReused,
    /// A call with this key may have run, and its answer is not known.
    #[error("call may have run, its answer is not known")]
    InDoubt,
    /// The key was made final before any call with it ran; none will run.
    #[error("key was made final without a run")]
    Voided,
    /// A service of the platform does not answer, so the work was not started.
    #[error("platform's {service} is unavailable, retry after {retry_ms} ms")]
    PlatformDown {
        /// The name of the service.
        service: String,
        /// How long to wait before a retry, in milliseconds.
        retry_ms: u64,
    },
    /// The order carries a lower fencing token than one already seen.
    #[error("fencing number is below {highest}")]
    Fenced {
        /// The highest fencing token seen.
        highest: Fence,
    },
    /// The request content is quarantined because backend servers died while they ran it.
    #[error("request content is quarantined")]
    Quarantined,
}

impl Refusal {
    /// Returns whether the refused work may have run.
    pub fn execution(&self) -> Execution {
        match self {
            Refusal::ServerFailed { ran, .. } | Refusal::NoAnswer { ran, .. } => *ran,
            Refusal::InDoubt => Execution::Maybe,
            // The stage that reports this ran the step itself before it sent it on.
            Refusal::NextFailed { .. } => Execution::Maybe,
            _ => Execution::No,
        }
    }

    /// Returns how long to wait before a retry, for refusals that pass with time.
    pub fn retry_ms(&self) -> Option<u64> {
        match self {
            Refusal::Busy { retry_ms } | Refusal::PlatformDown { retry_ms, .. } => Some(*retry_ms),
            _ => None,
        }
    }

    /// Returns the name used in events and metrics; it must not change.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::Malformed { .. } => "malformed",
            Refusal::Version { .. } => "version",
            Refusal::TooLarge { .. } => "too_large",
            Refusal::WrongIncarnation { .. } => "wrong_incarnation",
            Refusal::StaleCatalogue { .. } => "stale_catalogue",
            Refusal::StaleEpoch { .. } => "stale_epoch",
            Refusal::Gap { .. } => "gap",
            Refusal::NotOpen => "not_open",
            Refusal::Leaving => "leaving",
            Refusal::Busy { .. } => "busy",
            Refusal::Expired => "expired",
            Refusal::NotHeld { .. } => "not_held",
            Refusal::ServerFailed { .. } => "server_failed",
            Refusal::NextFailed { .. } => "next_failed",
            Refusal::NoAnswer { .. } => "no_answer",
            Refusal::KeyReused => "key_reused",
            Refusal::InDoubt => "in_doubt",
            Refusal::Voided => "voided",
            Refusal::PlatformDown { .. } => "platform_down",
            Refusal::Fenced { .. } => "fenced",
            Refusal::Quarantined => "quarantined",
        }
    }
}
