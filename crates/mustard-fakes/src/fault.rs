//! Faults that tests inject into a stand-in.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::time;

/// The slow factor is kept as an integer in thousandths, because there is no atomic float.
const PERMILLE: f64 = 1000.0;
const DIE_EXIT_CODE: i32 = 1;

/// The body of `POST /control`; an absent field leaves the fault as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultCommand {
    /// The part of the stand-in that the faults are for; all parts if absent.
    pub part: Option<String>,
    /// Delay of each call, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Whether every call is refused with status 503.
    pub down: Option<bool>,
    /// The number of writes to carry out with their answers cut off.
    pub lose_answers: Option<u32>,
    /// The number of writes to cut off before they take effect.
    pub lose_writes: Option<u32>,
    /// Time for which every call is blocked, in milliseconds.
    pub freeze_ms: Option<u64>,
    /// Factor on the time that a call's work takes.
    pub slow_factor: Option<f64>,
    /// Whether the process exits at once.
    pub die: bool,
    /// Whether an engine drops its open sequences and its prefix cache.
    pub forget: bool,
}

/// The faults of one stand-in or of one of its parts.
#[derive(Debug)]
pub struct Faults {
    started: Instant,
    delay_ms: AtomicU64,
    down: AtomicBool,
    lose_answers: AtomicU32,
    lose_writes: AtomicU32,
    // Milliseconds since `started`.
    frozen_until: AtomicU64,
    slow_permille: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            started: Instant::now(),
            delay_ms: AtomicU64::new(0),
            down: AtomicBool::new(false),
            lose_answers: AtomicU32::new(0),
            lose_writes: AtomicU32::new(0),
            frozen_until: AtomicU64::new(0),
            slow_permille: AtomicU64::new(PERMILLE as u64),
        }
    }
}

impl Faults {
    /// Applies a command, which may end the process.
    pub fn apply(&self, command: &FaultCommand) {
        if command.die {
            std::process::exit(DIE_EXIT_CODE);
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
            let factor = (factor * PERMILLE) as u64;
            self.slow_permille.store(factor, Ordering::SeqCst);
        }
    }

    /// Waits for the configured delay, then for the end of a freeze.
    pub async fn delay_call(&self) {
        let delay = self.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            time::sleep(Duration::from_millis(delay)).await;
        }
        while let Some(left) = self.freeze_left() {
            time::sleep(left).await;
        }
    }

    /// Returns the rest of a freeze; none if there is no freeze now.
    pub fn freeze_left(&self) -> Option<Duration> {
        let until = self.frozen_until.load(Ordering::SeqCst);
        let left = until.checked_sub(self.now_ms()).filter(|ms| *ms > 0)?;
        Some(Duration::from_millis(left))
    }

    /// Tells whether every call is refused.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Tells whether to cut off the answer of this write, and counts the write as lost if so.
    pub fn take_lost_answer(&self) -> bool {
        decrement(&self.lose_answers)
    }

    /// Tells whether to cut off this write before it takes effect, and counts it as lost if so.
    pub fn take_lost_write(&self) -> bool {
        decrement(&self.lose_writes)
    }

    /// Returns the time of the work multiplied by the slow factor.
    pub fn scale_time(&self, time: Duration) -> Duration {
        time.mul_f64(self.slow_permille.load(Ordering::SeqCst) as f64 / PERMILLE)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Decrements a counter; tells whether it was above zero.
fn decrement(left: &AtomicU32) -> bool {
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
        .is_ok()
}
