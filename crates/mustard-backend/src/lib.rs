//! Model engines and plain services as an agent calls them: traits, types and an HTTP client.

#![forbid(unsafe_code)]

pub mod engine;
pub mod errors;
pub mod http;
pub mod service;

pub use errors::{BackendError, Result};
