//! The grantor of one catalogue entry.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

use super::bucket::TokenBucket;
use super::{GRANT_TTL, Grant, GrantLimits};

/// How long a holder's last demand counts when the limits are divided.
const DEMAND_TTL: Duration = Duration::from_millis(2_000);

/// The slots reserved for each live entry process are an even share of the concurrency divided by
/// this number; a process that has not asked yet has them too.
const RESERVE_DIVISOR: u32 = 2;

/// Slots that a holder may use until a moment.
#[derive(Clone, Copy, Debug)]
struct SlotGrant {
    count: u32,
    until: Moment,
}

/// What the grantor knows of one holder.
#[derive(Clone, Debug, Default)]
struct HolderRecord {
    /// Every grant that has not expired. If the answer with the last grant is lost, the holder
    /// still uses an earlier one.
    grants: Vec<SlotGrant>,
    running: u32,
    want: u32,
    last_ask: Moment,
}

impl HolderRecord {
    /// Returns the most slots that the holder may be using.
    fn held_slots(&self) -> u32 {
        let granted = self.grants.iter().map(|s| s.count).max();
        granted.unwrap_or(0).max(self.running)
    }

    /// Returns the requests that the holder expects and has in flight.
    fn demand(&self) -> u32 {
        self.want + self.running
    }
}

/// Divides the limits of one catalogue entry among the holders.
///
/// A new grantor starts with an empty bucket, and grants only an even share of the concurrency
/// until every grant of a predecessor has expired.
#[derive(Clone, Debug)]
pub struct Grantor {
    limits: GrantLimits,
    bucket: TokenBucket,
    holders: Map<String, HolderRecord>,
    started: Moment,
}

impl Grantor {
    /// Creates a grantor that starts now, without knowledge of earlier grants.
    pub fn new(limits: GrantLimits, now: Moment) -> Self {
        Grantor {
            limits,
            bucket: TokenBucket::empty(now),
            holders: Map::default(),
            started: now,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: GrantLimits) {
        self.limits = limits;
    }

    /// Grants a part of the limits to a holder.
    ///
    /// `want` is the number of requests that it expects until it asks again, `running` the
    /// number in flight there, and `live` the number of live entry processes.
    pub fn ask(&mut self, now: Moment, from: &str, want: u32, running: u32, live: u32) -> Grant {
        self.remove_expired(now);
        let record = self.holders.entry(from.to_owned()).or_default();
        record.want = want;
        record.running = running;
        record.last_ask = now;
        let requests = self.grant_requests(now, want);
        let slots = self.fair_slots(now, from, live);
        if let Some(record) = self.holders.get_mut(from) {
            record.grants.push(SlotGrant {
                count: slots,
                until: now + GRANT_TTL,
            });
        }
        Grant {
            requests,
            slots,
            valid_for: GRANT_TTL,
            retry_after: self.retry_delay(),
        }
    }

    /// Returns the most slots that all holders together may be using.
    pub fn held_slots(&self) -> u32 {
        self.holders.values().map(HolderRecord::held_slots).sum()
    }

    /// Takes the part of the available tokens for one holder out of the bucket.
    fn grant_requests(&mut self, now: Moment, want: u32) -> u32 {
        let size = f64::from(self.limits.burst);
        let available = self.bucket.refill(now, self.limits.rate, size);
        let total_want: u32 = self.holders.values().map(|r| r.want).sum();
        let granted = fair_part(available, want, total_want);
        self.bucket.take_tokens(granted);
        granted
    }

    /// Returns the slots to grant to a holder, by its demand and what others hold.
    fn fair_slots(&self, now: Moment, from: &str, live: u32) -> u32 {
        let limit = self.limits.concurrency;
        let Some(record) = self.holders.get(from) else {
            return 0;
        };
        let others = || self.holders.iter().filter(|(name, _)| *name != from);
        let held: u32 = others().map(|(_, r)| r.held_slots()).sum();
        let free = limit.saturating_sub(held);
        // A holder gets its reserve whatever it asked for, so that a burst there doesn't wait for
        // the next grant, and no holder gets the reserves of the others.
        let even = limit / live.max(1);
        let reserve = even.div_ceil(RESERVE_DIVISOR);
        let excess: u32 = others()
            .map(|(_, r)| r.held_slots().saturating_sub(reserve))
            .sum();
        let spare = limit.saturating_sub(reserve * live + excess);
        // A holder that asks had requests recently, even if it holds enough for now. Without a slot
        // its next request would wait for a grant, so each holder counts as if it wanted at least
        // one.
        let total_demand = self.holders.values().map(|r| r.demand().max(1)).sum();
        let mut fair = fair_part(limit, record.demand().max(1), total_demand);
        fair = fair.max(reserve).min(reserve + spare);
        if now.since(self.started) < GRANT_TTL {
            fair = fair.min(even);
        }
        fair.max(1).min(free)
    }

    /// Returns the time in which the rate yields one request, within bounds.
    fn retry_delay(&self) -> Duration {
        let per_request = Duration::from_secs_f64(1.0 / self.limits.rate.max(0.001));
        per_request.clamp(Duration::from_millis(50), Duration::from_secs(30))
    }

    fn remove_expired(&mut self, now: Moment) {
        for record in self.holders.values_mut() {
            record.grants.retain(|s| s.until > now);
            if record.grants.is_empty() {
                record.running = 0;
            }
        }
        self.holders
            .retain(|_, r| !r.grants.is_empty() || now.since(r.last_ask) < DEMAND_TTL);
    }
}

/// Returns the part of `available` for one of several holders, in proportion to what each wants;
/// at least one if any is available and wanted.
fn fair_part(available: u32, want: u32, total_want: u32) -> u32 {
    if total_want <= available {
        return want.min(available);
    }
    let proportional = u64::from(available) * u64::from(want) / u64::from(total_want);
    (proportional as u32).max(1).min(want).min(available)
}
