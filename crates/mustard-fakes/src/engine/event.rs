//! Cache events, published late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::prefix::Change;

const MAX_EVENTS: usize = 4096;

/// One published change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event; a missing number is a lost event.
    pub number: u64,
    /// The hash of the block and all blocks before it.
    pub block: u64,
    /// Whether the block was stored (`true`) or evicted (`false`).
    pub stored: bool,
}

/// The events that wait to be published or were published.
#[derive(Debug)]
pub(super) struct EventLog {
    lag: Duration,
    loss: u32,
    rng: ChaCha8Rng,
    next: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(super) fn new(lag: Duration, loss: u32, seed: u64) -> Self {
        EventLog {
            lag,
            loss,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: 1,
            events: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, change: Change) {
        let (block, stored) = match change {
            Change::Stored(block) => (block, true),
            Change::Evicted(block) => (block, false),
        };
        let number = self.next;
        self.next += 1;
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

    pub(super) fn after(&self, number: u64) -> Vec<CacheEvent> {
        let due = self
            .events
            .iter()
            .take_while(|(at, _)| at.elapsed() >= self.lag);
        due.map(|(_, event)| event.clone())
            .filter(|event| event.number > number)
            .collect()
    }
}
