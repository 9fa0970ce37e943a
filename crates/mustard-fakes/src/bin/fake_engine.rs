//! Serves the stand-in for a model engine.

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
    serve::run_server(stand_in, listen).await?;
    Ok(())
}
