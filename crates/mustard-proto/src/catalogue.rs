//! Messages that carry catalogue changes between processes.

use serde::{Deserialize, Serialize};

use mustard_core::catalogue::{Change, Snapshot};
use mustard_core::ids::Seq;

use crate::envelope::Message;

/// Asks a process for the catalogue changes that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullChanges {
    /// The last change in force at the sender; the answer starts after it.
    pub after: Seq,
}

/// The answer to a [`PullChanges`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullAnswer {
    /// Milliseconds since the answering process last knew its catalogue to be the newest; `None`
    /// if it never did.
    pub confirmed_ms: Option<u64>,
    /// What follows [`PullChanges::after`].
    pub delta: Delta,
}

/// What brings a catalogue from an older change to the newest one in force at a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Delta {
    /// The missing changes, in order; empty if there are none.
    Changes(Vec<Change>),
    /// The whole catalogue, if some of the missing changes are no longer kept.
    #[serde(rename = "Whole")]
    Snapshot(Snapshot),
}

impl Message for PullChanges {
    const PATH: &'static str = "/x/v1/catalogue/pull";
    type Answer = PullAnswer;
}

/// Sends new catalogue changes to a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PushChanges {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Milliseconds since the sender last knew its catalogue to be the newest; `None` if it never
    /// did.
    pub confirmed_ms: Option<u64>,
}

/// The answer to a [`PushChanges`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushAnswer {
    /// The last change in force at the receiver after the push.
    pub seq: Seq,
}

impl Message for PushChanges {
    const PATH: &'static str = "/x/v1/catalogue/push";
    type Answer = PushAnswer;
}
