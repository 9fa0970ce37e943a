//! Admission control: decides which requests run now, wait or are refused.
//!
//! One [`Admission`] holds the requests of one model at one entry process. A request is refused as
//! soon as it can't be answered completely before its deadline any more. Customers are served by
//! weighted fair queuing over their shares; the requests of one customer go by class, then by
//! deadline. The prediction of a request's end is corrected by the times that finished requests
//! took.
//!
//! [`waiting`] is the queue of a gateway for streams that find no path.

mod concurrency;
mod customer;
mod predictor;
mod queue;
mod types;
pub mod waiting;

pub use queue::Admission;
pub use types::{Decision, Forecast, Offer, Progress, Reason, Refusal, Result, Settings, Ticket};
