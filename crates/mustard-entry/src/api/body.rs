//! Reading of request bodies under limits on size, time and what is held for all clients.

use std::time::Duration;

use ntex::http::header::CONTENT_LENGTH;
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use tokio::time::timeout;

use mustard_net::client_body::{self, BodyError, ClientBody};

use super::errors::{ApiError, Result};
use crate::app::Worker;

/// How long a caller should wait if there is no room for its body.
const ROOM_RETRY: Duration = Duration::from_secs(1);

/// Reads a whole body.
///
/// # Errors
///
/// Returns an error if the body is too large, too slow or incomplete, or there is no room for it.
pub async fn read(
    worker: &Worker,
    payload: &mut Payload,
    limit: usize,
    time_limit: Duration,
) -> Result<ClientBody> {
    let limit_ms = time_limit.as_millis() as u64;
    let reading = client_body::read_body(&worker.clients, payload, limit);
    let Ok(body) = timeout(time_limit, reading).await else {
        return Err(ApiError::BodyTimeout { limit_ms });
    };
    body.map_err(|error| match error {
        BodyError::Broken => ApiError::BodyIncomplete,
        BodyError::Stalled => ApiError::BodyStalled,
        BodyError::TooLarge => ApiError::BodyTooLarge { limit },
        BodyError::NoRoom => ApiError::NoRoom { retry: ROOM_RETRY },
    })
}

/// Refuses a request whose head announces a body over the limit.
///
/// # Errors
///
/// Returns an error if the body is too large.
pub fn check_announced(request: &HttpRequest, limit: usize) -> Result<()> {
    let announced = request.headers().get(CONTENT_LENGTH);
    let announced = announced.and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
    match announced {
        Some(size) if size > limit as u64 => Err(ApiError::BodyTooLarge { limit }),
        _ => Ok(()),
    }
}
