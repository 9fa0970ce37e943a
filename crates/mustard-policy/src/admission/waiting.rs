//! The queue of one service at one gateway, for streams that find no path.
//!
//! Requests are ordered by priority, then fairly between customers by tokens, then by the end of
//! their wait. Only the head of the queue searches for a path. The caller of this module searches,
//! and records here what it found.

use std::collections::BTreeMap;
use std::time::Duration;

use mustard_core::arena::{Arena, Key};
use mustard_core::clock::Moment;
use mustard_core::collections::Map;

use super::customer::{Customer, Rank};

/// The most requests that wait at one gateway for one service.
pub const MAX_WAITING: usize = 256;
/// One in so many grants goes to the priority that has waited longest.
const TURN_INTERVAL: u32 = 20;
/// A priority or a customer goes first once it is served less often than this share of all requests.
/// The requirement is a quarter; with 0.3, a kind fell to 0.247 at 3 times the demand.
const MIN_SERVED_SHARE: f64 = 0.35;
/// The requests that must have arrived lately before their served share is judged.
const MIN_ARRIVALS: f64 = 4.0;
/// The time after which arrivals and grants count 1/e in the served share.
const SERVED_TIME: Duration = Duration::from_secs(10);
/// The most entries for the served shares of customers. 2,048 entries per service are required in all.
const MAX_SHARES: usize = 1_024;
/// The most entries for the virtual times of customers, over all priorities. It has to exceed
/// [`MAX_WAITING`], as the entries of customers with waiting requests are never dropped.
const MAX_VIRTUAL_TIMES: usize = 1_024;
/// The number of entries that are kept when there is no room for another one. It is less than the most,
/// so that not every new customer causes a search for what to drop.
const KEPT_ENTRIES: usize = 768;

/// The least time between two searches for a path.
const MIN_SEARCH_PAUSE: Duration = Duration::from_millis(5);
/// The longest time between two searches, as backoffs end and budgets grow without an event.
pub const MAX_SEARCH_PAUSE: Duration = Duration::from_millis(80);
/// The pause after a search that found nothing, as a multiple of the time it took. Searches of waiting
/// requests then take a fifth of the gateway's CPU time at most.
const SEARCH_PAUSE_FACTOR: u32 = 4;

/// The mean time between grants that is assumed before any was measured.
const DEFAULT_GRANT_INTERVAL: Duration = Duration::from_millis(100);
/// The weight of the newest interval in the mean.
const INTERVAL_WEIGHT: f64 = 0.2;
/// The longest interval that is counted; a clock that jumps ahead adds no more than this.
const MAX_GRANT_INTERVAL: Duration = Duration::from_secs(2);
/// The least retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The longest retry delay before it is spread.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// What each more urgent priority adds to the factor on the retry delay.
const RETRY_PRIORITY_STEP: f64 = 0.5;
/// The range of the random factor on the retry delay.
const RETRY_SPREAD: f64 = 0.5;
const MIN_RETRY_FACTOR: f64 = 0.75;

/// How urgent a request is; the least value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// A stream whose caller has received events.
    Resumed,
    /// A new request, by its priority.
    New(u8),
}

/// A request that needs a path.
#[derive(Clone, Debug)]
pub struct PathRequest {
    /// The customer's name; empty without one.
    pub customer: String,
    /// How urgent it is.
    pub urgency: Urgency,
    /// The tokens of the prompt and of the expected answer; its cost between customers.
    pub tokens: f64,
    /// When it stops waiting.
    pub until: Moment,
}

/// A waiting request.
#[derive(Debug)]
pub struct Waiter {
    request: PathRequest,
    rank: Rank<()>,
    since: Moment,
}

/// Identifies a waiting request.
pub type WaiterKey = Key<Waiter>;

/// The request that searches next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The request.
    pub key: WaiterKey,
    /// Whether it goes before more urgent ones, as it would starve otherwise. It may then use the room
    /// that is reserved for them.
    pub is_turn: bool,
}

/// The result of adding a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// It waits.
    Waits(WaiterKey),
    /// It waits; the newest of the least urgent requests was removed for it.
    Replaces(WaiterKey, WaiterKey),
    /// The queue is full of requests that are as urgent or more urgent.
    Full,
}

/// The waiting requests of one urgency.
#[derive(Debug, Default)]
struct Level {
    customers: Map<String, Customer<(), WaiterKey>>,
    /// The largest virtual time that a customer had when a request of it was granted a path.
    virtual_now: f64,
    waiting: usize,
    served: ServedShare,
}

/// The requests that arrived and those that were granted a path, with decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct ServedShare {
    arrived: f64,
    served: f64,
    at: Moment,
}

