//! The encoding of messages between gateways: MessagePack, with fields by name.
//!
//! During a rolling update, gateways of several versions exchange messages. A receiver ignores fields that
//! it doesn't know, and those that are missing have defaults. A new field therefore needs a name that no
//! field of the message had before, and a default; names are one letter long, as most of them are sent
//! several times a second. Items of lists may gain fields in the same way.
//!
//! Versions before this rule encoded all fields by position and can't decode names. Their messages are
//! still decoded, the answers to them are encoded by position too, and a message that such a version answers
//! with [`UNDECODABLE`] is sent again by position.

use std::net::SocketAddr;

use ntex::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use mustard_net::CallError;
use mustard_net::http::{Answer, Request, exchange};

use crate::app::App;
use crate::peers::{CALL_TIMEOUT, MEDIA_TYPE};

/// The status of the answer to a message that can't be decoded.
const UNDECODABLE: u16 = 400;

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    rmp_serde::to_vec_named(message).ok()
}

/// Decodes a message in either encoding.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body).ok()
}

/// Sends a message to a path of another gateway. It is given by name and by position; the second encoding
/// is sent if the receiver can't decode the first one.
pub async fn send(
    app: &App,
    to: SocketAddr,
    path: &str,
    (by_name, by_position): &(Vec<u8>, Vec<u8>),
) -> Result<Answer, CallError> {
    let new_request = |body: &Vec<u8>| Request {
        to,
        method: Method::POST,
        path,
        content_type: MEDIA_TYPE,
        headers: &[],
        body: body.clone(),
        timeout: CALL_TIMEOUT,
    };
    let answer = exchange(&app.peer_client, new_request(by_name)).await?;
    if answer.status != UNDECODABLE {
        return Ok(answer);
    }
    exchange(&app.peer_client, new_request(by_position)).await
}

/// Returns whether a message is encoded by position, which means that it is an array.
pub fn is_positional(body: &[u8]) -> bool {
    matches!(body.first(), Some(0x90..=0x9f | 0xdc | 0xdd))
}
