//! Serves the stand-in for the platform's services.

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
    serve::run_server(stand_in, listen).await?;
    Ok(())
}
