//! Refusals to outside parties as `application/problem+json` (RFC 9457).

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde_json::{Map, Value, json};

use mustard_core::ids::RequestId;
use mustard_core::outcome::Outcome;

/// The media type of a problem.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// The header that names the request on every answer.
pub const REQUEST_ID: &str = "x-request-id";

const TYPE_PREFIX: &str = "urn:mustardfield:";

/// A refusal with its machine-readable cause.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    status: u16,
    members: Map<String, Value>,
    retry: Option<Duration>,
}

impl Problem {
    /// Creates a problem; `kind` is the stable last part of its type.
    pub fn new(status: u16, kind: &str, title: &str) -> Self {
        let mut members = Map::new();
        members.insert("type".to_owned(), json!(format!("{TYPE_PREFIX}{kind}")));
        members.insert("title".to_owned(), json!(title));
        members.insert("status".to_owned(), json!(status));
        Problem {
            status,
            members,
            retry: None,
        }
    }

    /// Adds what was found in this case.
    #[must_use]
    pub fn detail(self, text: impl Into<String>) -> Self {
        self.member("detail", Value::String(text.into()))
    }

    /// Adds what may be concluded about the request.
    #[must_use]
    pub fn outcome(self, outcome: Outcome) -> Self {
        self.member("outcome", json!(outcome))
    }

    /// Adds when to come back.
    #[must_use]
    pub fn retry(mut self, after: Duration) -> Self {
        self.retry = Some(after);
        self.member("retry_after_ms", json!(after.as_millis() as u64))
    }

    /// Adds a member of its own.
    #[must_use]
    pub fn member(mut self, name: &str, value: Value) -> Self {
        self.members.insert(name.to_owned(), value);
        self
    }

    /// Returns the answer that refuses a request with this problem.
    pub fn response(&self, request: RequestId) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let id = request.to_string();
        let mut builder = HttpResponse::build(status);
        builder.content_type(MEDIA_TYPE);
        builder.set_header(REQUEST_ID, id.as_str());
        if let Some(after) = self.retry {
            // The header counts whole seconds; rounding down would invite a caller too early.
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
