//! Answers in the problem format of RFC 9457.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

use mustard_core::ids::RequestId;
use mustard_core::outcome::Outcome;

use super::errors::ApiError;

/// The media type of refusals.
pub const PROBLEM_TYPE: &str = "application/problem+json";
/// The header that names the request on every answer.
pub const REQUEST_ID: &str = "x-request-id";

/// A refusal as callers read it.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// The stable identifier of the kind of refusal.
    #[serde(rename = "type")]
    pub kind: String,
    /// The short summary of the kind.
    pub title: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What happened to this request.
    pub detail: String,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// The request.
    pub request_id: RequestId,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Describes an error of a request.
    pub fn of(error: &ApiError, request_id: RequestId) -> Self {
        let face = error.face();
        Problem {
            kind: format!("urn:mustardfield:{}", face.kind),
            title: face.title,
            status: face.status,
            detail: error.to_string(),
            outcome: face.outcome,
            request_id,
            retry_after_ms: error.retry().map(|d| d.as_millis().max(1) as u64),
        }
    }
}

/// Builds the answers of one request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    request: RequestId,
}

impl Default for Answer {
    fn default() -> Self {
        Self::new()
    }
}

impl Answer {
    /// Names a new request.
    pub fn new() -> Self {
        Answer {
            request: RequestId::random(),
        }
    }

    /// Returns the request.
    pub fn request(self) -> RequestId {
        self.request
    }

    /// Answers with JSON.
    pub fn json(self, value: &impl Serialize) -> HttpResponse {
        HttpResponse::Ok()
            .header(REQUEST_ID, self.request.to_string())
            .json(value)
    }

    /// Answers with a refusal.
    pub fn refuse(self, error: &ApiError) -> HttpResponse {
        let problem = Problem::of(error, self.request);
        let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        response.header(REQUEST_ID, self.request.to_string());
        if let Some(ms) = problem.retry_after_ms {
            response.header("retry-after", ms.div_ceil(1_000).to_string());
        }
        let body = serde_json::to_string(&problem).unwrap_or_default();
        response.content_type(PROBLEM_TYPE).body(body)
    }
}
