//! What the driver needs from outside, so that it runs without network and processes.

use std::time::Duration;

use mustard_core::ids::{Epoch, RequestId, Seq};
use mustard_net::CallError;
use mustard_proto::step::{Hop, Output, Step};

/// What a chain must serve.
#[derive(Clone, Debug)]
pub struct Want {
    /// The model.
    pub model: String,
    /// The layers that every token must cross.
    pub layers: u32,
    /// The positions of the first step.
    pub positions: u32,
    /// Agents under suspicion, by name.
    pub avoid: Vec<String>,
}

/// Agents that together hold every layer once.
#[derive(Clone, Debug)]
pub struct Chain {
    /// The agents in layer order.
    pub hops: Vec<Hop>,
    /// Their names.
    pub names: Vec<String>,
}

/// No chain exists at present.
#[derive(Clone, Copy, Debug)]
pub struct NoChain {
    /// When to come back.
    pub retry: Duration,
}

/// The driver's way to agents, decisions and the catalogue.
#[allow(async_fn_in_trait)]
pub trait Ports {
    /// Chooses a chain.
    ///
    /// # Errors
    ///
    /// Returns when to come back if the agents known do not hold every layer.
    fn choose(&self, want: &Want) -> std::result::Result<Chain, NoChain>;

    /// Sends a step to the first agent of a chain and waits for the token.
    async fn step(
        &self,
        chain: &Chain,
        step: Step,
        limit: Duration,
    ) -> std::result::Result<Output, CallError>;

    /// Returns the names of a chain's agents that do not answer at once.
    async fn probe(&self, chain: &Chain) -> Vec<String>;

    /// Ends an attempt at every agent of its chain, without waiting.
    fn cancel(&self, chain: &Chain, request: RequestId, epoch: Epoch);

    /// Takes in what became of a step, by the agent that it is owed to.
    fn report(&self, agent: &str, failure: Option<&CallError>);

    /// Waits until a catalogue change is in force here; tells whether it is.
    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool;
}

/// Takes the tokens of a draft in order.
pub trait Deliver {
    /// Takes the next token.
    fn deliver(&mut self, token: u32);
}
