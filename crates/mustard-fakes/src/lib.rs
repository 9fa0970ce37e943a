//! Small stand-ins for engines, plain services and the platform.
//!
//! The stand-ins keep ledgers of what they did, so that tests judge the system by them, and can
//! be told to be slow, down, to lose answers, to freeze and to die.

#![forbid(unsafe_code)]

pub mod digest;
pub mod engine;
pub mod errors;
pub mod fault;
pub mod memory;
pub mod platform;
pub mod reference;
pub mod serve;
pub mod service;
pub mod site;

pub use errors::{FakeError, Result};
