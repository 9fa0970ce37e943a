//! Serves the stand-in for a booking service.

#![forbid(unsafe_code)]

use std::sync::Arc;

use clap::Parser;
use mustard_fakes::serve;
use mustard_fakes::service::{Service, ServiceFlags};

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let flags = ServiceFlags::parse();
    let listen = flags.listen;
    let stand_in = Arc::new(Service::new(flags));
    serve::run_server(stand_in, listen).await?;
    Ok(())
}
