//! Faults that a stand-in is told to have.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::time;

const THOUSANDTHS: f64 = 1000.0;
const KILLED: i32 = 1;

/// The body of `POST /control`; absent members change nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// The part that is meant, for a stand-in of several parts; all of them if absent.
    pub part: Option<String>,
    /// Waits before each call, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Refuses every call with status 503.
    pub down: Option<bool>,
    /// Acts on this many writes and breaks their answers off.
    pub lose_answers: Option<u32>,
    /// Breaks off this many writes without acting on them.
    pub lose_writes: Option<u32>,
    /// Does nothing at all for a time, in milliseconds.
    pub freeze_ms: Option<u64>,
    /// Multiplies the time of the work.
    pub slow_factor: Option<f64>,
    /// Ends the process.
    pub die: bool,
    /// Forgets open sequences or the like.
    pub forget: bool,
}

/// The faults in force.
#[derive(Debug)]
pub struct Faults {
    origin: Instant,
    delay_ms: AtomicU64,
    down: AtomicBool,
    lose_answers: AtomicU32,
    lose_writes: AtomicU32,
    frozen_until: AtomicU64,
    slow: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            origin: Instant::now(),
            delay_ms: AtomicU64::new(0),
            down: AtomicBool::new(false),
            lose_answers: AtomicU32::new(0),
            lose_writes: AtomicU32::new(0),
            frozen_until: AtomicU64::new(0),
            slow: AtomicU64::new(THOUSANDTHS as u64),
        }
    }
}

impl Faults {
    /// Obeys a command.
    pub fn obey(&self, command: &Command) {
        if command.die {
            std::process::exit(KILLED);
        }
        if let Some(ms) = command.delay_ms {
            self.delay_ms.store(ms, Ordering::SeqCst);
        }
        if let Some(down) = command.down {
            self.down.store(down, Ordering::SeqCst);
        }
        if let Some(n) = command.lose_answers {
            self.lose_answers.store(n, Ordering::SeqCst);
        }
        if let Some(n) = command.lose_writes {
            self.lose_writes.store(n, Ordering::SeqCst);
        }
        if let Some(ms) = command.freeze_ms {
            self.frozen_until
                .store(self.now_ms() + ms, Ordering::SeqCst);
        }
        if let Some(factor) = command.slow_factor {
            let factor = (factor * THOUSANDTHS) as u64;
            self.slow.store(factor, Ordering::SeqCst);
        }
    }

    /// Waits as long as calls are delayed or frozen.
    pub async fn hold(&self) {
        let delay = self.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            time::sleep(Duration::from_millis(delay)).await;
        }
        while let Some(left) = self.frozen() {
            time::sleep(left).await;
        }
    }

    /// Returns the time left of a freeze.
    pub fn frozen(&self) -> Option<Duration> {
        let until = self.frozen_until.load(Ordering::SeqCst);
        let left = until.checked_sub(self.now_ms()).filter(|ms| *ms > 0)?;
        Some(Duration::from_millis(left))
    }

    /// Tells whether every call is refused.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Tells whether the answer of this write is to be broken off.
    pub fn loses_answer(&self) -> bool {
        take_one(&self.lose_answers)
    }

    /// Tells whether this write is to be broken off before it takes effect.
    pub fn loses_write(&self) -> bool {
        take_one(&self.lose_writes)
    }

    /// Stretches the time of the work.
    pub fn stretch(&self, time: Duration) -> Duration {
        time.mul_f64(self.slow.load(Ordering::SeqCst) as f64 / THOUSANDTHS)
    }

    fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }
}

fn take_one(left: &AtomicU32) -> bool {
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        .is_ok()
}
