//! One session: an attempt at one request at this stage.

use std::sync::Arc;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::ids::{Epoch, RequestId};
use mustard_proto::step::{Hop, Opening};

use super::work::{Phase, Work};

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    /// The entry ended it, after its last token or before.
    ByEntry,
    /// A newer attempt took its place.
    Superseded,
    /// Its deadline passed.
    Expired,
    /// No step came for a long time.
    Silent,
    /// The caller of a running step went away.
    Abandoned,
    /// The engine lost its sequence or may have run a step.
    Broken,
}

/// A session that ended; its sequence is to be cancelled at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub epoch: Epoch,
    /// Why it ended.
    pub why: Ended,
}

/// Refers to a step under way.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub epoch: Epoch,
    /// The work of the step.
    pub work: Work,
    /// The opening of the attempt.
    pub opening: Arc<Opening>,
    /// The place of this stage in the chain.
    pub stage: u32,
    /// The deadline of the attempt.
    pub deadline: Moment,
}

impl Ticket {
    /// Returns the next agent of the chain, or none after the last stage.
    pub fn next_hop(&self) -> Option<&Hop> {
        self.opening.chain.get(self.stage as usize + 1)
    }
}

impl Ended {
    /// Returns the stable name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Ended::ByEntry => "by_entry",
            Ended::Superseded => "superseded",
            Ended::Expired => "expired",
            Ended::Silent => "silent",
            Ended::Abandoned => "abandoned",
            Ended::Broken => "broken",
        }
    }
}

/// One attempt at one request.
pub(super) struct Session<G> {
    pub(super) request: RequestId,
    pub(super) epoch: Epoch,
    pub(super) stage: u32,
    pub(super) next: u32,
    pub(super) phase: Phase,
    pub(super) last: Option<(Work, u32)>,
    pub(super) opening: Arc<Opening>,
    pub(super) deadline: Moment,
    pub(super) seen: Moment,
    pub(super) reported: Option<Moment>,
    // Held for its drop, which ends the count of a session in flight.
    pub(super) _guard: G,
}

impl<G> Session<G> {
    /// Refers to a step of this session.
    pub(super) fn ticket(&self, work: Work) -> Ticket {
        Ticket {
            request: self.request,
            epoch: self.epoch,
            work,
            opening: Arc::clone(&self.opening),
            stage: self.stage,
            deadline: self.deadline,
        }
    }

    /// Tells whether the session is to end by itself, and why.
    pub(super) fn over(&self, now: Moment, idle: Duration) -> Option<Ended> {
        if now >= self.deadline {
            return Some(Ended::Expired);
        }
        let running = matches!(self.phase, Phase::Engine(_) | Phase::Next(..));
        (!running && now.since(self.seen) >= idle).then_some(Ended::Silent)
    }
}
