//! Messages between entry processes: grants of a customer's limits, and strikes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use mustard_core::fingerprint::Fingerprint;

use crate::envelope::Message;

/// Asks the grantor of a catalogue entry for a part of its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// The name of the asking process.
    pub from: String,
    /// The catalogue entry.
    pub entry: String,
    /// Requests wanted in the coming period.
    pub want: u32,
    /// Requests in flight at the asking process.
    pub running: u32,
}

/// A part of the limits, valid for a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Requests that may be admitted.
    pub requests: u32,
    /// Requests that may be in flight at once.
    pub slots: u32,
    /// How long the grant is valid, in milliseconds.
    pub valid_ms: u64,
    /// When to ask again if the grant is empty, in milliseconds.
    pub retry_ms: u64,
}

impl Message for GrantAsk {
    const PATH: &'static str = "/x/v1/grant";
    type Answer = Grant;
}

/// One server that died while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The content of the request.
    pub fingerprint: Fingerprint,
    /// The VM whose server died.
    pub vm: String,
    /// The number of different requests that ran there when it died.
    pub shared: u32,
    /// How long ago it died, in milliseconds.
    pub age_ms: u64,
}

/// A content that was set free or ran to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cleared {
    /// The content of the request.
    pub fingerprint: Fingerprint,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// Shares strikes between entry processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strikes {
    /// The strikes.
    pub strikes: Vec<Strike>,
    /// The contents whose earlier strikes count no more.
    pub cleared: Vec<Cleared>,
}

impl Message for Strikes {
    const PATH: &'static str = "/x/v1/strikes";
    type Answer = ();
}

/// Introduces an entry process to another one, which may not have it in its list of VMs yet.
///
/// The answer holds the strikes that count at the other process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The name of the sender's VM.
    pub name: String,
    /// The sender's failure domain.
    pub domain: String,
    /// Where the sender takes messages.
    pub addr: SocketAddr,
    /// The strikes that count at the sender.
    pub strikes: Strikes,
}

impl Message for Greeting {
    const PATH: &'static str = "/x/v1/greeting";
    type Answer = Strikes;
}
