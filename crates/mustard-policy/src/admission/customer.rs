//! The waiting requests of one customer and its place in the turn order.

use std::collections::BTreeMap;
use std::time::Duration;

use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;

use super::types::{Ask, Ticket};

/// Orders the requests of a customer.
pub(super) type Rank = (Class, Moment, u64);

/// A customer with its waiting requests.
#[derive(Debug, Default)]
pub(super) struct Customer {
    /// The share, as last asked with.
    pub(super) share: f64,
    /// The virtual time up to which the customer was served.
    pub(super) tag: f64,
    queue: BTreeMap<Rank, (Ticket, f64)>,
    /// The cost of all waiting requests.
    queued: f64,
    arrivals: Arrivals,
}

impl Customer {
    pub(super) fn push(&mut self, now: Moment, rank: Rank, ticket: Ticket, cost: f64) {
        self.arrivals.observe(now, cost);
        self.queue.insert(rank, (ticket, cost));
        self.queued += cost;
    }

    pub(super) fn remove(&mut self, rank: &Rank) {
        if let Some((_, cost)) = self.queue.remove(rank) {
            self.queued -= cost;
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the request that goes next, with its rank.
    pub(super) fn head(&self) -> Option<(Rank, Ticket)> {
        let (rank, (ticket, _)) = self.queue.first_key_value()?;
        Some((*rank, *ticket))
    }

    /// Returns the cost of the requests that go before a rank.
    pub(super) fn ahead(&self, rank: &Rank) -> f64 {
        self.queue.range(..rank).map(|(_, (_, cost))| cost).sum()
    }

    /// Returns the cost that is served within `wait` before the customer's virtual time passes
    /// `tag`: what waits and what usually comes, but never more than the customer's share.
    pub(super) fn before(&self, tag: f64, wait: f64) -> f64 {
        let share = (tag - self.tag).max(0.0) * self.share;
        share.min(self.queued + self.arrivals.get() * wait)
    }

    /// Advances the virtual time by a started request.
    pub(super) fn charge(&mut self, cost: f64) {
        self.tag += cost / self.share.max(f64::MIN_POSITIVE);
    }
}

/// Returns the work of a request, in tokens.
pub(super) fn cost(ask: &Ask) -> f64 {
    f64::from(ask.tokens.max(1))
}

/// The rate at which cost arrives, averaged over recent windows.
#[derive(Debug, Default)]
struct Arrivals {
    rate: f64,
    window: f64,
    since: Moment,
}

impl Arrivals {
    const WINDOW: Duration = Duration::from_millis(500);
    const WEIGHT: f64 = 0.5;

    fn observe(&mut self, now: Moment, cost: f64) {
        let passed = now.since(self.since);
        if passed >= Self::WINDOW {
            let rate = self.window / passed.as_secs_f64();
            self.rate += Self::WEIGHT * (rate - self.rate);
            self.window = 0.0;
            self.since = now;
        }
        self.window += cost;
    }

    fn get(&self) -> f64 {
        self.rate
    }
}
