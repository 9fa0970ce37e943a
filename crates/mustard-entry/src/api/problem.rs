//! Responses to one request, with errors in the problem format of RFC 9457.

use std::time::Duration;

use ntex::web::HttpResponse;
use serde::Serialize;
use tokio::time::Instant;

use mustard_core::ids::RequestId;
use mustard_net::problem::{Problem, REQUEST_ID};

use super::errors::ApiError;

/// Converts an error to the problem format.
pub fn to_problem(error: &ApiError) -> Problem {
    let fields = error.problem_fields();
    let problem = Problem::new(fields.status, fields.kind, fields.title)
        .detail(error.to_string())
        .outcome(fields.outcome);
    match error.retry() {
        Some(after) => problem.retry_after(after),
        None => problem,
    }
}

/// The id and time of arrival of one request; builds its responses.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext {
    request_id: RequestId,
    arrived: Instant,
}

impl Default for RequestContext {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestContext {
    /// Creates the context of a request that arrives now, with a random id.
    pub fn new() -> Self {
        RequestContext {
            request_id: RequestId::random(),
            arrived: Instant::now(),
        }
    }

    /// Returns the id of the request.
    pub fn request_id(self) -> RequestId {
        self.request_id
    }

    /// Returns the time since the request arrived.
    pub fn elapsed(self) -> Duration {
        self.arrived.elapsed()
    }

    /// Returns a successful response with a JSON body.
    pub fn json(self, value: &impl Serialize) -> HttpResponse {
        HttpResponse::Ok()
            .header(REQUEST_ID, self.request_id.to_string())
            .json(value)
    }

    /// Returns the response for an error, in the problem format.
    pub fn refuse(self, error: &ApiError) -> HttpResponse {
        to_problem(error).response(self.request_id)
    }
}
