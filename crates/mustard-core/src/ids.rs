//! Identifiers shared by all processes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{CoreError, Result};

/// Identifies one request of a client across all processes.
///
/// Serialized as 32 hexadecimal digits in text formats and as 16 bytes in binary ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

crate::u128_serde::impl_serde!(RequestId);

impl RequestId {
    /// Returns a new random identifier.
    pub fn random() -> Self {
        RequestId(rand::random())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestId {
    type Err = CoreError;

    fn from_str(s: &str) -> Result<Self> {
        u128::from_str_radix(s, 16)
            .map(RequestId)
            .map_err(|_| CoreError::bad_id("request", s))
    }
}

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number after this one.
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

numeric_id! {
    /// The number of an attempt at one request; a higher epoch supersedes every lower one.
    Epoch
}
numeric_id! {
    /// The sequence number of an accepted catalogue change; no two changes share one.
    Seq
}
numeric_id! {
    /// The version number of one catalogue entry.
    Revision
}
numeric_id! {
    /// Counts how often the platform's store was restored from an older copy. Row versions are
    /// comparable only within one era, since the restored store gives them out again.
    Era
}
numeric_id! {
    /// A fencing token. It grows with every new holder of a lease; an order with a lower token than
    /// one seen before is refused.
    Fence
}
numeric_id! {
    /// Distinguishes a process from earlier ones at the same address; chosen at random at start.
    Incarnation
}

/// The number of fencing tokens that an era has before they reach those of the next era.
const FENCES_PER_ERA: u64 = 1 << 20;

impl Fence {
    /// Returns the lowest token of an era. Tokens of earlier eras are lower, so that one is never
    /// given out twice even if the row that held the highest was lost.
    pub fn first_of(era: Era) -> Self {
        Fence(era.0.saturating_mul(FENCES_PER_ERA))
    }
}

impl Incarnation {
    /// Returns a new random incarnation, which fits in a signed 64 bit integer.
    pub fn random() -> Self {
        Incarnation(rand::random::<u64>() >> 1)
    }
}

/// A half-open range of model layers, `first..end`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Layers {
    /// The first layer of the range.
    pub first: u32,
    /// The layer after the last one of the range.
    pub end: u32,
}

impl Layers {
    /// Creates the range `first..end`.
    pub const fn new(first: u32, end: u32) -> Self {
        Layers { first, end }
    }

    /// Returns the number of layers.
    pub fn count(self) -> u32 {
        self.end.saturating_sub(self.first)
    }

    /// Returns whether the range holds no layer.
    pub fn is_empty(self) -> bool {
        self.end <= self.first
    }
}

impl fmt::Display for Layers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}
