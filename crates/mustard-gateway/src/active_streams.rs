//! The registry of streams in flight, which [`crate::stream_watch`] scans for stalls.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use mustard_core::arena::{Arena, Key};
use mustard_core::clock::Moment;
use mustard_core::deployment::{PathPart, ServerKey};
use mustard_core::fingerprint::Fingerprint;
use mustard_policy::pipeline::RequestDemand;
use mustard_policy::quarantine::Content;
use mustard_policy::segments::PROOF_WRITTEN;
use mustard_policy::stall::Progress;

use crate::app::App;
use crate::fleet::{LoadGuard, ServerProcess};
use crate::forward::memory_per_server;
use crate::outliers;
use crate::strikes::{self, FailedRun, Failure, FinishedRun};

/// The key of a stream in flight.
pub type ActiveStreamKey = Key<ActiveStream>;

/// The streams in flight of this gateway.
pub type ActiveStreams = Arena<ActiveStream>;

/// A running attempt of a stream.
pub struct ActiveStream {
    /// The caller's id of the request.
    pub id: String,
    /// The name of the service.
    pub service: String,
    /// The path: the servers in the order of layers.
    pub parts: Vec<PathPart>,
    /// The server processes of the path.
    pub processes: Vec<ServerProcess>,
    /// The digest of the request's content, its prompt included.
    pub content: Content,
    /// The segments of its prompt that other prompts may share.
    pub segments: Rc<[Fingerprint]>,
    /// The number of more urgent priorities that requests to its service may have.
    pub rank: usize,
    /// The tokens that its caller has, by the id of the last event.
    pub tokens_sent: u64,
    /// Whether a new attempt may take the place of a move: the route allows another one, and none was
    /// tried in place of a move of this attempt.
    pub may_restart: bool,
    /// How often the attempt was moved to another path.
    pub moves: u32,
    /// The tokens and the failure domain by which its path was chosen.
    pub demand: RequestDemand,
    /// How often the path that it was sent over crosses from one failure domain to another.
    pub crossings: u32,
    /// When the attempt was sent to the servers that it uses now.
    pub sent_at: Moment,
    /// The time within which its first event is wanted.
    pub target_latency: Duration,
    /// When its last event arrived, and when its servers were last asked for reports since then.
    pub progress: Progress,
    /// Tells its task to abandon the attempt and continue at another server.
    pub abandon: Rc<Notify>,
    /// Whether it is being moved to another path.
    pub moving: bool,
    /// Counts its load at the servers of its path.
    pub load: LoadGuard,
}

impl ActiveStream {
    /// Returns the run that the stream's servers have failed.
    pub fn failed_run(&self, failure: Failure) -> FailedRun {
        FailedRun {
            content: self.content,
            segments: Rc::clone(&self.segments),
            written: self.progress.written,
            was_moved: self.moves > 0,
            request: self.id.clone(),
            processes: self.processes.clone(),
            failure,
        }
    }

    /// Tells whether a server is on the stream's path.
    pub fn uses_server(&self, server: ServerKey) -> bool {
        self.parts.iter().any(|p| p.server == server)
    }
}

/// Keeps a stream registered until this guard is dropped.
///
/// An attempt whose result isn't known by then, as its caller left or its time was over, counts as failed
/// if it had stalled.
pub struct ActiveStreamGuard {
    app: Rc<App>,
    key: ActiveStreamKey,
    is_concluded: Cell<bool>,
}

impl ActiveStreamGuard {
    /// Registers a stream.
    pub fn register(app: &Rc<App>, stream: ActiveStream) -> Self {
        let key = app.streams.borrow_mut().insert(stream);
        ActiveStreamGuard {
            app: Rc::clone(app),
            key,
            is_concluded: Cell::new(false),
        }
    }

    /// Records that the result of the attempt is known.
    pub fn conclude(&self) {
        self.is_concluded.set(true);
    }

    /// Returns the attempt as a run that failed; its result is known then.
    pub fn failed_run(&self, failure: Failure) -> Option<FailedRun> {
        self.conclude();
        let streams = self.app.streams.borrow();
        streams.get(self.key).map(|s| s.failed_run(failure))
    }

    /// Returns the attempt as a run that was answered whole; its result is known then.
    pub fn finished_run(&self) -> Option<FinishedRun> {
        self.conclude();
        let streams = self.app.streams.borrow();
        let stream = streams.get(self.key)?;
        Some(FinishedRun {
            segments: Rc::clone(&stream.segments),
            content: stream.content,
            written: stream.progress.written,
            processes: stream.processes.clone(),
        })
    }

    /// Returns the servers that the attempt uses, the first one first, when it was sent to them, and whether
    /// an event has arrived.
    pub fn servers(&self) -> Option<(Vec<ServerKey>, Moment, bool)> {
        let streams = self.app.streams.borrow();
        let stream = streams.get(self.key)?;
        let keys = stream.processes.iter().map(|p| p.key).collect();
        Some((keys, stream.sent_at, stream.progress.has_begun))
    }

    /// Tells whether the attempt was moved to another path.
    pub fn was_moved(&self) -> bool {
        let streams = self.app.streams.borrow();
        streams.get(self.key).is_some_and(|s| s.moves > 0)
    }

    /// Records that events arrived, of which the last one has an id. Once its servers have written for long enough, the segments of the
    /// prompt are acquitted.
    pub fn record_events(&self, now: Moment, last_event: Option<u64>) {
        let mut streams = self.app.streams.borrow_mut();
        let Some(stream) = streams.get_mut(self.key) else {
            return;
        };
        let pause = now.since(stream.progress.last_event);
        if stream.progress.has_begun {
            self.app.pauses.borrow_mut().observe(pause);
        } else {
            let mut fleet = self.app.fleet.borrow_mut();
            fleet.record_use(stream.parts.iter().map(|p| p.server));
            fleet.record_accepted(memory_per_server(&stream.parts, &stream.demand));
            drop(fleet);
            let path = stream.processes.iter().map(|p| p.key);
            outliers::record_success(&self.app, &stream.service, path, stream.sent_at);
            if stream.crossings > 0 {
                let in_time = pause <= stream.target_latency;
                self.app.crossings.borrow_mut().record_start(now, in_time);
            }
        }
        stream.tokens_sent = last_event.unwrap_or(stream.tokens_sent);
        let before = stream.progress.written;
        stream.progress.advance(now);
        if before < PROOF_WRITTEN && stream.progress.written >= PROOF_WRITTEN {
            strikes::acquit_segments(&self.app, &stream.segments, now);
        }
    }
}

impl Drop for ActiveStreamGuard {
    fn drop(&mut self) {
        let stream = self.app.streams.borrow_mut().remove(self.key);
        if let Some(stream) = stream.as_ref().filter(|_| !self.is_concluded.get()) {
            let now = self.app.now();
            let pause = now.since(stream.progress.last_event);
            if !stream.progress.has_begun && stream.crossings > 0 {
                let mut crossings = self.app.crossings.borrow_mut();
                crossings.record_no_start(now, pause, stream.target_latency);
            }
            if !stream.progress.has_begun || pause > self.app.pauses.borrow().limit() {
                strikes::record_run(&self.app, stream.failed_run(Failure::Abandoned));
            }
        }
        // Dropped only now that `streams` is no longer borrowed; this also uncounts its load.
        drop(stream);
    }
}
