//! The flags of the engine.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::{Parser, ValueEnum};

use mustard_core::ids::Layers;

use crate::errors::{FakeError, Result};

/// Whether the engine does something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Switch {
    /// It does.
    On,
    /// It does not.
    Off,
}

/// A range of layers on the command line.
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

/// The flags of the engine.
#[derive(Clone, Debug, Parser)]
#[command(name = "fake-engine", about = "Stands in for a model engine")]
pub struct EngineFlags {
    /// Where to listen.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// The model held at start; empty for none.
    #[arg(long, default_value = "")]
    pub model: String,
    /// The version of the weights held at start.
    #[arg(long, default_value = "1")]
    pub version: String,
    /// The layers held at start, such as 0..8.
    #[arg(long, default_value = "0..0")]
    pub layers: LayerRange,
    /// The number of layers of the whole model.
    #[arg(long, default_value_t = 1)]
    pub total_layers: u32,
    /// The kind of accelerator.
    #[arg(long, default_value = "fake")]
    pub accelerator: String,
    /// Time of a batch, in microseconds.
    #[arg(long, default_value_t = 200)]
    pub step_us: u64,
    /// Time of each prefilled position that is not in the prefix cache, in microseconds.
    #[arg(long, default_value_t = 10)]
    pub position_us: u64,
    /// Positions that one batch takes at most, but for a single larger step.
    #[arg(long, default_value_t = 2048)]
    pub batch_positions: usize,
    /// Sequences that fit into the memory.
    #[arg(long, default_value_t = 256)]
    pub max_seqs: usize,
    /// Positions of all sequences that fit into the memory.
    #[arg(long, default_value_t = 1_000_000)]
    pub max_positions: usize,
    /// Blocks of the prefix cache.
    #[arg(long, default_value_t = 1024)]
    pub prefix_blocks: usize,
    /// Whether orders with an old fencing number are refused.
    #[arg(long, value_enum, default_value = "on")]
    pub fencing: Switch,
    /// The token that kills the engine.
    #[arg(long)]
    pub poison: Option<u32>,
    /// The weight store that layers are loaded from.
    #[arg(long)]
    pub weights: Option<SocketAddr>,
    /// Time to load one layer without a weight store, in milliseconds.
    #[arg(long, default_value_t = 10)]
    pub layer_ms: u64,
    /// The age of the load that is reported, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub load_lag_ms: u64,
    /// The age of cache events when they are published, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub event_lag_ms: u64,
    /// One of so many cache events is lost; zero for none.
    #[arg(long, default_value_t = 10)]
    pub event_loss: u32,
    /// The seed of the losses.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
