//! Servers that are left out for a while after they failed a request.

use std::time::Duration;

use mustard_core::clock::Moment;

/// What a server did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It could not be reached or gave no sign of life.
    Silent,
    /// It ended a connection in the middle of an answer, or answered with bytes of its own.
    Broken,
    /// It refused as full.
    Full,
    /// It lacks the layers that it was thought to hold.
    Empty,
}

/// The first time out of use after each fault; but for a full server, which has room again as
/// soon as a request ends, it doubles with each further fault.
const SILENT: Duration = Duration::from_millis(1_000);
const BROKEN: Duration = Duration::from_millis(400);
const FULL: Duration = Duration::from_millis(150);
const EMPTY: Duration = Duration::from_millis(1_200);
/// The longest time out of use.
const LONGEST: Duration = Duration::from_millis(4_000);
/// A fault that lies back further than this doubles nothing.
const MEMORY: Duration = Duration::from_secs(8);

/// Whether one server is in use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspicion {
    until: Moment,
    last: Moment,
    level: u32,
}

impl Suspicion {
    /// Takes in a fault.
    pub fn fail(&mut self, now: Moment, fault: Fault) {
        if now < self.until && fault != Fault::Silent {
            return;
        }
        if fault == Fault::Full {
            self.until = self.until.max(now + FULL);
            return;
        }
        let recent = self.level > 0 && now.since(self.last) < MEMORY;
        self.level = if recent { (self.level + 1).min(4) } else { 1 };
        let base = match fault {
            Fault::Silent => SILENT,
            Fault::Broken => BROKEN,
            Fault::Full => FULL,
            Fault::Empty => EMPTY,
        };
        let span = (base * 2u32.pow(self.level - 1)).min(LONGEST);
        self.until = self.until.max(now + span);
        self.last = now;
    }

    /// Takes in an answer.
    pub fn clear(&mut self) {
        *self = Suspicion::default();
    }

    /// Tells whether the server is left out.
    pub fn is_out(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns when the server is used again.
    pub fn until(&self) -> Moment {
        self.until
    }
}
