//! Reads message bodies with a limit on size, time and what is held for all clients.

use std::time::Duration;

use ntex::web::types::Payload;
use tokio::time;

use mustard_net::client_body::{self, BodyError, ClientBody};
use mustard_net::server::MAX_MESSAGE_BYTES;
use mustard_proto::Refusal;

use crate::worker::Worker;

/// A sender that needs longer for its body is refused, so that it doesn't hold the connection.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a sender should wait if there is no room for its body, in milliseconds.
const ROOM_RETRY_MS: u64 = 1_000;

/// Reads a whole body.
///
/// # Errors
///
/// [`Refusal::TooLarge`] above the size limit, [`Refusal::Malformed`] if the body is incomplete
/// or not received in time, [`Refusal::Busy`] if there is no room for it.
pub(super) async fn read_body(
    worker: &Worker,
    mut payload: Payload,
) -> Result<ClientBody, Refusal> {
    let malformed = |detail: &str| Refusal::Malformed {
        detail: detail.to_owned(),
    };
    let reading = client_body::read_body(&worker.clients, &mut payload, MAX_MESSAGE_BYTES);
    let Ok(body) = time::timeout(BODY_TIMEOUT, reading).await else {
        return Err(malformed("body came too slowly"));
    };
    body.map_err(|error| match error {
        BodyError::TooLarge => Refusal::TooLarge {
            limit: MAX_MESSAGE_BYTES as u64,
        },
        BodyError::Broken => malformed("body is not whole"),
        BodyError::Stalled => malformed("body stalled"),
        BodyError::NoRoom => Refusal::Busy {
            retry_ms: ROOM_RETRY_MS,
        },
    })
}
