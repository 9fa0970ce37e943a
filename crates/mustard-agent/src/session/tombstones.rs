//! Tombstones of ended attempts, bounded in number and in time.

use std::collections::VecDeque;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::ids::{Epoch, RequestId};

/// The newest ended epoch of each request that ended lately.
#[derive(Debug)]
pub(super) struct Tombstones {
    capacity: usize,
    life: Duration,
    ended: Map<RequestId, (Epoch, Moment)>,
    order: VecDeque<(Moment, RequestId)>,
}

impl Tombstones {
    pub(super) fn new(capacity: usize, life: Duration) -> Self {
        Tombstones {
            capacity,
            life,
            ended: Map::default(),
            order: VecDeque::new(),
        }
    }

    /// Returns the newest ended epoch of a request.
    pub(super) fn get(&self, request: RequestId) -> Option<Epoch> {
        self.ended.get(&request).map(|(epoch, _)| *epoch)
    }

    /// Records that every epoch up to the given one has ended.
    pub(super) fn insert(&mut self, request: RequestId, epoch: Epoch, now: Moment) {
        let until = now + self.life;
        let slot = self.ended.entry(request).or_insert((epoch, until));
        *slot = (slot.0.max(epoch), until);
        self.order.push_back((until, request));
        self.expire(now);
    }

    /// Drops what has expired, and the oldest while there are too many.
    pub(super) fn expire(&mut self, now: Moment) {
        while let Some((until, request)) = self.order.front().copied() {
            if until > now && self.order.len() <= self.capacity {
                return;
            }
            self.order.pop_front();
            if self.ended.get(&request).is_some_and(|(_, u)| *u == until) {
                self.ended.remove(&request);
            }
        }
    }
}
