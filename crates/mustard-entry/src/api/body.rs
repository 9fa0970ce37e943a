//! Reading of request bodies under limits on size and time.

use std::time::Duration;

use ntex::util::{BytesMut, stream_recv};
use ntex::web::types::Payload;
use tokio::time::timeout;

use super::errors::{ApiError, Result};

/// How much of a body that is too large is read and thrown away.
const MAX_DISCARD_BYTES: usize = 16 * 1024 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a whole body.
///
/// # Errors
///
/// Returns an error if the body is too large, too slow or incomplete.
pub async fn read(payload: &mut Payload, limit: usize, time_limit: Duration) -> Result<Vec<u8>> {
    let limit_ms = time_limit.as_millis() as u64;
    match timeout(time_limit, read_within(payload, limit)).await {
        Ok(Err(error @ ApiError::BodyTooLarge { .. })) => {
            discard_rest(payload).await;
            Err(error)
        }
        Ok(result) => result,
        Err(_) => Err(ApiError::BodyTimeout { limit_ms }),
    }
}

async fn read_within(payload: &mut Payload, limit: usize) -> Result<Vec<u8>> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream_recv(payload).await {
        let chunk = chunk.map_err(|_| ApiError::BodyIncomplete)?;
        if body.len() + chunk.len() > limit {
            return Err(ApiError::BodyTooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.to_vec())
}

/// Reads and discards the rest of the body, up to a limit, so that a client that sends the whole
/// body before it reads the response receives the refusal.
async fn discard_rest(payload: &mut Payload) {
    let reading = async {
        let mut discarded = 0;
        while let Some(Ok(chunk)) = stream_recv(payload).await {
            discarded += chunk.len();
            if discarded > MAX_DISCARD_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}
