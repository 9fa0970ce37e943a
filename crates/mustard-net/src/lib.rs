//! Code shared by the daemons: MessagePack over HTTP, settings, logs, metrics and shutdown.

#![forbid(unsafe_code)]

mod chunked;
pub mod client;
pub mod daemon;
pub mod errors;
pub mod forward;
pub mod http;
pub mod log;
pub mod metric;
pub mod problem;
pub mod process;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod supervise;
pub mod traffic;

pub use client::MessageClient;
pub use errors::{CallError, Result};
pub use process::Process;
