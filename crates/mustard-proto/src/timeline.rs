//! Messages that read the events recorded by a process.

use serde::{Deserialize, Serialize};

use mustard_core::event::Event;
use mustard_core::hlc::Hlc;
use mustard_core::ids::RequestId;

use crate::envelope::Message;

/// Asks a process for its recorded events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineRequest {
    /// Returns only events after this time.
    pub after: Hlc,
    /// Returns only events of this request; `None` returns all.
    pub request: Option<RequestId>,
}

/// The recorded events of a process that match a [`TimelineRequest`] message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimelineAnswer {
    /// The events, oldest first.
    pub events: Vec<Event>,
}

impl Message for TimelineRequest {
    const PATH: &'static str = "/x/v1/timeline";
    type Answer = TimelineAnswer;
}
