//! The row of one key in the platform's table.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::Incarnation;
use mustard_platform::table::Row;
use mustard_proto::agent::CallAnswer;

/// The largest answer body that a row keeps, in bytes.
const MAX_KEPT: usize = 64 * 1024;

/// What is known of a key. Times are wall clock milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// An agent may be running the call.
    Claimed {
        /// The life of the claimant.
        by: Incarnation,
        /// Distinguishes the claims of one life.
        number: u64,
        /// The VM of the claimant.
        vm: String,
        /// Where the claimant takes messages.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        addr: Option<SocketAddr>,
        /// The content of the request.
        fingerprint: Fingerprint,
        /// When it was claimed.
        at: u64,
        /// After this time the claimant does not send the call any more.
        until: u64,
    },
    /// The call ran.
    Done {
        /// The content of the request, unless an operator settled a key that had no claim.
        fingerprint: Option<Fingerprint>,
        /// The answer, unless it is too large to keep.
        answer: Option<KeptAnswer>,
        /// When it was recorded.
        at: u64,
    },
    /// The call did not run and never will.
    Void {
        /// When it was recorded.
        at: u64,
    },
    /// A claim was given up before its call was sent; the key may be claimed again.
    Free {
        /// When it was given up.
        at: u64,
    },
    /// The row has another form; it is treated as a call that may have run.
    #[serde(other)]
    Other,
}

/// A whole answer in a row; a body that is not UTF-8 is kept in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    status: u16,
    content_type: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    hex: Option<String>,
}

impl KeptAnswer {
    /// Keeps an answer, or nothing if its body is too large.
    pub fn of(answer: &CallAnswer) -> Option<Self> {
        if answer.body.len() > MAX_KEPT {
            return None;
        }
        let text = String::from_utf8(answer.body.clone()).ok();
        let hex = text.is_none().then(|| to_hex(&answer.body));
        Some(KeptAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            text,
            hex,
        })
    }

    /// Returns the answer for a repeated call.
    pub fn replay(&self) -> CallAnswer {
        let body = match (&self.text, &self.hex) {
            (Some(text), _) => text.clone().into_bytes(),
            (None, Some(hex)) => from_hex(hex),
            (None, None) => Vec::new(),
        };
        CallAnswer {
            status: self.status,
            content_type: self.content_type.clone(),
            body,
            replayed: true,
        }
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let digit = |c: u8| char::from(c).to_digit(16).unwrap_or_default() as u8;
    hex.as_bytes()
        .chunks_exact(2)
        .map(|pair| digit(pair[0]) << 4 | digit(pair[1]))
        .collect()
}

impl ClaimState {
    /// Reads the state from a row; a row that does not exist has none.
    pub fn read(row: &Row) -> Option<ClaimState> {
        if row.version == 0 {
            return None;
        }
        Some(serde_json::from_str(&row.value).unwrap_or(ClaimState::Other))
    }

    /// Writes the state as the content of a row.
    pub fn write(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Tells whether this is the claim with the given life and number.
    pub fn is_claim(&self, life: Incarnation, count: u64) -> bool {
        matches!(self, ClaimState::Claimed { by, number, .. } if *by == life && *number == count)
    }

    /// Returns the content of the request, where it is known.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        match self {
            ClaimState::Claimed { fingerprint, .. } => Some(*fingerprint),
            ClaimState::Done { fingerprint, .. } => *fingerprint,
            _ => None,
        }
    }

    /// Returns when a final state was recorded; none for a state that is not final.
    pub fn final_at(&self) -> Option<u64> {
        match self {
            ClaimState::Done { at, .. } | ClaimState::Void { at } | ClaimState::Free { at } => {
                Some(*at)
            }
            _ => None,
        }
    }
}

/// Returns the table key of an idempotency key.
pub fn row_key(service: &str, owner: &str, key: &str) -> String {
    format!("claim/{service}/{owner}/{key}")
}

/// Returns the reference by which a plain service records a call.
pub fn reference(service: &str, owner: &str, key: &str) -> String {
    Fingerprint::of(&[service.as_bytes(), owner.as_bytes(), key.as_bytes()]).to_string()
}
