//! Serialization of 128 bit numbers: hexadecimal in text formats, big-endian bytes in binary ones.

/// Implements serialization for a newtype of `u128`.
macro_rules! impl_serde {
    ($name:ident) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(
                &self,
                s: S,
            ) -> std::result::Result<S::Ok, S::Error> {
                if s.is_human_readable() {
                    return s.collect_str(&format_args!("{:032x}", self.0));
                }
                s.serialize_bytes(&self.0.to_be_bytes())
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D>(d: D) -> std::result::Result<Self, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                d.deserialize_any($crate::u128_serde::U128Visitor)
                    .map($name)
            }
        }
    };
}

pub(crate) use impl_serde;

use std::fmt;

use serde::de::{Error, Visitor};

const HEX_DIGITS: usize = 32;

/// Reads a 128 bit number from hexadecimal text or from 16 bytes.
pub(crate) struct U128Visitor;

impl Visitor<'_> for U128Visitor {
    type Value = u128;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("32 hexadecimal digits or 16 bytes")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u128, E> {
        if text.len() != HEX_DIGITS {
            return Err(E::invalid_length(text.len(), &self));
        }
        u128::from_str_radix(text, 16).map_err(E::custom)
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<u128, E> {
        let bytes = bytes
            .try_into()
            .map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(u128::from_be_bytes(bytes))
    }
}
