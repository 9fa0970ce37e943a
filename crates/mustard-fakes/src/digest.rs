//! The digest that stands for the arithmetic of a model.
//!
//! Every layer folds what it is fed into a state of its own, so that a layer that is skipped,
//! repeated or run out of order changes every later token.

/// The number of tokens of the model's vocabulary.
pub const VOCABULARY: u64 = 32_000;

const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// Folds a number into a state.
pub fn mix(state: u64, input: u64) -> u64 {
    let mut z = (state.rotate_left(23) ^ input).wrapping_add(GOLDEN);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the activation of a token before the first layer.
pub fn embed(token: u32) -> u64 {
    mix(GOLDEN, u64::from(token))
}

/// Runs one position through one layer: changes the layer's state and returns the activation.
pub fn run_layer(layer: u32, pos: u32, state: &mut u64, x: u64) -> u64 {
    let place = (u64::from(layer) << 32) | u64::from(pos);
    *state = mix(mix(*state, x), place);
    mix(*state, u64::from(layer))
}

/// Returns the token that the activation after the last layer stands for.
pub fn token(x: u64) -> u32 {
    (x % VOCABULARY) as u32
}
