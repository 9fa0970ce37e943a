//! A bounded record of the chains of servers that have prefixes of recent prompts in their caches.

use std::collections::VecDeque;
use std::hash::Hasher;

use rustc_hash::FxHasher;

use mustard_core::collections::Map;

use super::plan::CachedChain;
use crate::fleet::ServerKey;

/// The length of a block, in positions (one per token); prefixes are compared by whole blocks.
const BLOCK_POSITIONS: usize = 32;

/// Records which chain last ran which prefix of a prompt, up to a number of prefixes.
#[derive(Debug)]
pub struct Affinity {
    capacity: usize,
    chains: Map<u64, Vec<ServerKey>>,
    insertions: VecDeque<u64>,
}

impl Affinity {
    /// Creates an empty record of at most `capacity` prefixes; those inserted first are
    /// dropped first, even if they were used since.
    pub fn new(capacity: usize) -> Self {
        Affinity {
            capacity,
            chains: Map::default(),
            insertions: VecDeque::new(),
        }
    }

    /// Returns the chain that ran the longest known prefix of a prompt.
    pub fn find(&self, model: &str, prompt: &[u32]) -> Option<CachedChain<'_>> {
        let prefixes = hash_prefixes(model, prompt);
        let (positions, servers) = prefixes
            .into_iter()
            .rev()
            .find_map(|(len, hash)| Some((len, self.chains.get(&hash)?)))?;
        let positions = positions as u32;
        Some(CachedChain { servers, positions })
    }

    /// Records that a chain ran a prompt, and so has each of its prefixes cached.
    pub fn insert(&mut self, model: &str, prompt: &[u32], chain: &[ServerKey]) {
        for (_, hash) in hash_prefixes(model, prompt) {
            if self.chains.insert(hash, chain.to_vec()).is_none() {
                self.insertions.push_back(hash);
            }
        }
        while self.insertions.len() > self.capacity {
            if let Some(hash) = self.insertions.pop_front() {
                self.chains.remove(&hash);
            }
        }
    }
}

/// Returns length and hash of each prefix of whole blocks, the shortest first.
fn hash_prefixes(model: &str, prompt: &[u32]) -> Vec<(usize, u64)> {
    let mut hasher = FxHasher::default();
    hasher.write(model.as_bytes());
    let hash_next = |(i, block): (usize, &[u32])| {
        for token in block {
            hasher.write_u32(*token);
        }
        ((i + 1) * BLOCK_POSITIONS, hasher.finish())
    };
    prompt
        .chunks_exact(BLOCK_POSITIONS)
        .enumerate()
        .map(hash_next)
        .collect()
}
