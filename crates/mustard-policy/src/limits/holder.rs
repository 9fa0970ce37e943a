//! The grants that an entry process holds, and the permits given under them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use mustard_core::clock::Moment;
use thiserror::Error;

use super::bucket::TokenBucket;
use super::{GRANT_TTL, Grant, GrantLimits};

/// The divisor of a grant's validity that gives the time after which it is renewed.
const RENEW_DIVISOR: u32 = 3;
/// The least time between two asks of a holder that needs a grant.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a request waits for the first grant.
pub const FIRST_GRANT_WAIT: Duration = Duration::from_millis(400);
/// How long a request waits for a further grant, if an ask made since it arrived was answered.
const NEXT_GRANT_WAIT: Duration = Duration::from_millis(25);
/// The weight of the newest count of arrivals when it is below the expected number.
const ARRIVALS_WEIGHT: f64 = 0.3;

/// The result of asking for a permit.
pub type Result<T> = std::result::Result<T, Denied>;

/// Why a request got no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Denied {
    /// No valid grant is held; the grantor has to be asked first.
    #[error("no grant is held")]
    NoGrant,
    /// The granted requests are used up; try again after this time.
    #[error("rate limit is reached, retry after {0:?}")]
    Rate(Duration),
    /// The granted slots are in use; try again after this time.
    #[error("concurrency limit is reached, retry after {0:?}")]
    Concurrency(Duration),
}

/// What a holder asks of the grantor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requests to grant until the next ask.
    pub want: u32,
    /// Requests in flight.
    pub running: u32,
}

/// Requests that may be admitted until a moment.
#[derive(Clone, Copy, Debug)]
struct RequestGrant {
    count: u32,
    until: Moment,
}

/// Holds the grants of one catalogue entry at one entry process.
#[derive(Clone, Debug)]
pub struct Holder {
    limits: GrantLimits,
    /// The request grants, oldest first.
    grants: VecDeque<RequestGrant>,
    /// The requests that may be in flight until `valid_until`.
    slots: u32,
    valid_until: Moment,
    retry_delay: Duration,
    running: u32,
    /// The requests since the last ask.
    arrivals: u32,
    /// The requests expected between two asks: rises at once to the last count and falls slowly.
    expected_arrivals: f64,
    last_ask: Option<Moment>,
    /// The newest ask that was answered, or couldn't be.
    answered_ask: Option<Moment>,
    /// The bucket for an even part of the rate, used while the grantor is unreachable.
    fallback: Option<TokenBucket>,
}

