//! Code shared by the daemons: MessagePack over HTTP, settings, logs, metrics and shutdown.

#![forbid(unsafe_code)]

pub mod accept;
mod chunked;
pub mod client;
pub mod client_body;
pub mod client_budget;
mod client_filter;
pub mod client_limits;
pub mod daemon;
pub mod errors;
pub mod forward;
pub mod http;
mod kept_connections;
pub mod log;
pub mod metric;
pub mod pieces;
pub mod problem;
pub mod process;
mod request_body;
mod response_head;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod supervise;
pub mod traffic;
mod undecoded;

pub use client::MessageClient;
pub use client_budget::ClientBudget;
pub use client_limits::{ClientLimits, Listener};
pub use errors::{CallError, Result};
pub use process::Process;
