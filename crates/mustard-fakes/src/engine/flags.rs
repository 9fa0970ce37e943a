//! Command-line flags of the engine.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::{Parser, ValueEnum};

use mustard_core::ids::Layers;

use crate::errors::{FakeError, Result};

/// The value of a flag that is on or off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Switch {
    /// Turned on.
    On,
    /// Turned off.
    Off,
}

/// A layer range as a flag's value, written `FIRST..END`; the end is excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerRange(pub Layers);

impl FromStr for LayerRange {
    type Err = FakeError;

    fn from_str(s: &str) -> Result<Self> {
        let bad = || FakeError::BadLayers(s.to_owned());
        let (first, end) = s.split_once("..").ok_or_else(bad)?;
        let first = first.parse().map_err(|_| bad())?;
        let end = end.parse().map_err(|_| bad())?;
        Ok(LayerRange(Layers::new(first, end)))
    }
}

/// Command-line flags of the engine.
#[derive(Clone, Debug, Parser)]
#[command(name = "fake-engine", about = "Stands in for a model engine")]
pub struct EngineFlags {
    /// The address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// The model loaded at start; empty for none.
    #[arg(long, default_value = "")]
    pub model: String,
    /// The version of the weights loaded at start.
    #[arg(long, default_value = "1")]
    pub version: String,
    /// The layers loaded at start, such as 0..8.
    #[arg(long, default_value = "0..0")]
    pub layers: LayerRange,
    /// The number of layers of the whole model.
    #[arg(long, default_value_t = 1)]
    pub total_layers: u32,
    /// The kind of accelerator to report.
    #[arg(long, default_value = "fake")]
    pub accelerator: String,
    /// Base time of a batch, in microseconds.
    #[arg(long, default_value_t = 200)]
    pub step_us: u64,
    /// Additional time of each prefilled position that isn't in the prefix cache, in microseconds.
    #[arg(long, default_value_t = 10)]
    pub position_us: u64,
    /// Maximum positions in a batch; a larger step runs in a batch of its own.
    #[arg(long, default_value_t = 2048)]
    pub batch_positions: usize,
    /// Maximum number of open sequences.
    #[arg(long, default_value_t = 256)]
    pub max_seqs: usize,
    /// Maximum positions of all open sequences together.
    #[arg(long, default_value_t = 1_000_000)]
    pub max_positions: usize,
    /// Capacity of the prefix cache, in blocks.
    #[arg(long, default_value_t = 1024)]
    pub prefix_blocks: usize,
    /// Whether to refuse orders with an outdated fencing number.
    #[arg(long, value_enum, default_value = "on")]
    pub fencing: Switch,
    /// A token that crashes the engine when it is part of a step's input; none if absent.
    #[arg(long)]
    pub poison: Option<u32>,
    /// The weight store to load layers from; without one, a load takes a fixed time.
    #[arg(long)]
    pub weights: Option<SocketAddr>,
    /// Time to load a layer without a weight store, in milliseconds.
    #[arg(long, default_value_t = 10)]
    pub layer_ms: u64,
    /// Age of the load report, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub load_lag_ms: u64,
    /// Delay until a cache event is published, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub event_lag_ms: u64,
    /// One in this many cache events is lost; zero for none.
    #[arg(long, default_value_t = 10)]
    pub event_loss: u32,
    /// Seed of the random loss of cache events.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
