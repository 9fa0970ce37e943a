//! The grantor of one catalogue entry.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

use super::bucket::Bucket;
use super::{GRANT_LIFE, Grant, Rule};

/// How long a holder's last demand counts in the fair parts.
const DEMAND_LIFE: Duration = Duration::from_millis(2_000);

/// The part of an even share that is kept for a process which has not asked yet.
const RESERVE_PART: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Slots {
    count: u32,
    until: Moment,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Every grant that the holder may still act on; an answer may be lost.
    slots: Vec<Slots>,
    running: u32,
    want: u32,
    seen: Moment,
}

impl Record {
    fn held(&self) -> u32 {
        let granted = self.slots.iter().map(|s| s.count).max();
        granted.unwrap_or(0).max(self.running)
    }

    fn demand(&self) -> u32 {
        self.want + self.running
    }
}

/// Shares out the limits of one catalogue entry.
///
/// A new grantor starts with an empty bucket, and grants only an even part of the concurrency
/// until every grant of a predecessor has run out.
#[derive(Clone, Debug)]
pub struct Grantor {
    rule: Rule,
    bucket: Bucket,
    holders: Map<String, Record>,
    started: Moment,
}

impl Grantor {
    /// Creates a grantor that takes over now.
    pub fn new(rule: Rule, now: Moment) -> Self {
        Grantor {
            rule,
            bucket: Bucket::empty(now),
            holders: Map::default(),
            started: now,
        }
    }

    /// Takes over changed limits.
    pub fn set_rule(&mut self, rule: Rule) {
        self.rule = rule;
    }

    /// Grants a part of the limits to a holder.
    ///
    /// `want` is the number of requests that it expects until it asks again, `running` the
    /// number in flight there, and `live` the number of live entry processes.
    pub fn ask(&mut self, now: Moment, from: &str, want: u32, running: u32, live: u32) -> Grant {
        self.expire(now);
        let record = self.holders.entry(from.to_owned()).or_default();
        record.want = want;
        record.running = running;
        record.seen = now;
        let requests = self.requests(now, want);
        let slots = self.slots(now, from, live);
        if let Some(record) = self.holders.get_mut(from) {
            record.slots.push(Slots {
                count: slots,
                until: now + GRANT_LIFE,
            });
        }
        Grant {
            requests,
            slots,
            valid: GRANT_LIFE,
            retry: self.retry(),
        }
    }

    /// Returns the sum of the slots that holders may use.
    pub fn held(&self) -> u32 {
        self.holders.values().map(Record::held).sum()
    }

    fn requests(&mut self, now: Moment, want: u32) -> u32 {
        let size = f64::from(self.rule.burst);
        let have = self.bucket.fill(now, self.rule.rate, size);
        let wants: u32 = self.holders.values().map(|r| r.want).sum();
        let part = part(have, want, wants);
        self.bucket.take(part);
        part
    }

    fn slots(&self, now: Moment, from: &str, live: u32) -> u32 {
        let limit = self.rule.concurrency;
        let Some(record) = self.holders.get(from) else {
            return 0;
        };
        let others = || self.holders.iter().filter(|(name, _)| *name != from);
        let held: u32 = others().map(|(_, r)| r.held()).sum();
        let free = limit.saturating_sub(held);
        // A holder gets its reserve whatever it asked for, so that a burst there need not wait
        // for the next grant, and none takes the reserves of the others.
        let even = limit / live.max(1);
        let reserve = even.div_ceil(RESERVE_PART);
        let above: u32 = others()
            .map(|(_, r)| r.held().saturating_sub(reserve))
            .sum();
        let spare = limit.saturating_sub(reserve * live + above);
        // A holder that asks has been used recently, even if it holds enough for now: without
        // a slot its next request would have to wait for a grant.
        let demands = self.holders.values().map(|r| r.demand().max(1)).sum();
        let mut fair = part(limit, record.demand().max(1), demands);
        fair = fair.max(reserve).min(reserve + spare);
        if now.since(self.started) < GRANT_LIFE {
            fair = fair.min(even);
        }
        fair.max(1).min(free)
    }

    fn retry(&self) -> Duration {
        let one = Duration::from_secs_f64(1.0 / self.rule.rate.max(0.001));
        one.clamp(Duration::from_millis(50), Duration::from_secs(30))
    }

    fn expire(&mut self, now: Moment) {
        for record in self.holders.values_mut() {
            record.slots.retain(|s| s.until > now);
            if record.slots.is_empty() {
                record.running = 0;
            }
        }
        self.holders
            .retain(|_, r| !r.slots.is_empty() || now.since(r.seen) < DEMAND_LIFE);
    }
}

/// Returns the part of `have` that one of several wants gets; at least one if there is any.
fn part(have: u32, want: u32, wants: u32) -> u32 {
    if wants <= have {
        return want.min(have);
    }
    let fair = u64::from(have) * u64::from(want) / u64::from(wants);
    (fair as u32).max(1).min(want).min(have)
}
