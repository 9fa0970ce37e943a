//! Classifies failed attempts and decides how the request goes on.

use mustard_core::ids::{Epoch, Seq};
use mustard_net::CallError;
use mustard_proto::{Execution, Refusal};

use super::ports::Chain;

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The agent that failed, if known.
    pub agent: Option<String>,
    /// Why it failed, for events and error messages.
    pub reason: String,
    /// How the request goes on.
    pub recovery: Recovery,
}

/// How a request goes on after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Gives up, because no further attempt can succeed.
    GiveUp(Refusal),
    /// Retries without these agents.
    Avoid(Vec<String>),
    /// Retries; the same agents may be used.
    Retry,
    /// Retries under an epoch above the given one.
    Supersede(Epoch),
    /// Retries once this catalogue change is in force here.
    CatchUp(Seq),
}

/// Returns the stage at which a nested refusal began, and the innermost refusal.
pub(super) fn locate_cause(refusal: &Refusal) -> (usize, &Refusal) {
    let mut index = 0;
    let mut cause = refusal;
    while let Refusal::NextFailed {
        stage,
        cause: inner,
    } = cause
    {
        index = *stage as usize;
        cause = inner;
    }
    (index, cause)
}

impl Failure {
    /// Classifies the error of a step.
    pub(super) fn from_error(chain: &Chain, error: &CallError) -> Self {
        let (index, cause) = match error {
            CallError::Refused(refusal) => {
                let (index, cause) = locate_cause(refusal);
                (index, Some(cause))
            }
            _ => (0, None),
        };
        let agent = chain.names.get(index).cloned();
        let avoid = || Recovery::Avoid(agent.iter().cloned().collect());
        let recovery = cause.map_or_else(avoid, |c| recovery_of(c, avoid));
        Failure {
            reason: error.to_string(),
            agent,
            recovery,
        }
    }

    /// Creates the failure of a request whose remaining tokens can't meet the deadline.
    pub(super) fn too_late() -> Self {
        Failure {
            agent: None,
            reason: "the rest of the answer can't come in time".to_owned(),
            recovery: Recovery::GiveUp(Refusal::Expired),
        }
    }

    /// Creates the failure of a step whose answer is for another position.
    pub(super) fn wrong_position(chain: &Chain, expected: u32, got: u32) -> Self {
        Failure {
            agent: chain.names.first().cloned(),
            reason: format!("answer for position {got}, expected {expected}"),
            recovery: Recovery::Avoid(chain.names.clone()),
        }
    }
}

fn recovery_of(cause: &Refusal, avoid: impl Fn() -> Recovery) -> Recovery {
    match cause {
        Refusal::Quarantined | Refusal::Expired | Refusal::TooLarge { .. } => {
            Recovery::GiveUp(cause.clone())
        }
        Refusal::StaleCatalogue { have } => Recovery::CatchUp(*have),
        Refusal::StaleEpoch { current } => Recovery::Supersede(*current),
        Refusal::Gap { .. } | Refusal::NotOpen => Recovery::Retry,
        _ => avoid(),
    }
}

/// Returns `No` only if both say that nothing ran.
pub(super) fn merge_execution(a: Execution, b: Execution) -> Execution {
    match (a, b) {
        (Execution::No, Execution::No) => Execution::No,
        _ => Execution::Maybe,
    }
}
