//! The prefix cache; it shortens prefill and holds no content.

use std::collections::VecDeque;

use mustard_core::collections::Set;
use mustard_proto::step::Input;

use crate::digest::mix_hash;

const BLOCK_POSITIONS: usize = 16;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CacheChange {
    Stored(u64),
    Evicted(u64),
}

/// The hashes of the newest input blocks, evicted in the order of their insertion.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    blocks: Set<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity,
            blocks: Set::default(),
            order: VecDeque::new(),
        }
    }

    /// Returns how many leading positions of an input are cached.
    pub(super) fn cached_positions(&self, input: &Input) -> usize {
        let hashes = block_hashes(input);
        let cached = hashes.iter().take_while(|h| self.blocks.contains(h));
        cached.count() * BLOCK_POSITIONS
    }

    /// Adds the blocks of an input and evicts the oldest ones; returns the changes.
    pub(super) fn insert(&mut self, input: &Input) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for hash in block_hashes(input) {
            if self.blocks.insert(hash) {
                self.order.push_back(hash);
                changes.push(CacheChange::Stored(hash));
            }
        }
        while self.order.len() > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.blocks.remove(&oldest);
            changes.push(CacheChange::Evicted(oldest));
        }
        changes
    }

    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }
}

/// Returns the hash of each full block together with all blocks before it.
fn block_hashes(input: &Input) -> Vec<u64> {
    let numbers: Vec<u64> = match input {
        Input::Tokens(tokens) => tokens.iter().map(|t| u64::from(*t)).collect(),
        Input::Activations(acts) => acts.clone(),
    };
    let mut hash = 0;
    let hash_block = |block: &[u64]| {
        hash = block.iter().fold(hash, |h, n| mix_hash(h, *n));
        hash
    };
    numbers
        .chunks_exact(BLOCK_POSITIONS)
        .map(hash_block)
        .collect()
}
