//! Answers of one request, refusals in the problem format of RFC 9457.

use std::time::Duration;

use ntex::web::HttpResponse;
use serde::Serialize;
use tokio::time::Instant;

use mustard_core::ids::RequestId;
use mustard_net::problem::{Problem, REQUEST_ID};

use super::errors::ApiError;

/// Describes an error in the problem format.
pub fn problem_of(error: &ApiError) -> Problem {
    let face = error.face();
    let problem = Problem::new(face.status, face.kind, face.title)
        .detail(error.to_string())
        .outcome(face.outcome);
    match error.retry() {
        Some(after) => problem.retry(after),
        None => problem,
    }
}

/// Builds the answers of one request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    request: RequestId,
    arrived: Instant,
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
            arrived: Instant::now(),
        }
    }

    /// Returns the request.
    pub fn request(self) -> RequestId {
        self.request
    }

    /// Returns the time since the request arrived.
    pub fn elapsed(self) -> Duration {
        self.arrived.elapsed()
    }

    /// Answers with JSON.
    pub fn json(self, value: &impl Serialize) -> HttpResponse {
        HttpResponse::Ok()
            .header(REQUEST_ID, self.request.to_string())
            .json(value)
    }

    /// Answers with a refusal.
    pub fn refuse(self, error: &ApiError) -> HttpResponse {
        problem_of(error).response(self.request)
    }
}
