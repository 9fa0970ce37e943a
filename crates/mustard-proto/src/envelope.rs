//! The envelope of every message and the form of every answer.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use mustard_core::hlc::Hlc;
use mustard_core::ids::{Incarnation, Seq};

use crate::refusal::Refusal;

/// The version of the protocol; a receiver refuses messages of any other version.
pub const VERSION: u16 = 1;

/// A message that one process sends to another.
pub trait Message: Serialize + DeserializeOwned {
    /// The HTTP path that accepts the message.
    const PATH: &'static str;
    /// The content of the answer if the message is not refused.
    type Answer: Serialize + DeserializeOwned;
}

/// The header of a message: the sender's clock and catalogue, and the intended receiver.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageHeader {
    /// The sender's hybrid logical clock.
    pub at: Hlc,
    /// The newest catalogue change that the sender knows to exist.
    pub seq: Seq,
    /// The incarnation of the receiver that the message is meant for; zero means any.
    pub to: Incarnation,
}

/// A message as it is sent, with protocol version and header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<M> {
    /// The protocol version of the sender.
    pub version: u16,
    /// The header.
    pub head: MessageHeader,
    /// The message.
    pub message: M,
}

impl<M> Envelope<M> {
    /// Wraps a message in an envelope of the version [`VERSION`].
    pub fn new(head: MessageHeader, message: M) -> Self {
        Envelope {
            version: VERSION,
            head,
            message,
        }
    }
}

/// An answer as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply<T> {
    /// The hybrid logical clock of the process that answers.
    pub at: Hlc,
    /// The newest catalogue change that it knows to exist.
    pub seq: Seq,
    /// The incarnation of the process that answers.
    pub from: Incarnation,
    /// The content of the answer, or the reason for the refusal.
    pub result: std::result::Result<T, Refusal>,
}
