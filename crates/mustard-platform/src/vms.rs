//! The platform's lagging list of VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// The program of ours that a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// An entry process.
    Entry,
    /// An agent beside a backend server.
    Agent,
}

/// The state of a VM as the list reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be stopped.
    Leaving,
    /// It is gone.
    Gone,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The unique name.
    pub name: String,
    /// What it runs.
    pub kind: VmKind,
    /// Where our process takes messages.
    pub addr: SocketAddr,
    /// The failure domain.
    pub domain: String,
    /// The state.
    pub state: VmState,
}

/// Changes of the list after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmChanges {
    /// The version of the list that includes these changes.
    pub version: u64,
    /// Each changed VM in its newest state.
    pub vms: Vec<Vm>,
}

/// The platform's list of VMs.
#[allow(async_fn_in_trait)]
pub trait VmList {
    /// Returns the VMs that changed after a version; version zero returns all.
    async fn changes(&self, after: u64) -> Result<VmChanges>;
}
