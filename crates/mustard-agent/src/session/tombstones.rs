//! Tombstones of ended attempts, bounded in number and age.

use std::collections::VecDeque;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;
use mustard_core::ids::{Epoch, RequestId};

/// The newest ended epoch of each request, kept for a limited time.
#[derive(Debug)]
pub(super) struct Tombstones {
    capacity: usize,
    ttl: Duration,
    epochs: Map<RequestId, (Epoch, Moment)>,
    expiry_queue: VecDeque<(Moment, RequestId)>,
}

impl Tombstones {
    pub(super) fn new(capacity: usize, ttl: Duration) -> Self {
        Tombstones {
            capacity,
            ttl,
            epochs: Map::default(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Returns the newest ended epoch of a request, if it is still remembered.
    pub(super) fn get(&self, request: RequestId) -> Option<Epoch> {
        self.epochs.get(&request).map(|(epoch, _)| *epoch)
    }

    /// Records that every epoch up to and including the given one has ended.
    pub(super) fn insert(&mut self, request: RequestId, epoch: Epoch, now: Moment) {
        let expires_at = now + self.ttl;
        let slot = self.epochs.entry(request).or_insert((epoch, expires_at));
        *slot = (slot.0.max(epoch), expires_at);
        self.expiry_queue.push_back((expires_at, request));
        self.expire(now);
    }

    /// Drops the expired tombstones, and the oldest ones above the capacity.
    pub(super) fn expire(&mut self, now: Moment) {
        while let Some((expires_at, request)) = self.expiry_queue.front().copied() {
            if expires_at > now && self.expiry_queue.len() <= self.capacity {
                return;
            }
            self.expiry_queue.pop_front();
            if self
                .epochs
                .get(&request)
                .is_some_and(|(_, e)| *e == expires_at)
            {
                self.epochs.remove(&request);
            }
        }
    }
}
