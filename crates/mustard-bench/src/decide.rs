//! The `decide` command.

/// Arguments of `decide`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    println!("{}", args.seed);
    Ok(())
}
