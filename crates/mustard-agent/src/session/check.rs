//! Checks of an opening against what the engine holds.

use mustard_core::ids::{Incarnation, Layers};
use mustard_proto::Refusal;
use mustard_proto::step::{Hop, Opening};

use super::Result;

const MAX_CHAIN: usize = 256;

/// Checks that a chain runs every layer once, in order, and that this stage holds its part.
///
/// # Errors
///
/// [`Refusal::Malformed`] for a chain that skips, repeats or reorders layers,
/// [`Refusal::NotHeld`] if the engine holds another model or other layers.
pub fn check_opening(
    opening: &Opening,
    stage: u32,
    life: Incarnation,
    model: &str,
    layers: Layers,
    total: u32,
) -> Result<()> {
    check_chain(&opening.chain)?;
    let hop = opening
        .chain
        .get(stage as usize)
        .ok_or_else(|| malformed(format!("chain has no stage {stage}")))?;
    if hop.incarnation != Incarnation(0) && hop.incarnation != life {
        return Err(Refusal::WrongIncarnation { current: life });
    }
    if opening.model != model || hop.layers != layers {
        let what = format!("{} {}", opening.model, hop.layers);
        return Err(Refusal::NotHeld { what });
    }
    match opening.chain.last() {
        Some(last) if last.layers.end == total => Ok(()),
        _ => Err(malformed(format!("chain does not end at layer {total}"))),
    }
}

fn check_chain(chain: &[Hop]) -> Result<()> {
    if chain.is_empty() || chain.len() > MAX_CHAIN {
        return Err(malformed(format!("chain has {} stages", chain.len())));
    }
    let mut next = 0;
    for hop in chain {
        if hop.layers.is_empty() || hop.layers.first != next {
            return Err(malformed(format!("layers {} do not follow", hop.layers)));
        }
        next = hop.layers.end;
    }
    Ok(())
}

fn malformed(detail: String) -> Refusal {
    Refusal::Malformed { detail }
}
