//! Fencing numbers of orders: an order below the highest number seen is refused.
//!
//! Each new holder of the lease to give orders gets a higher fencing number, so an order of an
//! earlier holder that arrives late is recognized. The watermark is the highest number accepted.
//! The highest number is stored in the platform's table, so that a restarted agent knows it. No
//! order is accepted before the stored number has been read, and none is carried out before its own
//! number has been written.

mod watermark;

pub use watermark::{Watermark, row_key};

use mustard_proto::Refusal;

/// The result of an operation on fencing numbers; the error is sent to whoever gave the order.
pub type Result<T> = std::result::Result<T, Refusal>;
