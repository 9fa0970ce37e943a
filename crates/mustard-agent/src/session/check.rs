//! Validation of a chain against the model and layers that the engine holds.

use mustard_core::ids::{Incarnation, Layers};
use mustard_proto::Refusal;
use mustard_proto::step::{AttemptParams, ChainStage};

use super::Result;

/// The longest chain that is checked; the sender may be faulty, so its length is bounded.
const MAX_STAGES: usize = 256;

/// Checks that a chain runs every layer once, in order, and that this stage holds its layers.
///
/// `stage` is the index of this agent in the chain. `model`, `layers` and `total` (the number of
/// layers of the whole model) describe what its engine holds.
///
/// # Errors
///
/// [`Refusal::Malformed`] for a chain that skips, repeats or reorders layers,
/// [`Refusal::WrongIncarnation`] if it was built for another process at this address,
/// [`Refusal::NotHeld`] if the engine holds another model or other layers.
pub fn check_params(
    params: &AttemptParams,
    stage: u32,
    incarnation: Incarnation,
    model: &str,
    layers: Layers,
    total: u32,
) -> Result<()> {
    check_chain(&params.chain)?;
    let chain_stage = params
        .chain
        .get(stage as usize)
        .ok_or_else(|| malformed(format!("chain has no stage {stage}")))?;
    if chain_stage.incarnation != Incarnation(0) && chain_stage.incarnation != incarnation {
        return Err(Refusal::WrongIncarnation {
            current: incarnation,
        });
    }
    if params.model != model || chain_stage.layers != layers {
        let what = format!("{} {}", params.model, chain_stage.layers);
        return Err(Refusal::NotHeld { what });
    }
    match params.chain.last() {
        Some(last) if last.layers.end == total => Ok(()),
        _ => Err(malformed(format!("chain does not end at layer {total}"))),
    }
}

fn check_chain(chain: &[ChainStage]) -> Result<()> {
    if chain.is_empty() || chain.len() > MAX_STAGES {
        return Err(malformed(format!("chain has {} stages", chain.len())));
    }
    let mut next_layer = 0;
    for chain_stage in chain {
        if chain_stage.layers.is_empty() || chain_stage.layers.first != next_layer {
            return Err(malformed(format!(
                "layers {} do not follow",
                chain_stage.layers
            )));
        }
        next_layer = chain_stage.layers.end;
    }
    Ok(())
}

fn malformed(detail: String) -> Refusal {
    Refusal::Malformed { detail }
}
