//! The command line client for operators, `mustardctl`.

#![forbid(unsafe_code)]

pub mod catalogue_file;
pub mod check_file;
pub mod cli;
pub mod client;
pub mod commands;
pub mod errors;
pub mod output;
pub mod plan;
pub mod trace;

pub use errors::{CtlError, Result};
