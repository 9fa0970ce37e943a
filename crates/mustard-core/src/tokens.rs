//! The vocabulary of the interface: words to token ids and back.

/// The number of token ids.
pub const VOCABULARY: u32 = 32_000;

const HASH_BASIS: u32 = 0x811c_9dc5;
const HASH_PRIME: u32 = 0x0100_0193;

/// Returns the token ids of a text, one for each word between white space.
///
/// A word maps to its 32 bit FNV-1a hash modulo [`VOCABULARY`].
pub fn encode(text: &str) -> Vec<u32> {
    text.split_whitespace().map(encode_word).collect()
}

fn encode_word(word: &str) -> u32 {
    let mix = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(HASH_PRIME);
    word.bytes().fold(HASH_BASIS, mix) % VOCABULARY
}

/// Returns the text of a token id: a space, the letter `t` and the number.
pub fn decode(token: u32) -> String {
    format!(" t{token}")
}
