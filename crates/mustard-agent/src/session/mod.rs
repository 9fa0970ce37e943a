//! The sessions of a stage as a state machine without I/O.
//!
//! A session is one attempt at one request at this stage. It takes positions in order, keeps its
//! last output for a repeated step, and ends by cancellation, by a newer attempt, by its deadline
//! or after a long silence. Every ended attempt leaves a tombstone, so that a late step of it is
//! refused.

mod attempt;
mod check;
mod table;
mod tombstones;
mod work;

pub use attempt::{Closed, Ended, Ticket};
pub use check::check_opening;
pub use table::{Begin, Limits, Sessions};
pub use work::{Onward, Work};

use mustard_proto::Refusal;

/// The result of operations on sessions.
pub type Result<T> = std::result::Result<T, Refusal>;
