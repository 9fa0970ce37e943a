//! A backend server with the agent beside it, as processes.

use mustard_core::ids::Layers;

use crate::child::Child;
use crate::errors::Result;

/// A backend server with the agent beside it.
#[derive(Debug)]
pub struct Node {
    /// The engine or the plain service.
    pub server: Child,
    /// The agent.
    pub agent: Child,
    /// The layers, for an engine.
    pub layers: Layers,
    pub(crate) settings: Vec<String>,
    pub(crate) domain: String,
}

impl Node {
    /// Ends the server and the agent at once, as when the VM dies.
    pub fn kill(&mut self) -> Result<()> {
        self.agent.kill()?;
        self.server.kill()
    }

    /// Returns the name of the VM.
    pub fn vm(&self) -> &str {
        self.agent.name()
    }
}

/// Names a node of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// A stage by its index.
    Stage(usize),
    /// A plain service by its index.
    Service(usize),
}
