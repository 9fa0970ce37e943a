//! Request bodies with limits on size and time.

use std::time::Duration;

use ntex::util::{BytesMut, stream_recv};
use ntex::web::types::Payload;
use tokio::time::timeout;

use super::errors::{ApiError, Result};

const DISCARD_LIMIT: usize = 16 * 1024 * 1024;
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Reads a whole body.
///
/// # Errors
///
/// Returns the refusal for a body that is too large, too slow or cut.
pub async fn read(payload: &mut Payload, limit: usize, time: Duration) -> Result<Vec<u8>> {
    let limit_ms = time.as_millis() as u64;
    match timeout(time, collect(payload, limit)).await {
        Ok(Err(error @ ApiError::BodyTooLarge { .. })) => {
            discard(payload).await;
            Err(error)
        }
        Ok(result) => result,
        Err(_) => Err(ApiError::BodySlow { limit_ms }),
    }
}

async fn collect(payload: &mut Payload, limit: usize) -> Result<Vec<u8>> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream_recv(payload).await {
        let chunk = chunk.map_err(|_| ApiError::BodyCut)?;
        if body.len() + chunk.len() > limit {
            return Err(ApiError::BodyTooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.to_vec())
}

/// Reads on for a while without keeping anything, so that the sender gets to read the refusal.
async fn discard(payload: &mut Payload) {
    let drain = async {
        let mut seen = 0;
        while let Some(Ok(chunk)) = stream_recv(payload).await {
            seen += chunk.len();
            if seen > DISCARD_LIMIT {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIME, drain).await;
}
