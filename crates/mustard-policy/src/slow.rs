//! Detection of slow stages: servers that are alive, but much slower than the others that hold the
//! same layers.

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

use crate::fleet::{Fleet, Group, ServerKey};

/// The factor over the median step time of its group beyond which a server is slow.
const SLOW_FACTOR: f32 = 3.0;
/// The factor over the median up to which a slow server counts as recovered. It is lower than
/// [`SLOW_FACTOR`], so that the verdict doesn't flap.
const RECOVERED_FACTOR: f32 = 2.0;
/// The number of checks in a row that change the verdict.
const CHECKS_TO_CHANGE: u32 = 3;

/// Compares the estimated step times of the servers that hold the same layers.
///
/// The choice of chains needs no rule for slow servers, since it uses the estimated times. The
/// verdict is meant for operators, and for ending an attempt on a chain that was chosen earlier.
#[derive(Debug, Default)]
pub struct SlowDetector {
    /// The number of checks in a row that contradict the verdict.
    contradictions: Map<ServerKey, u32>,
    slow: Map<ServerKey, bool>,
}

impl SlowDetector {
    /// Creates a detector to which no server is slow.
    pub fn new() -> Self {
        Self::default()
    }

    /// Checks the servers of a model; returns those whose verdict changed, with `true` for slow.
    pub fn detect_changes(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        model: &str,
    ) -> Vec<(ServerKey, bool)> {
        let mut changed = Vec::new();
        for group in fleet.groups(model) {
            self.check_group(now, fleet, group, &mut changed);
        }
        self.slow.retain(|key, _| fleet.get(*key).is_some());
        self.contradictions
            .retain(|key, _| fleet.get(*key).is_some());
        changed
    }

    /// Returns whether a server is slow by the last verdict.
    pub fn is_slow(&self, key: ServerKey) -> bool {
        self.slow.get(&key).copied().unwrap_or(false)
    }

    fn check_group(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        group: &Group,
        changed: &mut Vec<(ServerKey, bool)>,
    ) {
        let step_us = |key: &ServerKey| {
            let stats = fleet.get(*key)?.stats();
            Some(stats.step_us(now, 1.0))
        };
        let mut times: Vec<f32> = group.servers.iter().filter_map(step_us).collect();
        times.sort_unstable_by(f32::total_cmp);
        let Some(&median) = times.get(times.len() / 2) else {
            return;
        };
        for key in &group.servers {
            let Some(time) = step_us(key) else { continue };
            let was_slow = self.is_slow(*key);
            let factor = if was_slow {
                RECOVERED_FACTOR
            } else {
                SLOW_FACTOR
            };
            let is_slow = time > median * factor;
            let count = self.contradictions.entry(*key).or_default();
            *count = if is_slow == was_slow { 0 } else { *count + 1 };
            if *count >= CHECKS_TO_CHANGE {
                *count = 0;
                self.slow.insert(*key, is_slow);
                changed.push((*key, is_slow));
            }
        }
    }
}
