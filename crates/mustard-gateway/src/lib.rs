//! The gateway: takes requests from callers and forwards them to backend servers that run their
//! own model pipelines.
//!
//! One thread serves callers, follows the platform's store and watches the streams, so that their
//! shared state needs no lock.

#![forbid(unsafe_code)]

pub mod active_streams;
mod address_watch;
pub mod app;
pub mod crossing_share;
pub mod errors;
pub mod evidence;
pub mod fleet;
pub mod forward;
pub mod limits;
pub mod log_limit;
pub mod metric;
mod moves;
pub mod outliers;
pub mod own_rows;
pub mod peer_codec;
pub mod peers;
pub mod placement;
pub mod quiet_servers;
pub mod retry_budget;
pub mod serve;
pub mod server_load;
pub mod server_probe;
pub mod store_watch;
pub mod stream_watch;
pub mod strike_news;
pub mod strikes;

pub use errors::{GatewayError, Result};
