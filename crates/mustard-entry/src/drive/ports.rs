//! What the driver needs from outside, so that it runs without network and processes.

use std::time::Duration;

use mustard_core::ids::{Epoch, RequestId, Seq};
use mustard_net::CallError;
use mustard_proto::step::{Hop, Output, Step};

use crate::admit::Planned;

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
#[derive(Debug)]
pub struct Chain {
    /// The agents in layer order.
    pub hops: Vec<Hop>,
    /// Their names.
    pub names: Vec<String>,
    /// The prediction, and the count of the request at each stage.
    pub planned: Planned,
}

/// No chain exists at present.
#[derive(Clone, Copy, Debug)]
pub struct NoChain {
    /// When to come back.
    pub retry: Duration,
    /// Whether servers are only held by other requests that run apart, and come free again.
    pub held: bool,
}

/// Why no further attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Veto {
    /// The content of the request harms servers.
    Quarantined,
    /// The catalogue entry no longer allows the request.
    Revoked,
    /// The budget for retries is used up.
    Budget,
    /// The deadline passed while other suspects ran.
    Late,
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

    /// Takes in a finished step over a number of positions.
    fn learn(&self, chain: &Chain, positions: u32, took: Duration, output: &Output);

    /// Takes in why a step failed at an agent.
    fn blame(&self, agent: &str, error: &CallError);

    /// Waits until an attempt may be made.
    ///
    /// # Errors
    ///
    /// Returns why none may be made.
    async fn allow(&self) -> std::result::Result<(), Veto>;

    /// Takes in that tokens were delivered; tells whether the rest can still come in time.
    fn on_time(&self, delivered: u32) -> bool;

    /// Waits until a catalogue change is in force here; tells whether it is.
    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool;
}

/// Takes the tokens of a draft in order.
pub trait Deliver {
    /// Takes the next token.
    fn deliver(&mut self, token: u32);
}