impl ServedShare {
    fn add(&mut self, now: Moment, arrived: f64, served: f64) {
        let elapsed = now.since(self.at).as_secs_f64();
        let weight = (-elapsed / SERVED_TIME.as_secs_f64()).exp();
        self.arrived = self.arrived * weight + arrived;
        self.served = self.served * weight + served;
        self.at = self.at.max(now);
    }

    fn ratio(&self) -> f64 {
        self.served / self.arrived.max(f64::MIN_POSITIVE)
    }

    /// Returns the served share if it is too small in comparison with that of all requests.
    fn shortfall(&self, all: &ServedShare) -> Option<f64> {
        let is_short =
            self.arrived >= MIN_ARRIVALS && self.ratio() < MIN_SERVED_SHARE * all.ratio();
        is_short.then(|| self.ratio())
    }
}

/// The times between grants while requests wait.
#[derive(Clone, Copy, Debug, Default)]
struct GrantPace {
    mean: Option<Duration>,
    /// The last grant, or when the first of the waiting requests came if that is later.
    since: Moment,
}

impl GrantPace {
    fn record_grant(&mut self, now: Moment, is_waiting: bool) {
        if is_waiting {
            let interval = now.since(self.since).min(MAX_GRANT_INTERVAL);
            let mean = self.mean.unwrap_or(interval);
            let mean = mean.mul_f64(1.0 - INTERVAL_WEIGHT) + interval.mul_f64(INTERVAL_WEIGHT);
            self.mean = Some(mean);
        }
        self.since = now;
    }

    fn interval(&self, now: Moment, is_waiting: bool) -> Duration {
        let mean = self.mean.unwrap_or(DEFAULT_GRANT_INTERVAL);
        if is_waiting {
            mean.max(now.since(self.since).min(MAX_GRANT_INTERVAL))
        } else {
            mean
        }
    }
}

/// The queue of one service.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    waiters: Arena<Waiter>,
    levels: BTreeMap<Urgency, Level>,
    /// The requests of each customer, over all priorities.
    customers: Map<String, ServedShare>,
    all: ServedShare,
    /// The grants since the last turn that passed a less urgent request.
    passes: u32,
    pace: GrantPace,
    next_search: Moment,
    push_count: u64,
}

