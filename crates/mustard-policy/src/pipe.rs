//! The share of the rate between failure domains that one process may use.
//!
//! All requests whose paths change between the same two domains share one rate. Past it they
//! don't fail but wait behind each other, and every stream through it slows down, so requests beyond the
//! share have to be kept out before they start.

use std::collections::VecDeque;
use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

/// The span over which transfers are counted; about that of one queue of prompts that still
/// leaves the first event in time.
const WINDOW: Duration = Duration::from_millis(400);
/// The part of the rate that prompts may take; tokens and moved streams need the rest.
const USABLE: f64 = 0.8;

/// Two failure domains, the lower index first.
pub type Pair = (u32, u32);

/// Counts this process's transfers between failure domains.
#[derive(Clone, Debug, Default)]
pub struct Pipes {
    pairs: Map<Pair, Window>,
}

impl Pipes {
    /// Tells whether transfers over all the pairs may start now, given the rate of each pair in
    /// megabits a second and the number of processes that share it. One transfer in each window
    /// is always allowed.
    pub fn allow(&mut self, now: Moment, pairs: &[Pair], mbps: f64, processes: usize) -> bool {
        let share = mbps * 1e6 * WINDOW.as_secs_f64() * USABLE / processes.max(1) as f64;
        pairs.iter().all(|pair| {
            let window = self.pairs.entry(*pair).or_default();
            window.expire(now);
            window.sent.is_empty() || window.total < share
        })
    }

    /// Takes in a transfer of so many bits over each of the pairs.
    pub fn begin(&mut self, now: Moment, pairs: &[Pair], bits: f64) {
        for pair in pairs {
            let window = self.pairs.entry(*pair).or_default();
            window.sent.push_back((now, bits));
            window.total += bits;
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Window {
    sent: VecDeque<(Moment, f64)>,
    total: f64,
}

impl Window {
    fn expire(&mut self, now: Moment) {
        let start = now - WINDOW;
        while let Some((at, bits)) = self.sent.front().copied() {
            if at >= start {
                return;
            }
            self.sent.pop_front();
            self.total -= bits;
        }
        self.total = 0.0;
    }
}
