//! Model engines and plain services as an agent sees them: traits, types and HTTP clients.

#![forbid(unsafe_code)]

pub mod engine;
pub mod errors;
pub mod http;
pub mod service;

pub use errors::{BackendError, Result};
