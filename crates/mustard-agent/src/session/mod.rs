//! The sessions of a stage, as a state machine without I/O.
//!
//! A session is one attempt at one request at this stage. It accepts positions in order, keeps its
//! last output to answer a repeated step, and ends when it is cancelled, replaced by a newer
//! attempt, past its deadline, idle for too long, or when its step fails. Every ended attempt
//! leaves a tombstone, so that a late step of it is refused.

mod attempt;
mod check;
mod progress;
mod table;
mod tombstones;

pub use attempt::{EndReason, EndedSession, StepHandle};
pub use check::check_params;
pub use progress::{StageOutput, StepId};
pub use table::{SessionLimits, Sessions, StepAction};

use mustard_proto::Refusal;

/// The result of an operation on sessions; the error is the answer to the sender.
pub type Result<T> = std::result::Result<T, Refusal>;
