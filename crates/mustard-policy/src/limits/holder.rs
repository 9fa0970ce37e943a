//! The holder of grants at an entry process.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use mustard_core::clock::Moment;
use thiserror::Error;

use super::bucket::Bucket;
use super::{GRANT_LIFE, Grant, Rule};

/// The share of a grant's life after which it is renewed.
const RENEW_SHARE: u32 = 3;
/// The least time between two asks.
const ASK_PAUSE: Duration = Duration::from_millis(20);
const DEMAND_WEIGHT: f64 = 0.3;

/// The result of taking a permit.
pub type Result<T> = std::result::Result<T, Denied>;

/// Why no permit was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Denied {
    /// No grant is held; the grantor has to be asked first.
    #[error("no grant is held")]
    NoGrant,
    /// The rate of the catalogue entry is used up.
    #[error("rate limit is reached, retry after {0:?}")]
    Rate(Duration),
    /// The concurrency of the catalogue entry is used up.
    #[error("concurrency limit is reached, retry after {0:?}")]
    Concurrency(Duration),
}

/// What a holder asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requests expected until the next ask.
    pub want: u32,
    /// Requests in flight.
    pub running: u32,
}

/// Requests that may be admitted before a moment.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    count: u32,
    until: Moment,
}

/// Holds the grants of one catalogue entry at one entry process.
#[derive(Clone, Debug)]
pub struct Holder {
    rule: Rule,
    tokens: VecDeque<Tokens>,
    slots: u32,
    until: Moment,
    retry: Duration,
    running: u32,
    arrived: u32,
    usual: f64,
    asked: Option<Moment>,
    split: Option<Bucket>,
}

impl Holder {
    /// Creates a holder without a grant.
    pub fn new(rule: Rule) -> Self {
        Holder {
            rule,
            tokens: VecDeque::new(),
            slots: 0,
            until: Moment::default(),
            retry: GRANT_LIFE,
            running: 0,
            arrived: 0,
            usual: 0.0,
            asked: None,
            split: None,
        }
    }

    /// Takes over changed limits.
    pub fn set_rule(&mut self, rule: Rule) {
        self.rule = rule;
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Takes a permit for one request, which ends with [`Holder::end`].
    ///
    /// # Errors
    ///
    /// Returns why there is no permit.
    pub fn begin(&mut self, now: Moment) -> Result<()> {
        self.arrived = self.arrived.saturating_add(1);
        if now >= self.until {
            return Err(Denied::NoGrant);
        }
        if self.running >= self.slots {
            return Err(Denied::Concurrency(self.retry));
        }
        if !self.take_token(now) {
            return Err(Denied::Rate(self.retry));
        }
        self.running += 1;
        Ok(())
    }

    /// Gives a permit back.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns what to ask the grantor for, if it is time to ask.
    pub fn demand(&mut self, now: Moment) -> Option<Demand> {
        let since = |at: Option<Moment>| at.map(|at| now.since(at));
        // The grantor counts what runs by these asks, so they go on until the last request ends.
        let idle = self.arrived == 0 && self.running == 0;
        // Only a request that came since the last ask can be waiting for a grant.
        let pause = if self.arrived > 0 && self.is_short(now) {
            ASK_PAUSE
        } else {
            GRANT_LIFE / RENEW_SHARE
        };
        if idle || since(self.asked).is_some_and(|age| age < pause) {
            return None;
        }
        self.asked = Some(now);
        let arrived = f64::from(std::mem::take(&mut self.arrived));
        self.usual = arrived.max(self.usual + DEMAND_WEIGHT * (arrived - self.usual));
        let ahead = (self.usual * 1.5).ceil() as u32;
        let mut want = ahead.max(1).saturating_sub(self.tokens(now));
        // A holder may have requests left to admit and no slot to run one in; the grantor gives
        // slots by demand only.
        if self.running >= self.slots {
            want = want.max(1);
        }
        let running = self.running;
        Some(Demand { want, running })
    }

    /// Takes in a grant that was asked for at `asked`; it counts from then.
    pub fn grant(&mut self, asked: Moment, grant: Grant) {
        let until = asked + grant.valid;
        self.tokens.push_back(Tokens {
            count: grant.requests,
            until,
        });
        self.slots = grant.slots;
        self.until = self.until.max(until);
        self.retry = grant.retry;
        self.split = None;
    }

    /// Takes in that the grantor could not be reached, with `live` live entry processes.
    ///
    /// Once the last grant has run out, the holder works with an even part of the limits.
    pub fn unreachable(&mut self, now: Moment, live: u32) {
        if now < self.until && self.split.is_none() {
            return;
        }
        let live = live.max(1);
        let bucket = self.split.get_or_insert_with(|| Bucket::empty(now));
        let rate = self.rule.rate / f64::from(live);
        let count = bucket.fill(now, rate, f64::from(self.rule.burst / live));
        bucket.take(count);
        let until = now + GRANT_LIFE;
        self.tokens.push_back(Tokens { count, until });
        self.slots = (self.rule.concurrency / live).max(1);
        self.until = until;
    }

    /// Returns the requests that may be admitted now.
    fn tokens(&self, now: Moment) -> u32 {
        let valid = self.tokens.iter().filter(|t| t.until > now);
        valid.map(|t| t.count).sum()
    }

    fn take_token(&mut self, now: Moment) -> bool {
        self.tokens.retain(|t| t.until > now && t.count > 0);
        match self.tokens.front_mut() {
            Some(tokens) => {
                tokens.count -= 1;
                true
            }
            None => false,
        }
    }

    fn is_short(&self, now: Moment) -> bool {
        now >= self.until || self.tokens(now) == 0 || self.running >= self.slots
    }
}

/// A holder shared by the threads of a process.
#[derive(Clone, Debug)]
pub struct Meter {
    holder: Arc<Mutex<Holder>>,
}

impl Meter {
    /// Creates a meter without a grant.
    pub fn new(rule: Rule) -> Self {
        Meter {
            holder: Arc::new(Mutex::new(Holder::new(rule))),
        }
    }

    /// Takes a permit that ends when it is dropped.
    ///
    /// # Errors
    ///
    /// Returns why there is no permit.
    pub fn begin(&self, now: Moment) -> Result<Permit> {
        self.with(|h| h.begin(now))?;
        Ok(Permit {
            meter: self.clone(),
        })
    }

    /// Calls a function with the holder.
    pub fn with<T>(&self, f: impl FnOnce(&mut Holder) -> T) -> T {
        f(&mut self.holder.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Permits one request; dropping it ends the request's count.
#[derive(Debug)]
pub struct Permit {
    meter: Meter,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.meter.with(Holder::end);
    }
}
