//! Reads a message body up to its limit.

use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;

use mustard_net::server::MAX_MESSAGE;
use mustard_proto::Refusal;

/// Reads a whole body.
///
/// # Errors
///
/// [`Refusal::TooLarge`] above the limit, [`Refusal::Malformed`] if the body breaks off.
pub(super) async fn read(mut payload: Payload) -> Result<Bytes, Refusal> {
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
