//! Backoff for servers: each fault keeps a server out of use for a time.

use std::time::Duration;

use mustard_core::clock::Moment;

/// How a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It could not be reached or did not answer.
    Silent,
    /// It ended an answer early, did not complete it in time, or sent an invalid one.
    Broken,
    /// It refused a request because it was full.
    Full,
    /// It does not hold the layers that the request needs.
    LayersMissing,
}

/// The backoff after the first fault of each kind. It doubles with each further fault, except for
/// a full server, which has free memory again as soon as a request ends.
const SILENT_BACKOFF: Duration = Duration::from_millis(1_000);
const BROKEN_BACKOFF: Duration = Duration::from_millis(400);
const FULL_BACKOFF: Duration = Duration::from_millis(150);
const LAYERS_MISSING_BACKOFF: Duration = Duration::from_millis(1_200);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(4_000);
/// How long a fault counts towards the doubling of the next backoff.
const FAULT_WINDOW: Duration = Duration::from_secs(8);

/// The backoff of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerBackoff {
    until: Moment,
    last_fault: Moment,
    /// The number of counted faults, each within [`FAULT_WINDOW`] of the one before; up to four. It
    /// sets how often the backoff has doubled. [`Fault::Full`] is never counted, and during a
    /// backoff only [`Fault::Silent`] is.
    faults: u32,
}

impl ServerBackoff {
    /// Records a fault, and takes the server out of use for a time.
    ///
    /// During a backoff only [`Fault::Silent`] counts; other faults are ignored. [`Fault::Full`]
    /// takes the server out of use but never lengthens later backoffs.
    pub fn record_fault(&mut self, now: Moment, fault: Fault) {
        if now < self.until && fault != Fault::Silent {
            return;
        }
        if fault == Fault::Full {
            self.until = self.until.max(now + FULL_BACKOFF);
            return;
        }
        let is_recent = self.faults > 0 && now.since(self.last_fault) < FAULT_WINDOW;
        self.faults = if is_recent {
            (self.faults + 1).min(4)
        } else {
            1
        };
        let base = match fault {
            Fault::Silent => SILENT_BACKOFF,
            Fault::Broken => BROKEN_BACKOFF,
            Fault::Full => FULL_BACKOFF,
            Fault::LayersMissing => LAYERS_MISSING_BACKOFF,
        };
        let backoff = (base * 2u32.pow(self.faults - 1)).min(MAX_BACKOFF);
        self.until = self.until.max(now + backoff);
        self.last_fault = now;
    }

    /// Records an answer, and puts the server back into use.
    pub fn clear(&mut self) {
        *self = ServerBackoff::default();
    }

    /// Returns whether the server is out of use.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns whether the server is out of use and failed lately, other than as full.
    pub fn is_faulty(&self, now: Moment) -> bool {
        let is_recent = self.faults > 0 && now.since(self.last_fault) < MAX_BACKOFF;
        is_recent && self.is_backing_off(now)
    }

    /// Returns when the server comes back into use.
    pub fn until(&self) -> Moment {
        self.until
    }
}
