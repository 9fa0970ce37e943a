//! A simple tokenizer for prompts and answers: it maps words to token ids, and token ids to
//! printable text. Words can't be recovered from token ids.

/// The number of token ids; they start at zero.
pub const VOCABULARY_SIZE: u32 = 32_000;

const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// Returns the token ids of a text, one for each word; words are separated by white space.
///
/// A word maps to its 32 bit FNV-1a hash modulo [`VOCABULARY_SIZE`].
pub fn encode(text: &str) -> Vec<u32> {
    text.split_whitespace().map(encode_word).collect()
}

fn encode_word(word: &str) -> u32 {
    let hash_byte = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
    word.bytes().fold(FNV_OFFSET_BASIS, hash_byte) % VOCABULARY_SIZE
}

/// Returns the text of a token id: a space, the letter `t` and the id.
pub fn decode(token: u32) -> String {
    format!(" t{token}")
}
