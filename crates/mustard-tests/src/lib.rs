//! Runs the real programs as processes on loopback, for end-to-end tests.
//!
//! A [`Cluster`] starts the platform's stand-in, engines, plain services, agents and entries
//! on ports chosen by the operating system, and kills them when it is dropped.

#![forbid(unsafe_code)]

pub mod bad_answers;
pub mod caller;
pub mod child;
pub mod cluster;
pub mod errors;
pub mod golden;
pub mod http;
pub mod kept;
pub mod node;
pub mod operator;
pub mod plan;
pub mod ports;
pub mod recovery;
pub mod site_soak;
pub mod soak;
pub mod upload;
pub mod wait;

pub use caller::Caller;
pub use cluster::Cluster;
pub use errors::{Result, TestError};
pub use operator::Operator;
pub use plan::Plan;
pub use wait::wait_for;
