//! The reference output of the stand-in model, computed without servers.

use crate::digest::{embed, run_layer, token};

/// Generates the `n` tokens that follow a prompt, running every layer once per position, in order.
pub fn expected_tokens(total_layers: u32, prompt: &[u32], n: usize) -> Vec<u32> {
    let mut states = vec![0; total_layers as usize];
    let mut tokens = prompt.to_vec();
    let mut out = Vec::with_capacity(n);
    let mut pos = 0;
    while out.len() < n && pos < tokens.len() {
        let mut x = embed(tokens[pos]);
        for (layer, state) in states.iter_mut().enumerate() {
            x = run_layer(layer as u32, pos as u32, state, x);
        }
        pos += 1;
        if pos == tokens.len() {
            let next = token(x);
            out.push(next);
            tokens.push(next);
        }
    }
    out
}
