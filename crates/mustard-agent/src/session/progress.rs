//! The identity of a step and its progress at a stage.

use std::hash::Hasher;
use std::sync::Arc;

use rustc_hash::FxHasher;

use mustard_core::ids::RequestId;
use mustard_proto::step::{Input, Step};

/// Identifies a step within its attempt by its positions and a digest of its input.
///
/// A step with the same identity is a repeat of the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepId {
    /// The first position.
    pub pos: u32,
    /// The number of positions.
    pub len: u32,
    digest: u64,
}

impl StepId {
    /// Returns the identity of a step.
    pub fn of(step: &Step) -> Self {
        StepId {
            pos: step.pos,
            len: step.input.len() as u32,
            digest: digest(&step.input),
        }
    }

    /// Returns the position after the last one, or `None` if it overflows.
    pub fn end(&self) -> Option<u32> {
        self.pos.checked_add(self.len)
    }
}

fn digest(input: &Input) -> u64 {
    let mut hasher = FxHasher::default();
    match input {
        Input::Tokens(tokens) => tokens.iter().for_each(|t| hasher.write_u32(*t)),
        Input::Activations(acts) => acts.iter().for_each(|a| hasher.write_u64(*a)),
    }
    hasher.finish()
}

/// The output of this stage, which is the input of the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOutput {
    /// The request.
    pub request: RequestId,
    /// The activations, one per position.
    pub acts: Arc<Vec<u64>>,
}

/// The progress of the current step of a session.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// No step is in progress.
    Idle,
    /// The engine is running the step.
    EngineRunning(StepId),
    /// The engine ran the step; its activations were sent to the next stage.
    NextRunning(StepId, Arc<Vec<u64>>),
    /// The engine ran the step and the next stage failed; the activations are kept for a retry.
    NextFailed(StepId, Arc<Vec<u64>>),
}

impl Phase {
    /// Returns the identity of the step in progress, or `None` if the session is idle.
    pub(super) fn step_id(&self) -> Option<StepId> {
        match self {
            Phase::Idle => None,
            Phase::EngineRunning(step_id)
            | Phase::NextRunning(step_id, _)
            | Phase::NextFailed(step_id, _) => Some(*step_id),
        }
    }
}
