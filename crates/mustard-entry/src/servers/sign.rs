//! What the outcome of a call says about the agent that it went to.

use mustard_core::ids::Incarnation;
use mustard_net::CallError;
use mustard_policy::membership::Sign;
use mustard_proto::{Ran, Refusal};

/// Returns what a failed call says about its agent; none if it says nothing.
pub(super) fn sign_of(error: &CallError, life: Incarnation) -> Option<Sign> {
    match error {
        CallError::NotSent(_) => Some(Sign::Unreachable),
        CallError::Refused(refusal) => sign_of_refusal(refusal, life),
        CallError::Proto(_) | CallError::Status(_) => Some(Sign::Failed),
        CallError::Lost(_) | CallError::TimedOut(_) => Some(Sign::Failed),
    }
}

fn sign_of_refusal(refusal: &Refusal, life: Incarnation) -> Option<Sign> {
    match refusal {
        Refusal::Leaving => Some(Sign::RefusedLeaving(life)),
        Refusal::NextFailed { cause, .. } => sign_of_refusal(cause, life),
        Refusal::NoAnswer { ran, .. } if *ran == Ran::No => Some(Sign::Unreachable),
        Refusal::ServerFailed { .. } | Refusal::NoAnswer { .. } | Refusal::NotHeld { .. } => {
            Some(Sign::Failed)
        }
        _ => None,
    }
}
