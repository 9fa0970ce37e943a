//! Estimated cost of the link between each pair of servers.

use std::sync::atomic::{AtomicU64, Ordering};

/// The initial estimate for the round trip of a step over a link.
const PRIOR_HOP_US: f32 = 300.0;
/// The initial estimate for the time that each prefilled position adds on a link.
const PRIOR_POSITION_US: f32 = 1.0;
/// The weight of one observation in an estimate.
const WEIGHT: f32 = 0.2;

fn pack(hop: f32, position: f32) -> u64 {
    u64::from(hop.to_bits()) << 32 | u64::from(position.to_bits())
}

fn unpack(bits: u64) -> (f32, f32) {
    (
        f32::from_bits((bits >> 32) as u32),
        f32::from_bits(bits as u32),
    )
}

/// A square table of link costs, indexed by the servers' slots in the fleet's arena.
///
/// Each cell holds two times in microseconds: `hop` is the round trip of a step over the link, and
/// `position` the time that each prefilled position adds. A cell takes eight bytes, so 1,000
/// servers take 8 MB.
#[derive(Debug, Default)]
pub struct Links {
    slot_count: usize,
    cells: Vec<AtomicU64>,
}

impl Links {
    /// Creates a table for `slot_count` slots that starts with the costs of a smaller one.
    pub fn resized(old: &Links, slot_count: usize) -> Self {
        let cell = |i: usize| {
            let (from, to) = (i / slot_count, i % slot_count);
            let is_known = from < old.slot_count && to < old.slot_count;
            let (hop, position) = if is_known {
                old.get(from, to)
            } else {
                (PRIOR_HOP_US, PRIOR_POSITION_US)
            };
            AtomicU64::new(pack(hop, position))
        };
        Links {
            slot_count,
            cells: (0..slot_count * slot_count).map(cell).collect(),
        }
    }

    /// Returns the number of slots on each side of the table.
    pub fn slot_count(&self) -> usize {
        self.slot_count
    }

    /// Returns the round trip of a step and the added time per position, in microseconds.
    pub fn get(&self, from: usize, to: usize) -> (f32, f32) {
        unpack(self.cells[from * self.slot_count + to].load(Ordering::Relaxed))
    }

    /// Returns the costs of all links from a slot.
    pub fn row(&self, slot: usize) -> LinkRow<'_> {
        let begin = slot * self.slot_count;
        LinkRow {
            cells: &self.cells[begin..begin + self.slot_count],
        }
    }

    /// Sets the cost of a link; both times are in microseconds.
    pub fn set(&self, from: usize, to: usize, hop_us: f32, position_us: f32) {
        self.cells[from * self.slot_count + to].store(pack(hop_us, position_us), Ordering::Relaxed);
    }

    /// Updates the estimate with the round trip of a step over the link, in microseconds.
    pub fn observe(&self, from: usize, to: usize, hop_us: f32) {
        self.update(from, to, |hop, position| {
            (hop + WEIGHT * (hop_us - hop), position)
        });
    }

    /// Updates the estimate with the time that a prefill of `positions` spent on the link, in
    /// microseconds.
    pub fn observe_prefill(&self, from: usize, to: usize, positions: u32, us: f32) {
        let positions = positions.max(1) as f32;
        self.update(from, to, |hop, position| {
            let position_us = (us - hop).max(0.0) / positions;
            (hop, position + WEIGHT * (position_us - position))
        });
    }

    /// Updates the estimates with the time that a step spent on all links of a chain together, in
    /// microseconds.
    ///
    /// The deviation from the estimated total is divided in proportion to each link's estimate.
    /// Chains that share some of their links thus tell a slow link from its neighbours.
    pub fn observe_chain(&self, slots: &[usize], total_us: f32) {
        let pairs = || slots.windows(2).map(|w| (w[0], w[1]));
        let estimated_us: f32 = pairs().map(|(a, b)| self.get(a, b).0).sum();
        if estimated_us <= 0.0 || !total_us.is_finite() {
            return;
        }
        let ratio = (total_us.max(0.0) / estimated_us).clamp(0.1, 10.0);
        for (from, to) in pairs() {
            self.update(from, to, |hop, position| {
                (hop * (1.0 + WEIGHT * (ratio - 1.0)), position)
            });
        }
    }

    /// Resets all links of a slot to the prior, for a new server in it.
    pub fn reset(&self, slot: usize) {
        for other in 0..self.slot_count {
            self.set(slot, other, PRIOR_HOP_US, PRIOR_POSITION_US);
            self.set(other, slot, PRIOR_HOP_US, PRIOR_POSITION_US);
        }
    }

    /// Replaces the costs of a link by the result of `f`, with a lower bound for each.
    fn update(&self, from: usize, to: usize, f: impl Fn(f32, f32) -> (f32, f32)) {
        let next = |bits| {
            let (hop, position) = unpack(bits);
            let (hop, position) = f(hop, position);
            Some(pack(hop.max(1.0), position.max(0.0)))
        };
        let cell = &self.cells[from * self.slot_count + to];
        let _ = cell.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

/// The costs of the links from one slot.
#[derive(Clone, Copy, Debug)]
pub struct LinkRow<'a> {
    cells: &'a [AtomicU64],
}

impl LinkRow<'_> {
    /// Returns the round trip of a step and the added time per position, in microseconds.
    pub fn to(self, slot: usize) -> (f32, f32) {
        unpack(self.cells[slot].load(Ordering::Relaxed))
    }
}
