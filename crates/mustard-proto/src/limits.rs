//! Messages between entry processes: grants of a customer's limits, and strikes against request
//! contents.
//!
//! A strike records that a backend server died while it ran a request content, which is therefore
//! suspect. Each entry process quarantines, that is refuses, a content with enough strikes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use mustard_core::fingerprint::Fingerprint;

use crate::envelope::Message;

/// Asks the entry process that distributes a catalogue entry's limits for a share of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The name of the asking process.
    pub from: String,
    /// The name of the catalogue entry.
    pub entry: String,
    /// The number of requests that the asking process expects until it asks again.
    pub want: u32,
    /// The number of requests in flight at the asking process.
    pub running: u32,
}

/// A share of a catalogue entry's limits, valid for a limited time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of requests that may be admitted.
    pub requests: u32,
    /// The number of requests that may be in flight at once.
    pub slots: u32,
    /// How long the grant is valid, in milliseconds.
    pub valid_ms: u64,
    /// How long to wait before asking again if the grant is empty, in milliseconds.
    pub retry_ms: u64,
}

impl Message for GrantRequest {
    const PATH: &'static str = "/x/v1/grant";
    type Answer = Grant;
}

/// The record of a backend server that died while it ran a request content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The request content.
    pub fingerprint: Fingerprint,
    /// The VM whose backend server died.
    pub vm: String,
    /// The number of contents that got a strike for this death; the strike weighs `1 / shared`.
    pub shared: u32,
    /// How long ago the backend server died, in milliseconds.
    pub age_ms: u64,
}

/// A content that ran to its end or was released by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedContent {
    /// The request content.
    pub fingerprint: Fingerprint,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// Reports strikes to another entry process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strikes {
    /// New strikes; in a greeting and in its answer, all that count at the sender.
    pub strikes: Vec<Strike>,
    /// The contents whose earlier strikes no longer count.
    pub cleared: Vec<ClearedContent>,
}

impl Message for Strikes {
    const PATH: &'static str = "/x/v1/strikes";
    type Answer = ();
}

/// Announces an entry process to another one, whose list of VMs may not contain it yet.
///
/// The answer holds the strikes that count at the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The name of the sender's VM.
    pub name: String,
    /// The sender's failure domain.
    pub domain: String,
    /// The address at which the sender accepts messages.
    pub addr: SocketAddr,
    /// The strikes that count at the sender.
    pub strikes: Strikes,
}

impl Message for Greeting {
    const PATH: &'static str = "/x/v1/greeting";
    type Answer = Strikes;
}
