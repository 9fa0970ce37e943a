//! Rate-limited logging: at most a fixed number of lines a second for each topic.

use std::cell::RefCell;
use std::time::Duration;

use slog::Logger;

use mustard_core::clock::{Clock, Moment, SystemClock};

/// The limit of each topic that logs every request.
const ROUTINE_LINES_PER_SECOND: u32 = 30;
/// The limit of each topic about failures and state changes.
const NOTABLE_LINES_PER_SECOND: u32 = 120;
/// The span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The topic of a line; each topic has a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// A request was given a path or a server.
    Chosen,
    /// A stream waits for a path, got one or is refused for lack of one, by its priority.
    Waiting,
    /// A request was served.
    Served,
    /// A request was refused and has not run.
    Refused,
    /// A request failed and may have run, or a caller's request was at fault.
    Failed,
    /// An attempt to serve a request at a server failed; another one may follow.
    Attempt,
    /// A second copy of a slow request was sent, or a limit didn't allow one.
    Copy,
    /// A stream stalled, was moved to another path or was resumed on another server.
    Stream,
    /// A server joined, left or changed its state as seen from here.
    Server,
    /// A server became slow or fast again, as reports say.
    Load,
    /// The placement of layers: the lease it needs, servers' reports and orders to hold layers.
    Order,
    /// A configuration was put in force or could not be read.
    Config,
    /// The share of this gateway in a capacity that all gateways divide.
    Share,
    /// The store or a peer became unreachable or reachable.
    Dependency,
}

const TOPIC_COUNT: usize = Topic::Dependency as usize + 1;

#[derive(Clone, Copy, Debug, Default)]
struct LineCount {
    window_start: Moment,
    lines: u32,
    dropped: u64,
}

/// The log of a process, with a limit for each topic.
#[derive(Debug)]
pub struct LimitedLog {
    log: Logger,
    clock: SystemClock,
    counts: RefCell<[LineCount; TOPIC_COUNT]>,
}

impl LimitedLog {
    /// Creates a log that writes to a logger.
    pub fn new(log: Logger, clock: SystemClock) -> Self {
        LimitedLog {
            log,
            clock,
            counts: RefCell::default(),
        }
    }

    /// Returns the logger if a line about a topic is within its limit.
    ///
    /// If lines about the topic were dropped in its last window, the first call after that window
    /// logs how many.
    pub fn logger_for(&self, topic: Topic) -> Option<&Logger> {
        let now = self.clock.now();
        let count = &mut self.counts.borrow_mut()[topic as usize];
        if now.since(count.window_start) >= WINDOW {
            if count.dropped > 0 {
                slog::warn!(self.log, "log: Lines were dropped.";
                    "topic" => ?topic, "dropped" => count.dropped);
            }
            *count = LineCount {
                window_start: now,
                ..LineCount::default()
            };
        }
        if count.lines >= topic.max_lines() {
            count.dropped += 1;
            return None;
        }
        count.lines += 1;
        Some(&self.log)
    }

    /// Returns the logger for lines that appear once in a run of the process; they have no limit.
    pub fn log(&self) -> &Logger {
        &self.log
    }
}

impl Topic {
    fn max_lines(self) -> u32 {
        match self {
            Topic::Chosen | Topic::Waiting | Topic::Served => ROUTINE_LINES_PER_SECOND,
            _ => NOTABLE_LINES_PER_SECOND,
        }
    }
}
