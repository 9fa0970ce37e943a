//! The lagging list of VMs in memory.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mustard_platform::errors::Result;
use mustard_platform::vms::{Vm, VmChanges, VmList};

use super::fault::Switches;

const SERVICE: &str = "vms";

/// The list of VMs in memory; clones share it.
///
/// The lag is a number of changes: the newest ones are not reported until more follow or the
/// lag is lowered.
#[derive(Clone, Debug, Default)]
pub struct MemVms {
    list: Arc<Mutex<List>>,
    switches: Arc<Switches>,
}

#[derive(Debug, Default)]
struct List {
    changes: Vec<Vm>,
    lag: usize,
}

impl List {
    fn after(&self, after: u64) -> VmChanges {
        let visible = self.changes.len().saturating_sub(self.lag);
        let first = usize::try_from(after).map_or(visible, |n| n.min(visible));
        let mut vms: Vec<Vm> = Vec::new();
        for vm in &self.changes[first..visible] {
            vms.retain(|v| v.name != vm.name);
            vms.push(vm.clone());
        }
        VmChanges {
            version: visible as u64,
            vms,
        }
    }
}

impl MemVms {
    /// Creates an empty list without a lag.
    pub fn new() -> Self {
        MemVms::default()
    }

    /// Returns the switches and counters.
    pub fn switches(&self) -> &Switches {
        &self.switches
    }

    /// Adds a VM or changes its state.
    pub fn put(&self, vm: Vm) {
        self.lock().changes.push(vm);
    }

    /// Hides the newest changes.
    pub fn set_lag(&self, changes: usize) {
        self.lock().lag = changes;
    }

    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VmList for MemVms {
    async fn changes(&self, after: u64) -> Result<VmChanges> {
        self.switches.read(SERVICE).await?;
        Ok(self.lock().after(after))
    }
}
