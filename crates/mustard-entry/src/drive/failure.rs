//! What a failed step says about the next attempt.

use mustard_core::ids::{Epoch, Seq};
use mustard_net::CallError;
use mustard_proto::{Ran, Refusal};

use super::ports::Chain;

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The agent that failed, if it is known.
    pub agent: Option<String>,
    /// Why, for events and answers.
    pub reason: String,
    /// What follows.
    pub verdict: Verdict,
}

/// What follows from a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No further attempt can help.
    Final(Refusal),
    /// Another attempt without these agents.
    Avoid(Vec<String>),
    /// Another attempt, over the same agents if need be.
    Again,
    /// Another attempt above the given epoch.
    Supersede(Epoch),
    /// Another attempt once the catalogue has this change.
    CatchUp(Seq),
}

/// The place in the chain and the refusal that a nested answer is owed to.
pub(super) fn origin(refusal: &Refusal) -> (usize, &Refusal) {
    let mut place = 0;
    let mut cause = refusal;
    while let Refusal::NextFailed {
        stage,
        cause: inner,
    } = cause
    {
        place = *stage as usize;
        cause = inner;
    }
    (place, cause)
}

impl Failure {
    /// Sorts the error of a step.
    pub(super) fn of(chain: &Chain, error: &CallError) -> Self {
        let (place, cause) = match error {
            CallError::Refused(refusal) => {
                let (place, cause) = origin(refusal);
                (place, Some(cause))
            }
            _ => (0, None),
        };
        let agent = chain.names.get(place).cloned();
        let avoid = || Verdict::Avoid(agent.iter().cloned().collect());
        let verdict = cause.map_or_else(avoid, |c| verdict_of(c, avoid));
        Failure {
            reason: error.to_string(),
            agent,
            verdict,
        }
    }

    /// Describes a draft whose rest can't come in time.
    pub(super) fn hopeless() -> Self {
        Failure {
            agent: None,
            reason: "the rest of the answer can't come in time".to_owned(),
            verdict: Verdict::Final(Refusal::Expired),
        }
    }

    /// Describes an answer that does not belong to its step.
    pub(super) fn mismatch(chain: &Chain, expected: u32, got: u32) -> Self {
        Failure {
            agent: chain.names.first().cloned(),
            reason: format!("answer for position {got}, expected {expected}"),
            verdict: Verdict::Avoid(chain.names.clone()),
        }
    }
}

fn verdict_of(cause: &Refusal, avoid: impl Fn() -> Verdict) -> Verdict {
    match cause {
        Refusal::Quarantined | Refusal::Expired | Refusal::TooLarge { .. } => {
            Verdict::Final(cause.clone())
        }
        Refusal::StaleCatalogue { have } => Verdict::CatchUp(*have),
        Refusal::StaleEpoch { current } => Verdict::Supersede(*current),
        Refusal::Gap { .. } | Refusal::NotOpen => Verdict::Again,
        _ => avoid(),
    }
}

/// Returns the more cautious of two statements.
pub(super) fn worse(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::No, Ran::No) => Ran::No,
        _ => Ran::Maybe,
    }
}
