//! The ledger of what the engine ran.

use std::collections::VecDeque;

use mustard_core::collections::Map;
use serde::{Deserialize, Serialize};

const MAX_RECORDS: usize = 65_536;

/// What the engine ran for one sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeqRecord {
    /// Positions run.
    pub positions: u32,
    /// Steps refused because they weren't at the sequence's next position.
    pub refused: u32,
    /// Whether the sequence was cancelled.
    pub cancelled: bool,
}

/// What the engine ran since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Batches run.
    pub batches: u64,
    /// Steps run.
    pub steps: u64,
    /// Positions run.
    pub positions: u64,
    /// Steps refused because they weren't at their sequence's next position.
    pub refused: u64,
    /// Sequences that are open now.
    pub open: usize,
    /// The newest sequences by name.
    pub sequences: Map<String, SeqRecord>,
    // Names of the sequences, oldest first.
    #[serde(skip)]
    order: VecDeque<String>,
}

impl Ledger {
    /// Returns the record of a sequence, creating it if needed; the oldest record is dropped when
    /// there are too many.
    pub(super) fn record(&mut self, seq: &str) -> &mut SeqRecord {
        if !self.sequences.contains_key(seq) {
            self.order.push_back(seq.to_owned());
        }
        if self.order.len() > MAX_RECORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.sequences.remove(&oldest);
        }
        self.sequences.entry(seq.to_owned()).or_default()
    }
}
