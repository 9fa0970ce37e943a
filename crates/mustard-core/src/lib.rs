//! Common types of mustardfield: identifiers, clocks, events, errors and the catalogue aggregate.
//!
//! This crate performs no I/O. It defines the types that the policy, the messages and the daemons
//! share.

#![forbid(unsafe_code)]

pub mod arena;
pub mod catalogue;
pub mod check;
pub mod clock;
pub mod collections;
pub mod deployment;
pub mod errors;
pub mod event;
pub mod fingerprint;
pub mod hlc;
pub mod ids;
pub mod outcome;
pub mod tokens;
mod u128_serde;
