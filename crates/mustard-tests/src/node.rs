//! The processes of a VM: a backend server and its agent.

use mustard_core::ids::Layers;

use crate::child::Child;
use crate::errors::Result;

/// The processes of a VM: a backend server and its agent.
#[derive(Debug)]
pub struct Node {
    /// The backend server: an engine or a plain service.
    pub server: Child,
    /// The agent of the backend server.
    pub agent: Child,
    /// The layers that an engine holds; empty for a plain service.
    pub layers: Layers,
    pub(crate) settings: Vec<String>,
    pub(crate) domain: String,
}

impl Node {
    /// Kills the server and the agent, as a VM failure does.
    pub fn kill(&mut self) -> Result<()> {
        self.agent.kill()?;
        self.server.kill()
    }

    /// Returns the name of the VM.
    pub fn vm(&self) -> &str {
        self.agent.name()
    }
}

/// Selects a node of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRef {
    /// The stage at an index of [`Cluster::stages`](crate::Cluster::stages).
    Stage(usize),
    /// The plain service at an index of [`Cluster::services`](crate::Cluster::services).
    Service(usize),
}
