//! The list of VMs, which shows each change after a delay.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mustard_platform::vms::{Vm, VmChanges};

/// The changes of the list of VMs; each becomes visible once it is older than the lag.
#[derive(Debug)]
pub(super) struct LaggingVms {
    lag: Duration,
    changes: Mutex<Vec<(Instant, Vm)>>,
}

impl LaggingVms {
    pub(super) fn new(lag: Duration) -> Self {
        LaggingVms {
            lag,
            changes: Mutex::default(),
        }
    }

    /// Records a new VM or a new state of a VM.
    pub(super) fn add_change(&self, vm: Vm) {
        self.lock().push((Instant::now(), vm));
    }

    /// Returns the newest visible state of each VM that changed after a version.
    pub(super) fn changes_after(&self, after: u64) -> VmChanges {
        let changes = self.lock();
        let visible = changes
            .iter()
            .take_while(|(at, _)| at.elapsed() >= self.lag)
            .count();
        let first = usize::try_from(after).map_or(visible, |n| n.min(visible));
        let mut vms: Vec<Vm> = Vec::new();
        for (_, vm) in &changes[first..visible] {
            vms.retain(|v| v.name != vm.name);
            vms.push(vm.clone());
        }
        VmChanges {
            version: visible as u64,
            vms,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Instant, Vm)>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
