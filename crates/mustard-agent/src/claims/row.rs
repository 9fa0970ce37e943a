//! The row of one key in the platform's table.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::Incarnation;
use mustard_platform::table::Row;
use mustard_proto::agent::CallAnswer;

/// The largest answer body that is stored in a row.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The state of a key, stored as JSON in its row. Times are wall clock milliseconds since the Unix
/// epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// An agent claimed the key; its call may be running or may have run.
    Claimed {
        /// The process that made the claim.
        by: Incarnation,
        /// Distinguishes the claims of one process.
        number: u64,
        /// The VM of the claimant.
        vm: String,
        /// Where the claimant receives messages, to probe whether it is alive.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        addr: Option<SocketAddr>,
        /// The fingerprint of the request's content.
        fingerprint: Fingerprint,
        /// When the claim was made.
        at: u64,
        /// The deadline of the call, after which the claimant no longer sends it.
        until: u64,
    },
    /// The call ran.
    Done {
        /// The fingerprint of the request's content; none if an operator settled a key without a
        /// claim.
        fingerprint: Option<Fingerprint>,
        /// The answer; none if its body is too large to store.
        answer: Option<StoredAnswer>,
        /// When this state was recorded.
        at: u64,
    },
    /// The key was closed before its call ran, so the call never will.
    Void {
        /// When this state was recorded.
        at: u64,
    },
    /// A claim was released, as its call did not run; the key may be claimed again.
    Free {
        /// When the claim was released.
        at: u64,
    },
    /// Any value that is none of the states above, such as that of a newer version; it is treated
    /// as a call that may have run.
    #[serde(other)]
    Other,
}

/// A complete answer as it is stored in a row; a body that is not UTF-8 is stored in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    status: u16,
    content_type: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    hex: Option<String>,
}

impl StoredAnswer {
    /// Converts an answer for storage; returns none if its body is too large.
    pub fn from_answer(answer: &CallAnswer) -> Option<Self> {
        if answer.body.len() > MAX_BODY_BYTES {
            return None;
        }
        let text = String::from_utf8(answer.body.clone()).ok();
        let hex = text.is_none().then(|| to_hex(&answer.body));
        Some(StoredAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            text,
            hex,
        })
    }

    /// Returns the answer for a repeated call, marked as replayed.
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
    /// Reads the state from a row; returns none if the row does not exist.
    pub fn from_row(row: &Row) -> Option<ClaimState> {
        if row.version == 0 {
            return None;
        }
        Some(serde_json::from_str(&row.value).unwrap_or(ClaimState::Other))
    }

    /// Returns the state as the content of a row.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Tells whether this is the claim with the given process and number.
    pub fn is_claim(&self, claimant: Incarnation, claim_number: u64) -> bool {
        matches!(
            self,
            ClaimState::Claimed { by, number, .. } if *by == claimant && *number == claim_number
        )
    }

    /// Returns the fingerprint of the request's content, where it is known.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        match self {
            ClaimState::Claimed { fingerprint, .. } => Some(*fingerprint),
            ClaimState::Done { fingerprint, .. } => *fingerprint,
            _ => None,
        }
    }

    /// Returns when the key was closed or released; none if its call may still be running or the
    /// form of the row is unknown.
    pub fn final_at(&self) -> Option<u64> {
        match self {
            ClaimState::Done { at, .. } | ClaimState::Void { at } | ClaimState::Free { at } => {
                Some(*at)
            }
            _ => None,
        }
    }
}

/// Returns the key of the row that holds the state of an idempotency key.
pub fn row_key(service: &str, owner: &str, key: &str) -> String {
    format!("claim/{service}/{owner}/{key}")
}

/// Returns the reference under which a plain service records a call.
pub fn reference(service: &str, owner: &str, key: &str) -> String {
    Fingerprint::of(&[service.as_bytes(), owner.as_bytes(), key.as_bytes()]).to_string()
}
