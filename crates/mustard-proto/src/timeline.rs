//! Messages that read a process's time line.

use serde::{Deserialize, Serialize};

use mustard_core::event::Event;
use mustard_core::hlc::Hlc;
use mustard_core::ids::RequestId;

use crate::envelope::Message;

/// Asks a process for its events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// Only events after this time.
    pub after: Hlc,
    /// Only events of this request.
    pub request: Option<RequestId>,
}

/// The events of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Events {
    /// The events, oldest first.
    pub events: Vec<Event>,
}

impl Message for Timeline {
    const PATH: &'static str = "/x/v1/timeline";
    type Answer = Events;
}
