//! The entry daemon: accepts callers' requests and runs them on the servers.
//!
//! Words with a fixed meaning in this crate:
//!
//! - An entry process is a running instance of this daemon; the other ones are its peers. An agent
//!   runs beside each backend server and passes work to it. Both are named after their VM.
//! - A catalogue entry names a model or a plain service, its owner, and the keys and limits under
//!   which callers may use it.
//! - A caller is a remote HTTP client that sends requests. An operator is one that administers the
//!   system.
//! - A completion request generates tokens with a model, and a call is one HTTP exchange with a
//!   plain service. Metrics have them under the kinds `draft` and `call`.
//! - A content is what a request asks for, without its sender; see [`suspects`] for contents that
//!   are suspect because servers died while they ran them.
//! - A permit admits one request under the limits of its catalogue entry; see [`quotas`].

#![forbid(unsafe_code)]

pub mod admission;
pub mod api;
pub mod app;
pub mod calls;
pub mod driver;
pub mod errors;
pub mod greeting;
pub mod metric;
pub mod ports;
pub mod quotas;
pub mod serve;
pub mod servers;
pub mod settings;
pub mod suspects;

pub use errors::{EntryError, Result};