impl WaitingQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of entries that are kept for customers, over all priorities.
    pub fn customer_count(&self) -> usize {
        let in_levels = self.levels.values().map(|l| l.customers.len());
        self.customers.len() + in_levels.sum::<usize>()
    }

    /// Returns the number of waiting requests that are as urgent or more urgent.
    pub fn ahead(&self, urgency: Urgency) -> usize {
        self.levels.range(..=urgency).map(|(_, l)| l.waiting).sum()
    }

    /// Records a new request, once for each request.
    pub fn record_arrival(&mut self, now: Moment, request: &PathRequest) {
        self.record_share(now, request, 1.0, 0.0);
    }

    /// Returns whether a request that arrives must wait without a search, as others go before it.
    pub fn must_wait(&self, urgency: Urgency) -> bool {
        self.ahead(urgency) > 0 || self.due_level().is_some_and(|due| due > urgency)
    }

    /// Adds a request.
    pub fn push(&mut self, now: Moment, request: PathRequest) -> Pushed {
        let mut dropped = None;
        if self.waiters.len() >= MAX_WAITING {
            let last = self.newest_of_least_urgent();
            match last.filter(|(urgency, _)| *urgency > request.urgency) {
                Some((_, key)) => dropped = Some(key),
                None => return Pushed::Full,
            }
        }
        if let Some(key) = dropped {
            self.remove(key);
        }
        if self.waiters.is_empty() {
            self.pace.since = now;
        }
        self.push_count += 1;
        let rank = ((), request.until, self.push_count);
        let cost = request.tokens.max(1.0);
        let (urgency, name) = (request.urgency, request.customer.clone());
        let key = self.waiters.insert(Waiter {
            request,
            rank,
            since: now,
        });
        self.make_room(urgency, &name);
        let level = self.levels.entry(urgency).or_default();
        level.waiting += 1;
        level.customer(&name).push(now, rank, key, cost);
        match dropped {
            Some(old) => Pushed::Replaces(key, old),
            None => Pushed::Waits(key),
        }
    }

    /// Removes a request that no longer waits; returns whether it was there.
    pub fn remove(&mut self, key: WaiterKey) -> bool {
        let Some(waiter) = self.waiters.remove(key) else {
            return false;
        };
        if let Some(level) = self.levels.get_mut(&waiter.request.urgency) {
            level.waiting -= 1;
            if let Some(customer) = level.customers.get_mut(&waiter.request.customer) {
                customer.remove(&waiter.rank);
            }
        }
        true
    }

    /// Removes a request that was granted a path.
    pub fn grant(&mut self, now: Moment, head: Head) {
        let Some(waiter) = self.waiters.get(head.key) else {
            return;
        };
        let request = waiter.request.clone();
        self.record_grant(now, &request, head.is_turn);
        self.remove(head.key);
    }

    /// Records that a request was granted a path as it arrived.
    pub fn grant_arrival(&mut self, now: Moment, request: &PathRequest) {
        self.record_grant(now, request, false);
    }

    /// Returns the request that searches next.
    pub fn head(&self) -> Option<Head> {
        let (first, _) = self.levels.iter().find(|(_, l)| l.waiting > 0)?;
        let turn = self.due_level();
        let urgency = turn.unwrap_or(*first);
        let key = self.levels.get(&urgency)?.first(&self.customers, &self.all);
        Some(Head {
            key: key?,
            is_turn: turn.is_some(),
        })
    }

    /// Returns when the head may search next after a change.
    pub fn next_search(&self) -> Moment {
        self.next_search
    }

    /// Records a search that began at a moment.
    pub fn record_search(&mut self, now: Moment, began: Moment, has_found: bool) {
        self.next_search = if has_found {
            now
        } else {
            let pause = now.since(began) * SEARCH_PAUSE_FACTOR;
            now + pause.clamp(MIN_SEARCH_PAUSE, MAX_SEARCH_PAUSE)
        };
    }

    /// Returns the mean time between grants, at least the time since the last one while requests wait.
    pub fn grant_interval(&self, now: Moment) -> Duration {
        self.pace.interval(now, !self.waiters.is_empty())
    }

    /// Returns when the caller of a refused request is to try again, at most after `limit`. `rank` is the
    /// number of more urgent priorities, and `random` is uniform in 0 to 1.
    pub fn retry_after(
        &self,
        now: Moment,
        urgency: Urgency,
        rank: usize,
        limit: Duration,
        random: f64,
    ) -> Duration {
        let requests = self.ahead(urgency) as f64 + 1.0;
        let expected = self.grant_interval(now).mul_f64(requests);
        // Also the shortest and the longest delays are spread and differ by priority, so that callers
        // don't return together.
        let shortest = MIN_RETRY_AFTER.div_f64(MIN_RETRY_FACTOR);
        let delay = expected.clamp(shortest, MAX_RETRY_AFTER);
        let delay = delay.mul_f64(1.0 + RETRY_PRIORITY_STEP * rank as f64);
        let rank_share = 1.0 - 0.5 / (rank as f64 + 1.0);
        let longest = limit.mul_f64(rank_share / (MIN_RETRY_FACTOR + RETRY_SPREAD));
        let factor = MIN_RETRY_FACTOR + RETRY_SPREAD * random.clamp(0.0, 1.0);
        delay.min(longest).mul_f64(factor)
    }

    fn is_turn_due(&self) -> bool {
        self.passes + 1 >= TURN_INTERVAL
    }

    /// Returns the urgency whose turn it is, whether or not more urgent requests wait.
    fn due_level(&self) -> Option<Urgency> {
        if self.is_turn_due() {
            let oldest = self.waiters.iter().min_by_key(|(_, w)| w.since)?;
            return Some(oldest.1.request.urgency);
        }
        let waiting = self.levels.iter().filter(|(_, l)| l.waiting > 0);
        let short = waiting.filter_map(|(u, l)| Some((*u, l.served.shortfall(&self.all)?)));
        let least = short.min_by(|a, b| a.1.total_cmp(&b.1));
        least.map(|(urgency, _)| urgency)
    }

    fn newest_of_least_urgent(&self) -> Option<(Urgency, WaiterKey)> {
        let keyed = self.waiters.iter();
        let last = keyed.max_by_key(|(_, w)| (w.request.urgency, w.rank.2))?;
        Some((last.1.request.urgency, last.0))
    }

    fn record_grant(&mut self, now: Moment, request: &PathRequest, is_turn: bool) {
        self.pace.record_grant(now, !self.waiters.is_empty());
        let mut less_urgent = self.levels.iter().filter(|(u, _)| **u > request.urgency);
        let has_passed = less_urgent.any(|(_, l)| l.waiting > 0);
        if is_turn && self.is_turn_due() {
            self.passes = 0;
        } else if has_passed {
            self.passes = (self.passes + 1).min(TURN_INTERVAL);
        }
        self.make_room(request.urgency, &request.customer);
        let level = self.levels.entry(request.urgency).or_default();
        let customer = level.customer(&request.customer);
        let start = customer.virtual_time;
        // A customer that goes first for its served share doesn't advance the time of the others.
        let waiting = level.customers.values().filter(|c| !c.is_empty());
        let least = waiting.map(|c| c.virtual_time).fold(start, f64::min);
        level.virtual_now = level.virtual_now.max(least);
        let customer = level.customer(&request.customer);
        customer.charge_cost(request.tokens.max(1.0));
        self.record_share(now, request, 0.0, 1.0);
    }

    fn record_share(&mut self, now: Moment, request: &PathRequest, arrived: f64, served: f64) {
        // Resumed streams were counted when they were new.
        if request.urgency == Urgency::Resumed {
            return;
        }
        self.all.add(now, arrived, served);
        let level = self.levels.entry(request.urgency).or_default();
        level.served.add(now, arrived, served);
        if self.customers.len() >= MAX_SHARES && !self.customers.contains_key(&request.customer) {
            self.drop_shares();
        }
        let share = self.customers.entry(request.customer.clone()).or_default();
        share.add(now, arrived, served);
    }

    /// Drops the served shares that were updated the longest ago. Those of waiting customers were updated
    /// when their requests came.
    fn drop_shares(&mut self) {
        let mut updates: Vec<Moment> = self.customers.values().map(|s| s.at).collect();
        let excess = updates.len().saturating_sub(KEPT_ENTRIES);
        if excess == 0 {
            return;
        }
        let (_, newest_dropped, _) = updates.select_nth_unstable(excess - 1);
        let newest_dropped = *newest_dropped;
        self.customers.retain(|_, s| s.at > newest_dropped);
    }

    /// Makes room for another customer of a level among the virtual times.
    ///
    /// Customers that wait for nothing and aren't ahead of their level lose nothing, as they start from
    /// its virtual time in any case. If that isn't enough, those that are least ahead are dropped.
    fn make_room(&mut self, urgency: Urgency, name: &str) {
        let has_entry = |l: &Level| l.customers.contains_key(name);
        let count = |levels: &BTreeMap<Urgency, Level>| -> usize {
            levels.values().map(|l| l.customers.len()).sum()
        };
        if count(&self.levels) < MAX_VIRTUAL_TIMES
            || self.levels.get(&urgency).is_some_and(has_entry)
        {
            return;
        }
        for level in self.levels.values_mut() {
            let virtual_now = level.virtual_now;
            level
                .customers
                .retain(|_, c| !c.is_empty() || c.virtual_time > virtual_now);
        }
        let excess = count(&self.levels).saturating_sub(KEPT_ENTRIES);
        if excess == 0 {
            return;
        }
        let levels = self.levels.values();
        let mut leads: Vec<f64> = levels.flat_map(Level::idle_leads).collect();
        let (_, largest_dropped, _) = leads.select_nth_unstable_by(excess - 1, f64::total_cmp);
        let largest_dropped = *largest_dropped;
        for level in self.levels.values_mut() {
            let virtual_now = level.virtual_now;
            level
                .customers
                .retain(|_, c| !c.is_empty() || c.virtual_time - virtual_now > largest_dropped);
        }
    }
}

