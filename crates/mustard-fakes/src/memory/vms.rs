//! The list of VMs in memory, which can lag behind.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mustard_platform::errors::Result;
use mustard_platform::vms::{Vm, VmChanges, VmList};

use super::fault::FaultInjector;

const SERVICE_NAME: &str = "vms";

/// The list of VMs in memory; clones share it.
///
/// The lag is a number of changes: that many of the newest changes aren't reported until others
/// follow or the lag is reduced.
#[derive(Clone, Debug, Default)]
pub struct MemVms {
    list: Arc<Mutex<ChangeLog>>,
    faults: Arc<FaultInjector>,
}

#[derive(Debug, Default)]
struct ChangeLog {
    changes: Vec<Vm>,
    lag: usize,
}

impl ChangeLog {
    fn changes_after(&self, after: u64) -> VmChanges {
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

    /// Returns the faults to set and the call counts.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Adds a VM or replaces the VM of the same name.
    pub fn put(&self, vm: Vm) {
        self.lock().changes.push(vm);
    }

    /// Sets the lag: the number of newest changes to hide.
    pub fn set_lag(&self, changes: usize) {
        self.lock().lag = changes;
    }

    fn lock(&self) -> MutexGuard<'_, ChangeLog> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl VmList for MemVms {
    async fn changes(&self, after: u64) -> Result<VmChanges> {
        self.faults.begin_read(SERVICE_NAME).await?;
        Ok(self.lock().changes_after(after))
    }
}
