//! Runs the stand-in `platform` as a process.

#![forbid(unsafe_code)]

use std::sync::Arc;

use clap::Parser;
use mustard_fakes::platform::{Platform, PlatformFlags};
use mustard_fakes::serve;

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let flags = PlatformFlags::parse();
    let listen = flags.listen;
    let stand_in = Arc::new(Platform::new(flags));
    serve::run(stand_in, listen).await?;
    Ok(())
}
