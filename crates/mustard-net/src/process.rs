//! The identity of a running process: its name, life, clocks and time line.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use mustard_core::clock::{Clock, Moment, SystemClock};
use mustard_core::event::{Event, EventKind, EventRing};
use mustard_core::hlc::{Hlc, HlcClock};
use mustard_core::ids::{Incarnation, RequestId, Seq};
use mustard_proto::Head;

/// What every part of a daemon shares.
pub struct Process {
    name: String,
    incarnation: Incarnation,
    clock: SystemClock,
    hlc: HlcClock,
    newest: AtomicU64,
    ring: EventRing,
}

impl Process {
    /// Creates the identity of a process that starts now.
    pub fn new(name: &str, ring_capacity: usize) -> Arc<Self> {
        let process = Process {
            name: name.to_owned(),
            incarnation: Incarnation::random(),
            clock: SystemClock::default(),
            hlc: HlcClock::default(),
            newest: AtomicU64::new(0),
            ring: EventRing::new(ring_capacity),
        };
        process.emit(
            None,
            EventKind::Started {
                incarnation: process.incarnation,
            },
        );
        Arc::new(process)
    }

    /// Returns the name from the settings.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the life of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the wall clock, in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    /// Returns a new timestamp for a message or an event.
    pub fn tick(&self) -> Hlc {
        self.hlc.tick(self.clock.wall_ms())
    }

    /// Returns the newest catalogue change that this process has seen anywhere.
    pub fn newest(&self) -> Seq {
        Seq(self.newest.load(Ordering::Acquire))
    }

    /// Takes in the clock and the newest catalogue change of another process.
    pub fn observe(&self, at: Hlc, seq: Seq) {
        self.hlc.observe(at);
        self.newest.fetch_max(seq.0, Ordering::AcqRel);
    }

    /// Returns the head of a message to a given life of its receiver.
    pub fn head(&self, to: Incarnation) -> Head {
        Head {
            at: self.tick(),
            seq: self.newest(),
            to,
        }
    }

    /// Adds an event to the time line.
    pub fn emit(&self, request: Option<RequestId>, kind: EventKind) {
        let process = self.name.clone();
        self.ring.push(Event {
            at: self.tick(),
            process,
            request,
            kind,
        });
    }

    /// Returns the time line.
    pub fn ring(&self) -> &EventRing {
        &self.ring
    }
}
