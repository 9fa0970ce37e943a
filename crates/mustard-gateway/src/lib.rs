//! The gateway: takes callers' requests before servers that drive their own pipelines.
//!
//! One thread serves callers, follows the platform's store and watches the streams, so that what
//! they share needs no lock.

#![forbid(unsafe_code)]

pub mod app;
pub mod errors;
pub mod fleet;
pub mod flights;
pub mod forward;
pub mod journal;
pub mod metric;
pub mod peers;
pub mod placement;
pub mod serve;
pub mod store_watch;
pub mod stream_watch;

pub use errors::{GatewayError, Result};
