//! Reads message bodies with a limit on size and time.

use std::time::Duration;

use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;
use tokio::time;

use mustard_net::server::MAX_MESSAGE_BYTES;
use mustard_proto::Refusal;

/// A sender that needs longer for its body is refused, so that it doesn't hold the connection.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a whole body.
///
/// # Errors
///
/// [`Refusal::TooLarge`] above the size limit, [`Refusal::Malformed`] if the body is incomplete
/// or not received in time.
pub(super) async fn read_body(payload: Payload) -> Result<Bytes, Refusal> {
    let body = time::timeout(BODY_TIMEOUT, collect_chunks(payload)).await;
    body.unwrap_or_else(|_| {
        let detail = "body came too slowly".to_owned();
        Err(Refusal::Malformed { detail })
    })
}

async fn collect_chunks(mut payload: Payload) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|e| Refusal::Malformed {
            detail: e.to_string(),
        })?;
        if body.len() + chunk.len() > MAX_MESSAGE_BYTES {
            let limit = MAX_MESSAGE_BYTES as u64;
            return Err(Refusal::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
