//! Fencing numbers of orders: an order below the highest number seen is refused.
//!
//! The highest number is kept in the platform's table, so that a restarted agent knows it. No
//! order is taken before the number has been read, and none is carried out before its own number
//! has been written.

mod watermark;

pub use watermark::{Watermark, row_key};

use mustard_proto::Refusal;

/// The result of operations on fencing numbers.
pub type Result<T> = std::result::Result<T, Refusal>;
