//! The operators' command line client.

#![forbid(unsafe_code)]

pub mod cli;
pub mod client;
pub mod commands;
pub mod errors;
pub mod file;
pub mod output;
pub mod plan;
pub mod story;

pub use errors::{CtlError, Result};
