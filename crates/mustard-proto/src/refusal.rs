//! Typed refusals of one process towards another.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::{Epoch, Fence, Incarnation, Seq};

/// Whether the refused work may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ran {
    /// It did not run here and will not.
    No,
    /// It may have run.
    Maybe,
}

/// Why a process did not do what a message asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// The body is not a message of this path.
    #[error("message is malformed: {detail}")]
    Malformed {
        /// What the decoder found.
        detail: String,
    },
    /// The sender speaks another version.
    #[error("message version {got} is not supported, supported: {supported}")]
    Version {
        /// The version of the sender.
        got: u16,
        /// The version of this process.
        supported: u16,
    },
    /// The body is larger than this path takes.
    #[error("message exceeds {limit} bytes")]
    TooLarge {
        /// The largest body, in bytes.
        limit: u64,
    },
    /// The message is meant for an earlier life of this process.
    #[error("message is for another incarnation, this is {current}")]
    WrongIncarnation {
        /// The current life.
        current: Incarnation,
    },
    /// The sender works under a catalogue older than one seen here.
    #[error("sender's catalogue is older than change {have}")]
    StaleCatalogue {
        /// The newest change seen here.
        have: Seq,
    },
    /// The message belongs to a superseded attempt.
    #[error("attempt is superseded by epoch {current}")]
    StaleEpoch {
        /// The newest epoch seen here.
        current: Epoch,
    },
    /// The step does not follow the last one.
    #[error("step does not follow, expected position {expected}")]
    Gap {
        /// The next position that this stage takes.
        expected: u32,
    },
    /// The stage has no state for the attempt.
    #[error("attempt is not open here")]
    NotOpen,
    /// The process takes no new work.
    #[error("process is leaving")]
    Leaving,
    /// The process has no room at present.
    #[error("process is busy, retry after {retry_ms} ms")]
    Busy {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// The deadline passed before the work started.
    #[error("deadline has passed")]
    Expired,
    /// The server beside this agent does not hold what is asked for.
    #[error("server does not hold {what}")]
    NotHeld {
        /// The model, layers or service.
        what: String,
    },
    /// The server beside this agent failed.
    #[error("server failed: {detail}")]
    ServerFailed {
        /// Whether the work may have run.
        ran: Ran,
        /// What was seen.
        detail: String,
        /// The different request contents that ran on the server when it died, this one
        /// included; none if it did not die.
        #[serde(default)]
        suspects: Vec<Fingerprint>,
    },
    /// The next agent of the chain failed or refused.
    #[error("stage {stage} failed: {cause}")]
    NextFailed {
        /// The place of the failed agent in the chain.
        stage: u32,
        /// Its refusal, or what was seen of it.
        cause: Box<Refusal>,
    },
    /// No answer came from a process that was sent the message.
    #[error("no answer: {detail}")]
    NoAnswer {
        /// Whether the message may have arrived.
        ran: Ran,
        /// What was seen.
        detail: String,
    },
    /// The idempotency key was used before with another body.
    #[error("idempotency key was used with another body")]
    KeyReused,
    /// A call with this key may have run and its answer is not known.
    #[error("call may have run, its answer is not known")]
    InDoubt,
    /// The key was made final without a run.
    #[error("key was made final without a run")]
    Voided,
    /// The platform's service does not answer, so nothing was started.
    #[error("platform's {service} is unavailable, retry after {retry_ms} ms")]
    PlatformDown {
        /// The service.
        service: String,
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// The order carries an old fencing number.
    #[error("fencing number is below {highest}")]
    Fenced {
        /// The highest number seen.
        highest: Fence,
    },
    /// The request content is quarantined.
    #[error("request content is quarantined")]
    Quarantined,
}

impl Refusal {
    /// Tells whether the refused work may have run.
    pub fn ran(&self) -> Ran {
        match self {
            Refusal::ServerFailed { ran, .. } | Refusal::NoAnswer { ran, .. } => *ran,
            Refusal::InDoubt => Ran::Maybe,
            // An earlier stage ran the step before it was sent on.
            Refusal::NextFailed { .. } => Ran::Maybe,
            _ => Ran::No,
        }
    }

    /// Returns when to come back, where that helps.
    pub fn retry_ms(&self) -> Option<u64> {
        match self {
            Refusal::Busy { retry_ms } | Refusal::PlatformDown { retry_ms, .. } => Some(*retry_ms),
            _ => None,
        }
    }

    /// Returns the stable name used in events and metrics.
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
