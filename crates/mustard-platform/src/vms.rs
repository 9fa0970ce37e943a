//! The platform's list of VMs, which lags behind their actual state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// The program of this project that a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// An entry process.
    Entry,
    /// The agent of a backend server.
    Agent,
}

/// The state of a VM as the list reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform will stop the VM.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The unique name.
    pub name: String,
    /// The program that it runs.
    pub kind: VmKind,
    /// The address at which that program receives messages.
    pub addr: SocketAddr,
    /// The failure domain of the VM.
    pub domain: String,
    /// The state last reported.
    pub state: VmState,
}

/// The changes of the list since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmChanges {
    /// The version of the list that includes these changes.
    pub version: u64,
    /// The changed VMs, each once and in its newest state.
    pub vms: Vec<Vm>,
}

/// A client of the platform's list of VMs.
#[allow(async_fn_in_trait)]
pub trait VmList {
    /// Returns the VMs that changed after version `after`; zero returns all VMs.
    async fn changes(&self, after: u64) -> Result<VmChanges>;
}
