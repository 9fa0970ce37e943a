//! A plain service beside an agent.

use crate::errors::Result;

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The media type of the body.
    pub content_type: String,
    /// The caller's reference, sent in the header `X-Reference`.
    pub reference: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// The time for the call, in milliseconds.
    pub limit_ms: u64,
}

/// The whole answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A plain service. It does not know which calls are repeats.
#[allow(async_fn_in_trait)]
pub trait PlainService {
    /// Makes a call.
    async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer>;

    /// Looks up what was done under a reference, where the service offers such a read.
    ///
    /// Returns the answer that the call had, or none if nothing is on record.
    async fn lookup(&self, reference: &str) -> Result<Option<ServiceAnswer>>;
}
