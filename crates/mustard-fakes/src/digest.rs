//! The hash function that replaces the arithmetic of a model.
//!
//! Every layer hashes its inputs into a state of its own, so that a layer that is skipped,
//! repeated or run out of order changes every later token.

/// The size of the model's vocabulary, in tokens.
pub const VOCABULARY: u64 = 32_000;

/// 2^64 divided by the golden ratio, the increment of SplitMix64.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes a number into a state, with the finalizer of SplitMix64.
pub fn mix_hash(state: u64, input: u64) -> u64 {
    let mut z = (state.rotate_left(23) ^ input).wrapping_add(GOLDEN_RATIO);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the embedding of a token: the activation that enters the first layer.
pub fn embed(token: u32) -> u64 {
    mix_hash(GOLDEN_RATIO, u64::from(token))
}

/// Runs one position through one layer: updates the layer's state and returns the activation
/// that leaves the layer.
pub fn run_layer(layer: u32, pos: u32, state: &mut u64, x: u64) -> u64 {
    let coordinates = (u64::from(layer) << 32) | u64::from(pos);
    *state = mix_hash(mix_hash(*state, x), coordinates);
    mix_hash(*state, u64::from(layer))
}

/// Decodes the activation that leaves the last layer into a token.
pub fn token(x: u64) -> u32 {
    (x % VOCABULARY) as u32
}
