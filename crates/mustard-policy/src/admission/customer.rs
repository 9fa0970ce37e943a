//! The waiting requests of one customer and its place in the turn order.

use std::collections::BTreeMap;

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
}

impl Customer {
    pub(super) fn push(&mut self, rank: Rank, ticket: Ticket, cost: f64) {
        self.queue.insert(rank, (ticket, cost));
    }

    pub(super) fn remove(&mut self, rank: &Rank) {
        self.queue.remove(rank);
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

    /// Advances the virtual time by a started request.
    pub(super) fn charge(&mut self, cost: f64) {
        self.tag += cost / self.share.max(f64::MIN_POSITIVE);
    }
}

/// Returns the work of a request, in tokens.
pub(super) fn cost(ask: &Ask) -> f64 {
    f64::from(ask.tokens.max(1))
}
