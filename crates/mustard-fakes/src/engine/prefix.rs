//! The prefix cache: it only saves time.

use std::collections::VecDeque;

use mustard_core::collections::Set;
use mustard_proto::step::Input;

use crate::digest::mix;

const BLOCK: usize = 16;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    Stored(u64),
    Evicted(u64),
}

/// Which blocks of input were run lately; the oldest block goes first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    known: Set<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity,
            known: Set::default(),
            order: VecDeque::new(),
        }
    }

    /// Returns how many leading positions of an input are known.
    pub(super) fn known_positions(&self, input: &Input) -> usize {
        let hashes = block_hashes(input);
        let known = hashes.iter().take_while(|h| self.known.contains(h));
        known.count() * BLOCK
    }

    /// Takes in the blocks of an input.
    pub(super) fn store(&mut self, input: &Input) -> Vec<Change> {
        let mut changes = Vec::new();
        for hash in block_hashes(input) {
            if self.known.insert(hash) {
                self.order.push_back(hash);
                changes.push(Change::Stored(hash));
            }
        }
        while self.order.len() > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.known.remove(&oldest);
            changes.push(Change::Evicted(oldest));
        }
        changes
    }

    pub(super) fn clear(&mut self) {
        self.known.clear();
        self.order.clear();
    }
}

/// Hashes each whole block together with all blocks before it.
fn block_hashes(input: &Input) -> Vec<u64> {
    let numbers: Vec<u64> = match input {
        Input::Tokens(tokens) => tokens.iter().map(|t| u64::from(*t)).collect(),
        Input::Acts(acts) => acts.clone(),
    };
    let mut hash = 0;
    let fold = |block: &[u64]| {
        hash = block.iter().fold(hash, |h, n| mix(h, *n));
        hash
    };
    numbers.chunks_exact(BLOCK).map(fold).collect()
}
