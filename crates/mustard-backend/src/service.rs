//! The interface of a plain service, which runs no model.

use crate::errors::Result;

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The media type of the body.
    pub content_type: String,
    /// The reference of the call, sent in the header `X-Reference` for [`PlainService::lookup`].
    pub reference: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// The timeout of the call, in milliseconds.
    pub timeout_ms: u64,
}

/// The complete answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A plain service. It does not recognize repeated calls, so a call that may have run must not be
/// sent again unless it may run twice.
#[allow(async_fn_in_trait)]
pub trait PlainService {
    /// Makes a call.
    async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer>;

    /// Looks up the call that ran under a reference.
    ///
    /// Returns the answer to that call, or `None` if the service has no record of one. A
    /// service without lookup gives `None` or an error, so neither shows that the call has not run.
    async fn lookup(&self, reference: &str) -> Result<Option<ServiceAnswer>>;
}
