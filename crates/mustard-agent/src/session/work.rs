//! One step at a stage and how far it has come.

use std::hash::Hasher;
use std::sync::Arc;

use rustc_hash::FxHasher;

use mustard_core::ids::RequestId;
use mustard_proto::step::{Input, Step};

/// What identifies the work of a step: its positions and a digest of its input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// The first position.
    pub pos: u32,
    /// The number of positions.
    pub len: u32,
    digest: u64,
}

impl Work {
    /// Describes the work of a step.
    pub fn of(step: &Step) -> Self {
        Work {
            pos: step.pos,
            len: step.input.len() as u32,
            digest: digest(&step.input),
        }
    }

    /// Returns the position after the last one, if it can be counted.
    pub fn end(&self) -> Option<u32> {
        self.pos.checked_add(self.len)
    }
}

fn digest(input: &Input) -> u64 {
    let mut hasher = FxHasher::default();
    match input {
        Input::Tokens(tokens) => tokens.iter().for_each(|t| hasher.write_u32(*t)),
        Input::Acts(acts) => acts.iter().for_each(|a| hasher.write_u64(*a)),
    }
    hasher.finish()
}

/// What goes to the next stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Onward {
    /// The request.
    pub request: RequestId,
    /// The activations, one per position.
    pub acts: Arc<Vec<u64>>,
}

/// How far the current step of a session has come.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// No step is under way.
    Idle,
    /// The engine runs the step.
    Engine(Work),
    /// The engine ran the step and the next stage has it.
    Next(Work, Arc<Vec<u64>>),
    /// The engine ran the step and the next stage gave no output.
    Kept(Work, Arc<Vec<u64>>),
}

impl Phase {
    /// Returns the work under way.
    pub(super) fn work(&self) -> Option<Work> {
        match self {
            Phase::Idle => None,
            Phase::Engine(work) | Phase::Next(work, _) | Phase::Kept(work, _) => Some(*work),
        }
    }
}
