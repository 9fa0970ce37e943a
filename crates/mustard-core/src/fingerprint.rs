//! Digests of request content and of callers' keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies the content of a request, independent of its id.
///
/// Spelled as 32 hexadecimal digits in text formats and as 16 bytes in binary ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

crate::wide::wide_serde!(Fingerprint);

impl Fingerprint {
    /// Digests the parts of a request; the length of each part is digested with it.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut low = [0; 16];
        low.copy_from_slice(&digest[..16]);
        Fingerprint(u128::from_le_bytes(low))
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
    /// Digests a bearer key.
    pub fn of(key: &str) -> Self {
        KeyHash(format!("{:x}", Sha256::digest(key.as_bytes())))
    }

    /// Tells whether the text has the form of a SHA-256 digest.
    pub fn is_valid(&self) -> bool {
        let hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        self.0.len() == 64 && self.0.bytes().all(hex)
    }
}