impl Holder {
    /// Creates a holder without a grant.
    pub fn new(limits: GrantLimits) -> Self {
        Holder {
            limits,
            grants: VecDeque::new(),
            slots: 0,
            valid_until: Moment::default(),
            retry_delay: GRANT_TTL,
            running: 0,
            arrivals: 0,
            expected_arrivals: 0.0,
            last_ask: None,
            answered_ask: None,
            fallback: None,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: GrantLimits) {
        self.limits = limits;
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Takes a permit for one request; [`Holder::release`] returns it.
    ///
    /// # Errors
    ///
    /// Returns why there is no permit.
    pub fn acquire(&mut self, now: Moment) -> Result<()> {
        self.arrivals = self.arrivals.saturating_add(1);
        if now >= self.valid_until {
            return Err(Denied::NoGrant);
        }
        if self.running >= self.slots {
            return Err(Denied::Concurrency(self.retry_delay));
        }
        if !self.use_request(now) {
            return Err(Denied::Rate(self.retry_delay));
        }
        self.running += 1;
        Ok(())
    }

    /// Returns whether a request that arrived at `arrived` and was denied a permit should try again.
    ///
    /// A request is refused only after the grantor has answered an ask that could count it, however long that
    /// takes within the wait for a first grant.
    pub fn should_wait(&self, denied: Denied, arrived: Moment, now: Moment) -> bool {
        let is_answered = self.answered_ask.is_some_and(|asked| asked >= arrived);
        let limit = if is_answered && denied != Denied::NoGrant {
            NEXT_GRANT_WAIT
        } else {
            FIRST_GRANT_WAIT
        };
        now.since(arrived) < limit
    }

    /// Returns a permit to the holder.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns what to ask the grantor for; none if it is not yet time to ask.
    pub fn next_demand(&mut self, now: Moment) -> Option<Demand> {
        let since = |at: Option<Moment>| at.map(|at| now.since(at));
        // The grantor learns from these asks how many requests run, so they go on until the last
        // request ends.
        let idle = self.arrivals == 0 && self.running == 0;
        // Only a request that arrived since the last ask can be waiting for a grant.
        let interval = if self.arrivals > 0 && self.needs_grant(now) {
            MIN_ASK_INTERVAL
        } else {
            GRANT_TTL / RENEW_DIVISOR
        };
        if idle || since(self.last_ask).is_some_and(|age| age < interval) {
            return None;
        }
        self.last_ask = Some(now);
        let arrivals = f64::from(std::mem::take(&mut self.arrivals));
        self.expected_arrivals = arrivals
            .max(self.expected_arrivals + ARRIVALS_WEIGHT * (arrivals - self.expected_arrivals));
        let needed = (self.expected_arrivals * 1.5).ceil() as u32;
        let mut want = needed.max(1).saturating_sub(self.granted_requests(now));
        // A holder may have granted requests left but no slot to run one in, and the grantor gives
        // slots by demand only.
        if self.running >= self.slots {
            want = want.max(1);
        }
        let running = self.running;
        Some(Demand { want, running })
    }

    /// Adds a grant that was asked for at `asked`; its validity counts from then.
    pub fn add_grant(&mut self, asked: Moment, grant: Grant) {
        let until = asked + grant.valid_for;
        self.grants.push_back(RequestGrant {
            count: grant.requests,
            until,
        });
        self.slots = grant.slots;
        self.valid_until = self.valid_until.max(until);
        self.retry_delay = grant.retry_after;
        self.answered_ask = self.answered_ask.max(Some(asked));
        self.fallback = None;
    }

    /// Uses an even part of the limits, since the grantor could not be reached; `live` is the
    /// number of live entry processes. Does nothing until the last grant has expired.
    pub fn use_fallback(&mut self, now: Moment, live: u32) {
        self.answered_ask = self.last_ask;
        if now < self.valid_until && self.fallback.is_none() {
            return;
        }
        let live = live.max(1);
        let bucket = self.fallback.get_or_insert_with(|| TokenBucket::empty(now));
        let rate = self.limits.rate / f64::from(live);
        let count = bucket.refill(now, rate, f64::from(self.limits.burst / live));
        bucket.take_tokens(count);
        let until = now + GRANT_TTL;
        self.grants.push_back(RequestGrant { count, until });
        self.slots = (self.limits.concurrency / live).max(1);
        self.valid_until = until;
    }

    /// Returns the number of granted requests that are left.
    fn granted_requests(&self, now: Moment) -> u32 {
        let valid = self.grants.iter().filter(|t| t.until > now);
        valid.map(|t| t.count).sum()
    }

    /// Uses one granted request; returns whether there was one.
    fn use_request(&mut self, now: Moment) -> bool {
        self.grants.retain(|t| t.until > now && t.count > 0);
        match self.grants.front_mut() {
            Some(grant) => {
                grant.count -= 1;
                true
            }
            None => false,
        }
    }

    /// Returns whether a request that arrives now would get no permit.
    fn needs_grant(&self, now: Moment) -> bool {
        now >= self.valid_until || self.granted_requests(now) == 0 || self.running >= self.slots
    }
}

/// A [`Holder`] shared by the threads of an entry process.
#[derive(Clone, Debug)]
pub struct SharedHolder {
    holder: Arc<Mutex<Holder>>,
}

impl SharedHolder {
    /// Creates a holder without a grant.
    pub fn new(limits: GrantLimits) -> Self {
        SharedHolder {
            holder: Arc::new(Mutex::new(Holder::new(limits))),
        }
    }

    /// Takes a permit for one request; dropping it returns it.
    ///
    /// # Errors
    ///
    /// Returns why there is no permit.
    pub fn acquire(&self, now: Moment) -> Result<Permit> {
        self.with(|h| h.acquire(now))?;
        Ok(Permit {
            holder: self.clone(),
        })
    }

    /// Locks the holder and calls a function with it.
    pub fn with<T>(&self, f: impl FnOnce(&mut Holder) -> T) -> T {
        f(&mut self.holder.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Permits one request, which counts as in flight until the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    holder: SharedHolder,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.holder.with(Holder::release);
    }
}
