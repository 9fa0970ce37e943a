//! Admission: which requests run now, wait or are refused.
//!
//! One [`Admission`] holds the requests of one model at one entry process. A request is refused
//! as soon as it can't be answered whole before its deadline, and waits only as long as that
//! holds. Customers take turns by their shares; within a customer the class goes first, then
//! the deadline. The prediction of a request's end learns from the requests that ended.

mod customer;
mod predict;
mod queue;
mod types;
mod window;

pub use queue::Admission;
pub use types::{Ask, Decision, Forecast, Progress, Reason, Refusal, Result, Settings, Ticket};
