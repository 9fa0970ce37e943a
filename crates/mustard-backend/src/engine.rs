//! The interface of a model engine that holds a range of layers.

use serde::{Deserialize, Serialize};

use mustard_core::ids::{Epoch, Fence, Layers, RequestId};
use mustard_proto::agent::Load;
use mustard_proto::step::Input;

use crate::errors::Result;

/// Identifies a sequence at an engine: one attempt at one request.
///
/// Each attempt has a sequence of its own, so a late step of a superseded attempt never
/// changes the state of its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SeqId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt; a later attempt has a higher one.
    pub epoch: Epoch,
}

impl std::fmt::Display for SeqId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.request, self.epoch)
    }
}

/// A request to run positions of a sequence through the engine's layers.
///
/// A step at position zero opens the sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// The model that the engine must hold.
    pub model: String,
    /// The position of the first element of the input.
    pub pos: u32,
    /// The priority in the engine's queue; higher goes first.
    pub priority: u8,
    /// Tokens if the engine holds the first layer, otherwise activations.
    pub input: Input,
}

/// The output of the engine's layers for a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepOutput {
    /// Activations for the next layer, one per position.
    #[serde(rename = "Acts")]
    Activations(Vec<u64>),
    /// The token after the last position, if the engine holds the last layer.
    Token(u32),
}

/// The model and layers that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedLayers {
    /// The model; empty if none is loaded.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The range of layers.
    pub layers: Layers,
    /// The number of layers of the whole model.
    pub total: u32,
    /// The kind of accelerator.
    pub accelerator: String,
    /// The fencing token of the last order; `None` if the engine ignores the tokens.
    pub fence: Option<Fence>,
}

/// An order to load layers of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The fencing token; an engine refuses an order with a lower one than it has seen.
    pub fence: Fence,
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The range of layers.
    pub layers: Layers,
}

/// The exported key-value cache of a sequence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCache {
    /// The next position of the sequence.
    pub pos: u32,
    /// The state of each layer that the engine holds, in order.
    pub state: Vec<u64>,
}

/// A model engine.
#[allow(async_fn_in_trait)]
pub trait Engine {
    /// Runs a step. The engine answers when the batch with the step has run.
    async fn step(&self, seq: SeqId, body: StepRequest, limit_ms: u64) -> Result<StepOutput>;

    /// Ends a sequence and frees its memory.
    async fn cancel(&self, seq: SeqId) -> Result<()>;

    /// Exports the key-value cache of a sequence.
    async fn export(&self, seq: SeqId) -> Result<KvCache>;

    /// Opens a sequence from an exported key-value cache.
    async fn import(&self, seq: SeqId, cache: KvCache) -> Result<()>;

    /// Returns the load of the engine, which may be out of date.
    async fn load(&self) -> Result<Load>;

    /// Returns the model and layers that the engine holds.
    async fn loaded_layers(&self) -> Result<LoadedLayers>;

    /// Orders the engine to load layers. The engine answers when it holds them.
    async fn load_layers(&self, order: LoadOrder) -> Result<LoadedLayers>;
}
