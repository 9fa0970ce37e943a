//! The interfaces through which the driver reaches agents, policies and the catalogue (as in
//! "ports and adapters"), so that tests run it without a network.

use std::time::Duration;

use mustard_core::ids::{Epoch, RequestId, Seq};
use mustard_net::CallError;
use mustard_proto::step::{ChainStage, Output, Step};

use crate::admission::ChainPlan;

/// What a chain must be able to run.
#[derive(Clone, Debug)]
pub struct ChainRequest {
    /// The model.
    pub model: String,
    /// The number of layers of the model.
    pub layers: u32,
    /// The positions of the prefill with which the attempt begins.
    pub positions: u32,
    /// The names of agents that failed under this request and are not to be used.
    pub avoid: Vec<String>,
}

/// Agents that together hold every layer of a model exactly once; each of them is one stage.
#[derive(Debug)]
pub struct Chain {
    /// The agents in layer order.
    pub hops: Vec<ChainStage>,
    /// The names of their VMs, in the same order.
    pub names: Vec<String>,
    /// The predicted times, and the guards that count the request as in flight at each stage.
    pub plan: ChainPlan,
}

/// No chain can be chosen now.
#[derive(Clone, Copy, Debug)]
pub struct NoChain {
    /// How long the caller should wait before it retries.
    pub retry: Duration,
    /// Whether servers exist but are occupied by requests with other suspect contents, so that they
    /// become free again.
    pub occupied: bool,
}

/// Why no further attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDenial {
    /// The content of the request is quarantined.
    Quarantined,
    /// The catalogue entry no longer allows the request.
    Revoked,
    /// The retry budget of this process is used up.
    Budget,
    /// The deadline passed while the request waited for requests with other suspect contents to
    /// end.
    DeadlinePassed,
}

/// What the driver needs from its environment.
#[allow(async_fn_in_trait)]
pub trait Ports {
    /// Chooses a chain.
    ///
    /// # Errors
    ///
    /// Returns when to retry if the usable agents don't together hold every layer.
    fn choose_chain(&self, chain_request: &ChainRequest) -> std::result::Result<Chain, NoChain>;

    /// Sends a step to the first agent of a chain and waits for the token.
    async fn run_step(
        &self,
        chain: &Chain,
        step: Step,
        limit: Duration,
    ) -> std::result::Result<Output, CallError>;

    /// Returns the names of the agents of a chain that don't answer a heartbeat in time.
    async fn probe_agents(&self, chain: &Chain) -> Vec<String>;

    /// Cancels an attempt at every agent of its chain in the background.
    fn cancel_attempt(&self, chain: &Chain, request: RequestId, epoch: Epoch);

    /// Records the time and the load reports of a finished step over `positions` positions.
    fn record_step(&self, chain: &Chain, positions: u32, took: Duration, output: &Output);

    /// Reports that a step failed at an agent.
    fn report_failure(&self, agent: &str, error: &CallError);

    /// Waits until an attempt may be made.
    ///
    /// # Errors
    ///
    /// Returns why no further attempt may be made.
    async fn permit_attempt(&self) -> std::result::Result<(), AttemptDenial>;

    /// Records the tokens delivered so far; returns whether the rest can meet the deadline.
    fn record_progress(&self, delivered: u32) -> bool;

    /// Waits until a catalogue change is in force in this process; returns `false` if `limit`
    /// passes first.
    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool;
}

/// Receives the generated tokens in order.
pub trait TokenSink {
    /// Receives the next token.
    fn push_token(&mut self, token: u32);
}
