//! Derives an observation about an agent from a failed call to it.

use mustard_core::ids::Incarnation;
use mustard_net::CallError;
use mustard_policy::membership::Observation;
use mustard_proto::{Execution, Refusal};

/// Returns what a failed call shows about its agent; `None` if it shows nothing.
pub(super) fn observation_from_error(
    error: &CallError,
    incarnation: Incarnation,
) -> Option<Observation> {
    match error {
        CallError::NotSent(_) | CallError::NoListener(_) => Some(Observation::Unreachable),
        CallError::Refused(refusal) => observation_from_refusal(refusal, incarnation),
        CallError::Proto(_) | CallError::Status(_) => Some(Observation::CallFailed),
        CallError::Lost(_) | CallError::TimedOut(_) => Some(Observation::CallFailed),
    }
}

fn observation_from_refusal(refusal: &Refusal, incarnation: Incarnation) -> Option<Observation> {
    match refusal {
        Refusal::Leaving => Some(Observation::RefusedLeaving(incarnation)),
        Refusal::NextFailed { cause, .. } => observation_from_refusal(cause, incarnation),
        Refusal::NoAnswer { ran, .. } if *ran == Execution::No => Some(Observation::Unreachable),
        Refusal::ServerFailed { .. } | Refusal::NoAnswer { .. } | Refusal::NotHeld { .. } => {
            Some(Observation::CallFailed)
        }
        _ => None,
    }
}
