//! Log lines about decisions, with a bounded number of lines a second for each kind.

use std::cell::RefCell;
use std::time::Duration;

use slog::Logger;

use mustard_core::clock::{Clock, Moment, SystemClock};

/// The lines a second of routine decisions, for each kind.
const ROUTINE_LINES: u32 = 30;
/// The lines a second about failures and changes of belief, for each kind.
const NOTABLE_LINES: u32 = 120;
const SPAN: Duration = Duration::from_secs(1);

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// A request was given a path or a server.
    Chosen,
    /// A request ended well.
    Served,
    /// A request was refused.
    Refused,
    /// A request failed.
    Failed,
    /// An attempt failed and another one may follow.
    Attempt,
    /// A stream fell silent, was moved or went on elsewhere.
    Stream,
    /// A server came, left or is believed to be in another state.
    Server,
    /// An order to a server.
    Order,
    /// The configuration.
    Config,
    /// The store or a peer was lost or is back.
    Dependency,
}

const TOPICS: usize = Topic::Dependency as usize + 1;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    since: Moment,
    lines: u32,
    dropped: u64,
}

/// The log of a process.
#[derive(Debug)]
pub struct Journal {
    log: Logger,
    clock: SystemClock,
    counts: RefCell<[Count; TOPICS]>,
}

impl Journal {
    /// Creates a journal that writes to a logger.
    pub fn new(log: Logger, clock: SystemClock) -> Self {
        Journal {
            log,
            clock,
            counts: RefCell::default(),
        }
    }

    /// Returns the logger if a line about a topic is within its budget.
    ///
    /// The first line after a second in which lines were dropped says how many.
    pub fn admit(&self, topic: Topic) -> Option<&Logger> {
        let now = self.clock.now();
        let count = &mut self.counts.borrow_mut()[topic as usize];
        if now.since(count.since) >= SPAN {
            if count.dropped > 0 {
                slog::warn!(self.log, "log: Lines were dropped.";
                    "topic" => ?topic, "dropped" => count.dropped);
            }
            *count = Count {
                since: now,
                ..Count::default()
            };
        }
        if count.lines >= topic.lines() {
            count.dropped += 1;
            return None;
        }
        count.lines += 1;
        Some(&self.log)
    }

    /// Returns the logger for lines that come once in a life.
    pub fn log(&self) -> &Logger {
        &self.log
    }
}

impl Topic {
    fn lines(self) -> u32 {
        match self {
            Topic::Chosen | Topic::Served => ROUTINE_LINES,
            _ => NOTABLE_LINES,
        }
    }
}
