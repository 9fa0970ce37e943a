//! Prints the reference output of the stand-in model.

#![forbid(unsafe_code)]

use clap::Parser;
use mustard_fakes::reference;

/// Prints the expected tokens as the text that a caller receives.
#[derive(Debug, Parser)]
#[command(name = "fake-reference", about, version)]
struct Flags {
    /// The number of layers of the whole model.
    #[arg(long)]
    layers: u32,
    /// The prompt's token ids, separated by commas.
    #[arg(long, value_delimiter = ',')]
    prompt: Vec<u32>,
    /// The number of tokens to generate.
    #[arg(long)]
    tokens: usize,
}

fn main() {
    let flags = Flags::parse();
    let tokens = reference::expected_tokens(flags.layers, &flags.prompt, flags.tokens);
    let text: String = tokens.iter().map(|t| format!(" t{t}")).collect();
    println!("{text}");
}
