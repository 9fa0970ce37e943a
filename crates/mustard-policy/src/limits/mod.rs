//! Rate and concurrency limits of a catalogue entry, enforced across all entry processes without
//! a shared write per request.
//!
//! Each catalogue entry has one grantor among the entry processes, chosen by rendezvous hashing.
//! All entry processes, including that one, hold short leases on parts of the limits, called
//! grants. A process with grants is a holder; an ask is its message to the grantor for a new grant.
//! A slot lets a holder have one request in flight. The bounds that follow are derived in
//! `docs/design/limits.md`. They hold while the grantor stays the same; `V` is the validity of a
//! grant:
//!
//! - the requests admitted in any time span of length `W` are at most `burst + rate * (W + V)`;
//! - the requests in flight are at most `concurrency`, plus those that a holder started before it
//!   lost contact with the grantor and that still run.

mod bucket;
mod grantor;
mod holder;

use std::time::Duration;

use mustard_core::catalogue::Limits;

use crate::subset::first_by_hash;

pub use grantor::Grantor;
pub use holder::{Demand, Denied, FIRST_GRANT_WAIT, Holder, Permit, Result, SharedHolder};

/// How long a grant is valid.
pub const GRANT_TTL: Duration = Duration::from_millis(1_000);

/// The limits that a grantor divides among the holders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantLimits {
    /// Admitted requests per second.
    pub rate: f64,
    /// Requests that may be admitted at once after a time without requests.
    pub burst: u32,
    /// Requests in flight at once.
    pub concurrency: u32,
}

impl From<&Limits> for GrantLimits {
    fn from(limits: &Limits) -> Self {
        GrantLimits {
            rate: limits.rate,
            burst: limits.burst,
            concurrency: limits.concurrency,
        }
    }
}

/// A part of the limits, granted to one holder for a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Requests that may be admitted while the grant is valid.
    pub requests: u32,
    /// Requests that may be in flight at once.
    pub slots: u32,
    /// How long the grant is valid, from the time it was asked for.
    pub valid_for: Duration,
    /// How long to wait before asking again if the grant is empty.
    pub retry_after: Duration,
}

/// Returns the entry process that is the grantor of a catalogue entry, chosen among the live ones.
pub fn grantor_of<'a>(entry: &str, live: &[&'a str]) -> Option<&'a str> {
    first_by_hash(entry, live)
}
