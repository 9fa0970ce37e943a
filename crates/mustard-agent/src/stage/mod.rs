//! Steps of attempts: runs the engine, passes the step on, keeps the session in order.

mod abandon;
pub mod deaths;
mod step;

pub use step::{cancel, step};
