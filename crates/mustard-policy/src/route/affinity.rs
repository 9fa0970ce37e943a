//! Memory of the chains that hold prefixes of recent prompts.

use std::collections::VecDeque;
use std::hash::Hasher;

use rustc_hash::FxHasher;

use mustard_core::collections::Map;

use super::plan::Prefer;
use crate::fleet::ServerKey;

/// The length of a block, in positions; prefixes are compared by whole blocks.
const BLOCK: usize = 32;

/// Remembers which chain ran which prefix last, up to a number of prefixes.
#[derive(Debug)]
pub struct Affinity {
    capacity: usize,
    chains: Map<u64, Vec<ServerKey>>,
    order: VecDeque<u64>,
}

impl Affinity {
    /// Creates a memory of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Affinity {
            capacity,
            chains: Map::default(),
            order: VecDeque::new(),
        }
    }

    /// Returns the chain that ran the longest known prefix of a prompt.
    pub fn find(&self, model: &str, prompt: &[u32]) -> Option<Prefer<'_>> {
        let prefixes = prefixes(model, prompt);
        let (cached, chain) = prefixes
            .into_iter()
            .rev()
            .find_map(|(len, hash)| Some((len, self.chains.get(&hash)?)))?;
        let cached = cached as u32;
        Some(Prefer { chain, cached })
    }

    /// Remembers that a chain ran a prompt.
    pub fn insert(&mut self, model: &str, prompt: &[u32], chain: &[ServerKey]) {
        for (_, hash) in prefixes(model, prompt) {
            if self.chains.insert(hash, chain.to_vec()).is_none() {
                self.order.push_back(hash);
            }
        }
        while self.order.len() > self.capacity {
            if let Some(hash) = self.order.pop_front() {
                self.chains.remove(&hash);
            }
        }
    }
}

/// Digests each prefix of whole blocks; returns length and digest.
fn prefixes(model: &str, prompt: &[u32]) -> Vec<(usize, u64)> {
    let mut hasher = FxHasher::default();
    hasher.write(model.as_bytes());
    let digest = |(i, block): (usize, &[u32])| {
        for token in block {
            hasher.write_u32(*token);
        }
        ((i + 1) * BLOCK, hasher.finish())
    };
    prompt.chunks_exact(BLOCK).enumerate().map(digest).collect()
}
