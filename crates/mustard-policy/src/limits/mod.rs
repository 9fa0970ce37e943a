//! Limits of a catalogue entry over all entry processes, without a write per request.
//!
//! Each catalogue entry has one grantor among the entry processes, found by rendezvous hash.
//! The others hold short grants from it. The bounds that follow are derived in
//! `docs/design/limits.md`; with a grant's life `V` and one grantor throughout:
//!
//! - admitted requests in any time `W` are at most `burst + rate * (W + V)`;
//! - requests in flight are at most `concurrency`, plus those that a holder started before it
//!   was cut off from the grantor and that still run.

mod bucket;
mod grantor;
mod holder;

use std::time::Duration;

use mustard_core::catalogue::Limits;

use crate::subset::first_by_hash;

pub use grantor::Grantor;
pub use holder::{Demand, Denied, Holder, Meter, Permit, Result};

/// How long a grant is valid.
pub const GRANT_LIFE: Duration = Duration::from_millis(1_000);

/// The limits that are shared out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Admitted requests per second.
    pub rate: f64,
    /// Requests that may be admitted at once after a pause.
    pub burst: u32,
    /// Requests in flight.
    pub concurrency: u32,
}

impl From<&Limits> for Rule {
    fn from(limits: &Limits) -> Self {
        Rule {
            rate: limits.rate,
            burst: limits.burst,
            concurrency: limits.concurrency,
        }
    }
}

/// A part of the limits, valid for a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Requests that may be admitted.
    pub requests: u32,
    /// Requests that may be in flight at once.
    pub slots: u32,
    /// How long the grant is valid.
    pub valid: Duration,
    /// When to ask again if the grant is empty.
    pub retry: Duration,
}

/// Returns the entry process that grants the limits of a catalogue entry.
pub fn grantor_of<'a>(entry: &str, live: &[&'a str]) -> Option<&'a str> {
    first_by_hash(entry, live)
}
