//! Digests of request contents and of bearer keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A digest that identifies the content of a request, independent of the request's id.
///
/// Serialized as 32 hexadecimal digits in text formats and as 16 bytes in binary ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

crate::u128_serde::impl_serde!(Fingerprint);

impl Fingerprint {
    /// Returns the digest of the parts of a request. Each part is hashed after its length, so that
    /// the same bytes divided in another way give another digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&digest[..16]);
        Fingerprint(u128::from_le_bytes(prefix))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The SHA-256 digest of a bearer key, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Returns the digest of a bearer key.
    pub fn of(key: &str) -> Self {
        KeyHash(format!("{:x}", Sha256::digest(key.as_bytes())))
    }

    /// Returns whether the text is 64 lower-case hexadecimal digits.
    pub fn is_valid(&self) -> bool {
        let is_hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        self.0.len() == 64 && self.0.bytes().all(is_hex)
    }
}