impl Level {
    /// Returns a customer, from the present virtual time on if it waits for nothing.
    fn customer(&mut self, name: &str) -> &mut Customer<(), WaiterKey> {
        let start = Customer::virtual_start(self.customers.get(name), self.virtual_now, 0.0);
        let customer = self.customers.entry(name.to_owned()).or_default();
        customer.share = 1.0;
        customer.virtual_time = start;
        customer
    }

    /// Returns by how much the customers that wait for nothing are ahead of the level's virtual time.
    fn idle_leads(&self) -> impl Iterator<Item = f64> {
        let idle = self.customers.values().filter(|c| c.is_empty());
        idle.map(|c| c.virtual_time - self.virtual_now)
    }

    /// Returns the request that goes next: that of a customer that is served too seldom, or else of the
    /// one with the least virtual time.
    fn first(&self, shares: &Map<String, ServedShare>, all: &ServedShare) -> Option<WaiterKey> {
        let waiting = self.customers.iter().filter_map(|(name, customer)| {
            let (rank, key) = customer.first()?;
            let shortfall = shares.get(name).and_then(|s| s.shortfall(all));
            Some((
                shortfall.unwrap_or(f64::INFINITY),
                customer.virtual_time,
                rank,
                key,
            ))
        });
        let first = waiting.min_by(|a, b| {
            let by_share = a.0.total_cmp(&b.0);
            by_share.then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        });
        first.map(|(_, _, _, key)| key)
    }
}
