//! The agent: a daemon that runs beside one backend server.
//!
//! An attempt is one try to run a request through a chain of stages, each of which holds some
//! layers of a model. Beside a model engine the agent runs the steps of each attempt in order and
//! passes them on to the next stage. Beside a plain service it makes calls, and those with an
//! idempotency key at most once.

#![forbid(unsafe_code)]

pub mod background_tasks;
pub mod calls;
pub mod claims;
pub mod errors;
pub mod fence;
pub mod metric_names;
pub mod run;
pub mod server;
pub mod session;
pub mod settings;
pub mod shared;
pub mod stage;
pub mod worker;

pub use errors::{AgentError, Result};
