//! Events of the prefix cache, published with a delay and with losses.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::prefix::CacheChange;

const MAX_EVENTS: usize = 4096;

/// A published change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number of the event; a gap in the numbers means lost events.
    pub number: u64,
    /// The hash of the block together with all blocks before it.
    pub block: u64,
    /// Whether the block was stored; if not, it was evicted.
    pub stored: bool,
}

/// The newest events, published and not yet published.
#[derive(Debug)]
pub(super) struct EventLog {
    lag: Duration,
    // One of so many events is lost; zero for none.
    loss: u32,
    rng: ChaCha8Rng,
    next_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(super) fn new(lag: Duration, loss: u32, seed: u64) -> Self {
        EventLog {
            lag,
            loss,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_number: 1,
            events: VecDeque::new(),
        }
    }

    /// Records a change, unless its event is one of the lost ones.
    pub(super) fn push(&mut self, change: CacheChange) {
        let (block, stored) = match change {
            CacheChange::Stored(block) => (block, true),
            CacheChange::Evicted(block) => (block, false),
        };
        let number = self.next_number;
        self.next_number += 1;
        if self.loss > 0 && self.rng.random_ratio(1, self.loss) {
            return;
        }
        let event = CacheEvent {
            number,
            block,
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the published events with a number above the given one.
    pub(super) fn published_after(&self, number: u64) -> Vec<CacheEvent> {
        let due = self
            .events
            .iter()
            .take_while(|(at, _)| at.elapsed() >= self.lag);
        due.map(|(_, event)| event.clone())
            .filter(|event| event.number > number)
            .collect()
    }
}
