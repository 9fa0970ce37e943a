//! MessagePack encoding of messages.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::envelope::{Envelope, Message, Reply, VERSION};
use crate::errors::{ProtoError, Result};

/// The media type of message bodies.
pub const MEDIA_TYPE: &str = "application/msgpack";

/// Encodes an [`Envelope`] or a [`Reply`].
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Decodes the body of an answer.
pub fn decode_reply<T: DeserializeOwned>(body: &[u8]) -> Result<Reply<T>> {
    Ok(rmp_serde::from_slice(body)?)
}

/// Decodes a message and checks its version.
///
/// The version is decoded first, so that a message of another version returns
/// [`ProtoError::Version`] even if the layout of the rest differs.
pub fn decode_message<M: Message>(body: &[u8]) -> Result<Envelope<M>> {
    // An envelope is encoded as an array: the version, the header, then the message.
    let mut reader = rmp_serde::Deserializer::new(body);
    let got = read_version(&mut reader).unwrap_or(VERSION);
    if got != VERSION {
        return Err(ProtoError::Version {
            got,
            supported: VERSION,
        });
    }
    Ok(rmp_serde::from_slice(body)?)
}

fn read_version<R>(reader: &mut rmp_serde::Deserializer<R>) -> Option<u16>
where
    for<'a> &'a mut rmp_serde::Deserializer<R>: serde::Deserializer<'a>,
{
    use serde::de::{Deserializer, SeqAccess, Visitor};

    struct VersionVisitor;

    impl<'de> Visitor<'de> for VersionVisitor {
        type Value = u16;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("an array that starts with a version")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> std::result::Result<u16, A::Error> {
            let version = seq.next_element()?;
            while seq.next_element::<serde::de::IgnoredAny>()?.is_some() {}
            version.ok_or_else(|| serde::de::Error::invalid_length(0, &self))
        }
    }

    reader.deserialize_any(VersionVisitor).ok()
}
