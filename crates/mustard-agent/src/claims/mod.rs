//! Calls with an idempotency key. For each key, the call runs at most once.
//!
//! An agent claims a key by writing a row that names itself as the claimant. The caller is the
//! process that sent the call, usually an entry process. A key is in doubt while its call may have
//! run and no result is known. To settle a key is to close it with a final state: done, if the
//! call ran, or void, if it did not run and never will.
//!
//! A claim row is written to the platform's table before the call is made, so no agent
//! repeats a call that may have run at another. The result is kept in memory, and written to the row
//! in the background after the caller has its answer. A key whose claimant recorded no result is
//! settled by the service's own record of the call or by an operator, or stays in doubt.
//!
//! Calls: `call` runs one call from its claim to its recorded answer, `send` sends a claimed call
//! to the service, `resolve` looks for the result of a claim made by another process or an earlier
//! call, `settle` closes a key as void or by an operator's decision, and `in_flight` lets repeated
//! calls join the running one.
//!
//! Rows: `row` is a claim row, `write` one conditional write of a row, `write_queue` the queue of
//! these writes, `writer` the task that takes them from the queue and commits many in one
//! transaction, and `sweep` deletes old rows. `restoration` holds calls back after the table was restored
//! from an older copy.

mod call;
mod in_flight;
mod key;
mod liveness;
mod resolve;
mod restoration;
mod row;
mod send;
mod settle;
mod sweep;
mod write;
mod write_queue;
mod writer;

pub use call::{ClaimLimits, Claims};
pub use liveness::{CallClients, Liveness, LivenessProbe};
pub use row::{ClaimState, StoredAnswer, reference, row_key};
pub use sweep::{ClaimSweeper, SweepReport};
pub use write::{Precondition, WriteOutcome};
pub use write_queue::{BatchOptions, WriteQueue};
pub use writer::Writer;

use mustard_proto::Refusal;

/// The result of an operation on claims; the error is sent to the caller.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The name of the table service in refusals.
const TABLE: &str = "table";
