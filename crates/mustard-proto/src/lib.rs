//! Messages between the processes of mustardfield.
//!
//! Every message is one HTTP `POST` whose body is MessagePack. A request body is an
//! [`Envelope`], an answer body a [`Reply`]. The HTTP status is 200 whenever the receiver
//! answered in its own words, refusals included.

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

pub use envelope::{Envelope, Head, Message, Reply, VERSION};
pub use errors::{ProtoError, Result};
pub use refusal::{Ran, Refusal};
