//! Fencing tokens of orders: an order below the highest token seen is refused.
//!
//! Each new holder of the lease to give orders gets a higher fencing token, so an order of an
//! earlier holder that arrives late is recognized. The watermark is the highest token accepted.
//! The highest number is stored in the platform's table, so that a restarted agent knows it. No
//! order is accepted before the stored number has been read, and none is carried out before its own
//! number has been written.

mod watermark;

pub use watermark::{Watermark, row_key};

use mustard_proto::Refusal;

/// The result of an operation on fencing tokens; the error is sent to whoever gave the order.
pub type Result<T> = std::result::Result<T, Refusal>;
