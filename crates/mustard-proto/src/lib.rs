//! Messages between the processes of mustardfield.
//!
//! Every message is one HTTP `POST` with a MessagePack body: an [`Envelope`] in the request, a
//! [`Reply`] in the answer. Every reply has HTTP status 200, also if it carries a [`Refusal`].

#![forbid(unsafe_code)]

pub mod admin;
pub mod agent;
pub mod catalogue;
pub mod codec;
pub mod envelope;
pub mod errors;
pub mod limits;
pub mod refusal;
pub mod step;
pub mod timeline;

pub use envelope::{Envelope, Message, MessageHeader, Reply, VERSION};
pub use errors::{ProtoError, Result};
pub use refusal::{Execution, Refusal};
