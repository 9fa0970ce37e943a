//! Detection of slow stages: alive, but slower than their own past and than their peers.

use mustard_core::clock::Moment;
use mustard_core::collections::Map;

use crate::fleet::{Fleet, Group, ServerKey};

/// The factor over the median of the group at which a server counts as slow.
const SLOW_FACTOR: f32 = 3.0;
/// The factor below which a slow server counts as sound again.
const SOUND_FACTOR: f32 = 2.0;
/// The number of looks in a row that change the verdict.
const LOOKS: u32 = 3;

/// Compares the learned step times of the servers that hold the same layers.
///
/// A slow server needs no rule of its own in the choice of chains, which goes by learned times;
/// the verdict is for the operator and for the end of a chain that was chosen before.
#[derive(Debug, Default)]
pub struct SlowDetector {
    counts: Map<ServerKey, u32>,
    slow: Map<ServerKey, bool>,
}

impl SlowDetector {
    /// Creates a detector that takes every server for sound.
    pub fn new() -> Self {
        Self::default()
    }

    /// Looks at the servers of a model; returns those whose verdict changed, `true` for slow.
    pub fn look(&mut self, now: Moment, fleet: &Fleet, model: &str) -> Vec<(ServerKey, bool)> {
        let mut changed = Vec::new();
        for group in fleet.groups(model) {
            self.look_group(now, fleet, group, &mut changed);
        }
        self.slow.retain(|key, _| fleet.get(*key).is_some());
        self.counts.retain(|key, _| fleet.get(*key).is_some());
        changed
    }

    /// Tells whether a server counts as slow.
    pub fn is_slow(&self, key: ServerKey) -> bool {
        self.slow.get(&key).copied().unwrap_or(false)
    }

    fn look_group(
        &mut self,
        now: Moment,
        fleet: &Fleet,
        group: &Group,
        changed: &mut Vec<(ServerKey, bool)>,
    ) {
        let floor = |key: &ServerKey| {
            let live = fleet.get(*key)?.live();
            Some(live.step_us(now, 1.0))
        };
        let mut times: Vec<f32> = group.servers.iter().filter_map(floor).collect();
        times.sort_unstable_by(f32::total_cmp);
        let Some(&median) = times.get(times.len() / 2) else {
            return;
        };
        for key in &group.servers {
            let Some(time) = floor(key) else { continue };
            let was = self.is_slow(*key);
            let factor = if was { SOUND_FACTOR } else { SLOW_FACTOR };
            let is = time > median * factor;
            let count = self.counts.entry(*key).or_default();
            *count = if is == was { 0 } else { *count + 1 };
            if *count >= LOOKS {
                *count = 0;
                self.slow.insert(*key, is);
                changed.push((*key, is));
            }
        }
    }
}
