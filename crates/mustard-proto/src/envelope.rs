//! What every message and every answer carries.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use mustard_core::hlc::Hlc;
use mustard_core::ids::{Incarnation, Seq};

use crate::refusal::Refusal;

/// The version of the messages; a receiver refuses any other.
pub const VERSION: u16 = 1;

/// A message that one process sends to another.
pub trait Message: Serialize + DeserializeOwned {
    /// The path that takes the message.
    const PATH: &'static str;
    /// The content of a favourable answer.
    type Answer: Serialize + DeserializeOwned;
}

/// What a message says of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The sender's time.
    pub at: Hlc,
    /// The newest catalogue change that the sender has seen.
    pub seq: Seq,
    /// The life of the receiver that the sender means; zero means any.
    pub to: Incarnation,
}

/// A message with its head, as sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<M> {
    /// The version of the message.
    pub version: u16,
    /// What the message says of its sender.
    pub head: Head,
    /// The message.
    pub message: M,
}

impl<M> Envelope<M> {
    /// Wraps a message in the version of this process.
    pub fn new(head: Head, message: M) -> Self {
        Envelope {
            version: VERSION,
            head,
            message,
        }
    }
}

/// An answer, as sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply<T> {
    /// The time of the process that answers.
    pub at: Hlc,
    /// The newest catalogue change that it has seen.
    pub seq: Seq,
    /// The life of the process that answers.
    pub from: Incarnation,
    /// The answer or the refusal.
    pub result: std::result::Result<T, Refusal>,
}
