//! Reads a message body up to its limit.

use std::time::Duration;

use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;
use tokio::time;

use mustard_net::server::MAX_MESSAGE;
use mustard_proto::Refusal;

/// The time for a whole body.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// Reads a whole body.
///
/// # Errors
///
/// [`Refusal::TooLarge`] above the limit, [`Refusal::Malformed`] if the body breaks off or comes
/// too slowly.
pub(super) async fn read(payload: Payload) -> Result<Bytes, Refusal> {
    let body = time::timeout(READ_LIMIT, collect(payload)).await;
    body.unwrap_or_else(|_| {
        let detail = "body came too slowly".to_owned();
        Err(Refusal::Malformed { detail })
    })
}

async fn collect(mut payload: Payload) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|e| Refusal::Malformed {
            detail: e.to_string(),
        })?;
        if body.len() + chunk.len() > MAX_MESSAGE {
            let limit = MAX_MESSAGE as u64;
            return Err(Refusal::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
