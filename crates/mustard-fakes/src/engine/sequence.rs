//! A sequence's state in the engine's layers.

use mustard_backend::engine::{KvCache, StepOutput};
use mustard_core::ids::Layers;
use mustard_proto::step::Input;

use crate::digest::{embed, run_layer, token};

/// An open sequence.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    /// The next position to run.
    pub(super) pos: u32,
    // One hash state for each layer.
    state: Vec<u64>,
}

impl Sequence {
    pub(super) fn new(layers: Layers) -> Self {
        Sequence {
            pos: 0,
            state: vec![0; layers.count() as usize],
        }
    }

    pub(super) fn from_cache(cache: KvCache) -> Self {
        Sequence {
            pos: cache.pos,
            state: cache.state,
        }
    }

    pub(super) fn to_cache(&self) -> KvCache {
        KvCache {
            pos: self.pos,
            state: self.state.clone(),
        }
    }

    /// Runs an input through the layers; returns a token if they end with the model's last layer,
    /// activations otherwise.
    pub(super) fn run(&mut self, layers: Layers, last: bool, input: &Input) -> StepOutput {
        let inputs: Vec<u64> = match input {
            Input::Tokens(tokens) => tokens.iter().map(|t| embed(*t)).collect(),
            Input::Activations(acts) => acts.clone(),
        };
        let acts: Vec<u64> = inputs
            .into_iter()
            .map(|x| self.run_position(layers, x))
            .collect();
        match acts.last() {
            Some(x) if last => StepOutput::Token(token(*x)),
            _ => StepOutput::Activations(acts),
        }
    }

    fn run_position(&mut self, layers: Layers, input: u64) -> u64 {
        let mut x = input;
        for (layer, state) in (layers.first..layers.end).zip(&mut self.state) {
            x = run_layer(layer, self.pos, state, x);
        }
        self.pos += 1;
        x
    }
}
