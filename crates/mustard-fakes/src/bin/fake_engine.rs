//! Runs the stand-in `engine` as a process.

#![forbid(unsafe_code)]

use std::sync::Arc;

use clap::Parser;
use mustard_fakes::engine::{Engine, EngineFlags};
use mustard_fakes::serve;

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let flags = EngineFlags::parse();
    let listen = flags.listen;
    let stand_in = Arc::new(Engine::new(flags));
    serve::run(stand_in, listen).await?;
    Ok(())
}
