//! Calls with an idempotency key: each runs at most once.
//!
//! A claim row is written to the platform's table before the call is made, so a key that any
//! agent may have run is never run again. The result is kept in memory and written behind the
//! answer. A key whose claimant gave no result is settled by the service's own record or by an
//! operator, or stays in doubt.

mod call;
mod foreign;
mod in_flight;
mod keeper;
mod key;
mod liveness;
mod op;
mod row;
mod send;
mod settle;
mod sweep;
mod writer;

pub use call::{Bounds, Claims};
pub use keeper::{Keeper, Pace};
pub use liveness::{Life, Liveness, Ports};
pub use op::{Commit, Expect};
pub use row::{ClaimState, KeptAnswer, reference, row_key};
pub use sweep::{Sweeper, Swept};
pub use writer::Writer;

use mustard_proto::Refusal;

/// The result of operations on claims.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The name of the table in refusals.
const TABLE: &str = "table";
