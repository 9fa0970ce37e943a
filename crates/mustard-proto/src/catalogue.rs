//! Messages that carry catalogue changes between processes.

use serde::{Deserialize, Serialize};

use mustard_core::catalogue::{Change, Snapshot};
use mustard_core::ids::Seq;

use crate::envelope::Message;

/// Asks a process for the changes after a place in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The last change that the asking process has.
    pub after: Seq,
}

/// What a process knows after the given place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pulled {
    /// How long ago, in milliseconds, the answering process last knew its catalogue to be the
    /// newest; none if it never knew.
    pub confirmed_ms: Option<u64>,
    /// What follows the given place.
    pub delta: Delta,
}

/// The difference between two places in the order of changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Delta {
    /// The changes, in order; empty if there is none.
    Changes(Vec<Change>),
    /// The whole catalogue, when the changes are no longer kept.
    Whole(Snapshot),
}

impl Message for Pull {
    const PATH: &'static str = "/x/v1/catalogue/pull";
    type Answer = Pulled;
}

/// Hands new changes to a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Push {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// How long ago, in milliseconds, the sender last knew its catalogue to be the newest; none
    /// if it never knew.
    pub confirmed_ms: Option<u64>,
}

/// The last change in force after a push.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pushed {
    /// The last change in force at the receiver.
    pub seq: Seq,
}

impl Message for Push {
    const PATH: &'static str = "/x/v1/catalogue/push";
    type Answer = Pushed;
}
