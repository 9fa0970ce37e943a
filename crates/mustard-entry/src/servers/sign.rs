//! Derives evidence about an agent from a failed call to it.

use mustard_core::ids::Incarnation;
use mustard_net::CallError;
use mustard_policy::membership::Sign;
use mustard_proto::{Ran, Refusal};

/// Returns what a failed call shows about its agent; `None` if it shows nothing.
pub(super) fn sign_from_error(error: &CallError, incarnation: Incarnation) -> Option<Sign> {
    match error {
        CallError::NotSent(_) => Some(Sign::Unreachable),
        CallError::Refused(refusal) => sign_from_refusal(refusal, incarnation),
        CallError::Proto(_) | CallError::Status(_) => Some(Sign::Failed),
        CallError::Lost(_) | CallError::TimedOut(_) => Some(Sign::Failed),
    }
}

fn sign_from_refusal(refusal: &Refusal, incarnation: Incarnation) -> Option<Sign> {
    match refusal {
        Refusal::Leaving => Some(Sign::RefusedLeaving(incarnation)),
        Refusal::NextFailed { cause, .. } => sign_from_refusal(cause, incarnation),
        Refusal::NoAnswer { ran, .. } if *ran == Ran::No => Some(Sign::Unreachable),
        Refusal::ServerFailed { .. } | Refusal::NoAnswer { .. } | Refusal::NotHeld { .. } => {
            Some(Sign::Failed)
        }
        _ => None,
    }
}
