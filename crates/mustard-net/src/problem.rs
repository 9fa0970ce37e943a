//! Error responses to remote clients as `application/problem+json` (RFC 9457).

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde_json::{Map, Value, json};

use mustard_core::ids::RequestId;
use mustard_core::outcome::Outcome;

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// The header with the id of the request; every answer has it.
pub const REQUEST_ID: &str = "x-request-id";

const TYPE_PREFIX: &str = "urn:mustardfield:";

/// A problem document with its HTTP status.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    status: u16,
    members: Map<String, Value>,
    retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem; `kind` is the last part of its type URN, which clients may match.
    pub fn new(status: u16, kind: &str, title: &str) -> Self {
        let mut members = Map::new();
        members.insert("type".to_owned(), json!(format!("{TYPE_PREFIX}{kind}")));
        members.insert("title".to_owned(), json!(title));
        members.insert("status".to_owned(), json!(status));
        Problem {
            status,
            members,
            retry_after: None,
        }
    }

    /// Adds an explanation of this occurrence.
    #[must_use]
    pub fn detail(self, text: impl Into<String>) -> Self {
        self.member("detail", Value::String(text.into()))
    }

    /// Adds whether the request took effect, as far as is known.
    #[must_use]
    pub fn outcome(self, outcome: Outcome) -> Self {
        self.member("outcome", json!(outcome))
    }

    /// Adds the delay before a retry, as a member and as the `retry-after` header.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self.member("retry_after_ms", json!(after.as_millis() as u64))
    }

    /// Adds an extension member.
    #[must_use]
    pub fn member(mut self, name: &str, value: Value) -> Self {
        self.members.insert(name.to_owned(), value);
        self
    }

    /// Returns the HTTP response that reports this problem for a request.
    pub fn response(&self, request: RequestId) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let id = request.to_string();
        let mut builder = HttpResponse::build(status);
        builder.content_type(MEDIA_TYPE);
        builder.set_header(REQUEST_ID, id.as_str());
        if let Some(after) = self.retry_after {
            // The header has whole seconds; rounded up, so that no client retries too early.
            let seconds = after.as_millis().div_ceil(1000);
            builder.set_header("retry-after", seconds.to_string());
        }
        builder.body(self.body(request).to_string())
    }

    /// Returns the JSON document of the problem for a request.
    pub fn body(&self, request: RequestId) -> Value {
        let id = Value::String(request.to_string());
        Value::Object(self.clone().member("request_id", id).members)
    }
}
