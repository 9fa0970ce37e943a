//! Reads the bodies of requests into the budget of what is held for clients.

use std::rc::Rc;

use ntex::http::error::PayloadError;
use ntex::util::{Bytes, Stream, stream_recv};

use crate::client_budget::{BodyGuard, ClientBudget, Exhausted};
use crate::pieces::Pieces;

/// The result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It ended early, or is not framed as it should be.
    Broken,
    /// Others need the room that it takes while it makes no progress.
    Stalled,
    /// There is no room for it.
    NoRoom,
}

/// A complete body, counted in the budget until it is dropped.
#[derive(Debug)]
pub struct ClientBody {
    /// The bytes.
    pub bytes: Bytes,
    /// Counts the bytes.
    pub guard: BodyGuard,
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body isn't complete, too large, or the budget is exhausted.
pub async fn read_body<P>(
    budget: &Rc<ClientBudget>,
    payload: &mut P,
    limit: usize,
) -> Result<ClientBody>
where
    P: Stream<Item = std::result::Result<Bytes, PayloadError>> + Unpin,
{
    let mut guard = budget.begin_body();
    let mut pieces = Pieces::default();
    loop {
        let chunk = tokio::select! {
            biased;
            () = guard.evicted() => return Err(BodyError::Stalled),
            chunk = stream_recv(payload) => chunk,
        };
        let Some(chunk) = chunk else {
            break;
        };
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if pieces.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        guard.grow(chunk.len())?;
        pieces.push(&chunk);
    }
    guard.complete()?;
    Ok(ClientBody {
        bytes: pieces.join(),
        guard,
    })
}

impl From<Exhausted> for BodyError {
    fn from(_: Exhausted) -> Self {
        BodyError::NoRoom
    }
}
