//! The waiting requests of one customer and its position in the fair queue.

use std::collections::BTreeMap;
use std::time::Duration;

use mustard_core::catalogue::Class;
use mustard_core::clock::Moment;

use super::types::{Offer, Ticket};

/// The order of a customer's requests: by class, deadline and the running number that each request
/// gets when it is offered to admission.
pub(super) type Rank<C = Class> = (C, Moment, u64);

/// A customer with its waiting requests, of the class `C` and identified by `T`.
#[derive(Debug)]
pub(super) struct Customer<C = Class, T = Ticket> {
    /// The weight in fair queuing, as given with the latest request.
    pub(super) share: f64,
    /// The virtual time up to which the customer was served: each started request advances it by
    /// cost divided by share. After an idle time it is raised to that of the queue
    /// less the credit for `IDLE_CREDIT`, unless it is higher already.
    pub(super) virtual_time: f64,
    /// The waiting requests with their costs.
    queue: BTreeMap<Rank<C>, (T, f64)>,
    /// The cost of all waiting requests.
    queued_cost: f64,
    arrivals: ArrivalRate,
}

impl<C, T> Default for Customer<C, T> {
    fn default() -> Self {
        Customer {
            share: 0.0,
            virtual_time: 0.0,
            queue: BTreeMap::new(),
            queued_cost: 0.0,
            arrivals: ArrivalRate::default(),
        }
    }
}

impl<C: Copy + Ord, T: Copy> Customer<C, T> {
    /// Returns the virtual time from which the customer's next request counts; `None` stands for a
    /// customer that isn't known yet.
    ///
    /// A customer that was idle gets a bounded credit, so that it goes before others for a while.
    pub(super) fn virtual_start(customer: Option<&Self>, virtual_now: f64, credit: f64) -> f64 {
        match customer {
            Some(c) if !c.is_empty() => c.virtual_time,
            Some(c) => c.virtual_time.max(virtual_now - credit),
            None => virtual_now - credit,
        }
    }

    pub(super) fn push(&mut self, now: Moment, rank: Rank<C>, ticket: T, cost: f64) {
        self.arrivals.observe(now, cost);
        self.queue.insert(rank, (ticket, cost));
        self.queued_cost += cost;
    }

    pub(super) fn remove(&mut self, rank: &Rank<C>) {
        if let Some((_, cost)) = self.queue.remove(rank) {
            self.queued_cost -= cost;
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the request that goes next, with its rank.
    pub(super) fn first(&self) -> Option<(Rank<C>, T)> {
        let (rank, (ticket, _)) = self.queue.first_key_value()?;
        Some((*rank, *ticket))
    }

    /// Returns the cost of the waiting requests that go before a rank.
    pub(super) fn cost_ahead(&self, rank: &Rank<C>) -> f64 {
        self.queue.range(..rank).map(|(_, (_, cost))| cost).sum()
    }

    /// Returns the cost of this customer's requests that are expected to start within `wait_s`
    /// seconds and before its virtual time passes `virtual_end`: those that wait and those that
    /// usually arrive in that time, but never more than its share allows.
    pub(super) fn cost_before(&self, virtual_end: f64, wait_s: f64) -> f64 {
        let share_cost = (virtual_end - self.virtual_time).max(0.0) * self.share;
        share_cost.min(self.queued_cost + self.arrivals.get() * wait_s)
    }

    /// Advances the virtual time by the cost of a started request.
    pub(super) fn charge_cost(&mut self, cost: f64) {
        self.virtual_time += cost / self.share.max(f64::MIN_POSITIVE);
    }
}

/// Returns the cost of a request, in tokens.
pub(super) fn request_cost(offer: &Offer) -> f64 {
    f64::from(offer.tokens.max(1))
}

/// A moving average of the cost that arrives per second.
#[derive(Debug, Default)]
struct ArrivalRate {
    mean: f64,
    /// The cost that arrived in the current window.
    window_cost: f64,
    window_start: Moment,
}

impl ArrivalRate {
    /// The least time over which a rate is measured.
    const MIN_WINDOW: Duration = Duration::from_millis(500);
    /// The weight of the newest window in the mean.
    const WINDOW_WEIGHT: f64 = 0.5;

    fn observe(&mut self, now: Moment, cost: f64) {
        let elapsed = now.since(self.window_start);
        if elapsed >= Self::MIN_WINDOW {
            let rate = self.window_cost / elapsed.as_secs_f64();
            self.mean += Self::WINDOW_WEIGHT * (rate - self.mean);
            self.window_cost = 0.0;
            self.window_start = now;
        }
        self.window_cost += cost;
    }

    fn get(&self) -> f64 {
        self.mean
    }
}
