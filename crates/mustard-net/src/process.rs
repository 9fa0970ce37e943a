//! The identity of a running process: its name, incarnation, clocks and timeline.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use mustard_core::clock::{Clock, Moment, SystemClock};
use mustard_core::event::{Event, EventKind, EventRing};
use mustard_core::hlc::{Hlc, HlcClock};
use mustard_core::ids::{Incarnation, RequestId, Seq};
use mustard_proto::MessageHeader;

/// The identity, clocks and timeline that all parts of a daemon share.
pub struct Process {
    name: String,
    incarnation: Incarnation,
    clock: SystemClock,
    hlc: HlcClock,
    newest_seq: AtomicU64,
    timeline: EventRing,
}

impl Process {
    /// Creates the identity of a starting process and adds its start to the timeline.
    ///
    /// The timeline is the list of the process's recent events; it keeps the newest
    /// `timeline_capacity` events.
    pub fn new(name: &str, timeline_capacity: usize) -> Arc<Self> {
        let process = Process {
            name: name.to_owned(),
            incarnation: Incarnation::random(),
            clock: SystemClock::default(),
            hlc: HlcClock::default(),
            newest_seq: AtomicU64::new(0),
            timeline: EventRing::new(timeline_capacity),
        };
        process.emit(
            None,
            EventKind::Started {
                incarnation: process.incarnation,
            },
        );
        Arc::new(process)
    }

    /// Returns the name of the process, as set by its settings.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the incarnation: a random number that each start of the process gets anew.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the current time of the monotonic clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the wall clock time, in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    /// Advances the hybrid logical clock and returns a new timestamp for a message or an event.
    pub fn tick(&self) -> Hlc {
        self.hlc.tick(self.clock.wall_ms())
    }

    /// Returns the newest catalogue change that this process has heard of, whether or not it
    /// has applied it.
    pub fn newest_seq(&self) -> Seq {
        Seq(self.newest_seq.load(Ordering::Acquire))
    }

    /// Merges a timestamp of another process into the hybrid logical clock, and records a catalogue
    /// change if it is newer than any that this process has heard of.
    pub fn observe(&self, at: Hlc, seq: Seq) {
        self.hlc.observe(at);
        self.newest_seq.fetch_max(seq.0, Ordering::AcqRel);
    }

    /// Returns the header of a message to a receiver of incarnation `to`; zero means any.
    pub fn header(&self, to: Incarnation) -> MessageHeader {
        MessageHeader {
            at: self.tick(),
            seq: self.newest_seq(),
            to,
        }
    }

    /// Adds an event to the timeline.
    pub fn emit(&self, request: Option<RequestId>, kind: EventKind) {
        let process = self.name.clone();
        self.timeline.push(Event {
            at: self.tick(),
            process,
            request,
            kind,
        });
    }

    /// Returns the timeline.
    pub fn timeline(&self) -> &EventRing {
        &self.timeline
    }
}
