//! Classifies failed attempts and decides how the request goes on.

use mustard_core::ids::{Epoch, Seq};
use mustard_net::CallError;
use mustard_proto::{Execution, Refusal};

use super::ports::Chain;

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The agent to which the failure is attributed.
    ///
    /// For a refusal it is the agent that refused, for any other error of a step the first agent of
    /// the chain, unless a probe after a timeout shows another one to be silent. `None` if no agent
    /// is at fault.
    pub agent: Option<String>,
    /// Why it failed, for events and error messages.
    pub reason: String,
    /// How the request goes on.
    pub recovery: Recovery,
}

/// How a request goes on after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Gives up with this refusal, because no further attempt can succeed.
    GiveUp(Refusal),
    /// Retries without these agents.
    Avoid(Vec<String>),
    /// Retries; the same agents may be used.
    Retry,
    /// Retries under an epoch above the given one.
    ///
    /// The epoch numbers the attempts at a request; agents refuse an attempt if they know one with
    /// a higher epoch.
    Supersede(Epoch),
    /// Retries once this catalogue change is in force in this process.
    CatchUp(Seq),
}

/// Returns the index of the stage at which a nested refusal began, and the innermost refusal.
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
    ///
    /// The answer doesn't show which agent of the chain is at fault, so the retry avoids all.
    pub(super) fn wrong_position(chain: &Chain, expected: u32, got: u32) -> Self {
        Failure {
            agent: chain.names.first().cloned(),
            reason: format!("answer for position {got}, expected {expected}"),
            recovery: Recovery::Avoid(chain.names.clone()),
        }
    }
}

/// Decides how to go on after a refusal; `avoid` gives the recovery that avoids the refusing agent.
fn recovery_of(cause: &Refusal, avoid: impl Fn() -> Recovery) -> Recovery {
    match cause {
        Refusal::Quarantined | Refusal::Expired | Refusal::TooLarge { .. } => {
            Recovery::GiveUp(cause.clone())
        }
        Refusal::StaleCatalogue { have } => Recovery::CatchUp(*have),
        Refusal::StaleEpoch { current } => Recovery::Supersede(*current),
        // The agent works, but the step does not follow the last one that it ran of the attempt, or
        // it does not know the attempt.
        Refusal::Gap { .. } | Refusal::NotOpen => Recovery::Retry,
        _ => avoid(),
    }
}

/// Combines what two steps tell: `No` only if neither may have run.
pub(super) fn merge_execution(a: Execution, b: Execution) -> Execution {
    match (a, b) {
        (Execution::No, Execution::No) => Execution::No,
        _ => Execution::Maybe,
    }
}
