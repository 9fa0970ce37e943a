//! Steps of attempts: runs the engine, passes the step on, keeps the session in order.

mod abandon;
pub mod deaths;
mod failure;
mod order;
mod run;
mod step;

pub use order::order;
pub use step::{cancel, step};
