//! Execution at a stage: steps on the engine and onwards through the chain, orders to load layers.

pub mod deaths;
mod failure;
mod guard;
mod order;
mod run;
mod step;

pub use order::execute_order;
pub use step::{cancel_attempts, run_step};
