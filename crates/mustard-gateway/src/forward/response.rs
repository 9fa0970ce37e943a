//! Responses that the gateway gives itself: it refused the request, or no server answered it.

use std::time::Duration;

use ntex::http::{Response, StatusCode};
use slog::info;

use mustard_adapter::requests::RequestParams;
use mustard_adapter::responses;

use crate::app::App;
use crate::log_limit::Topic;
use crate::metric;

/// The largest share of its time budget that a caller is told to wait before it retries.
const RETRY_AFTER_SHARE: f64 = 0.3;

/// A response of the gateway itself, with its reason for logs and metrics. The request was refused,
/// or it failed and may have run.
#[derive(Clone, Debug)]
pub struct GatewayResponse {
    reason: &'static str,
    status: u16,
    retry_after: Option<Duration>,
    id: String,
}

impl GatewayResponse {
    /// Creates a response with an HTTP status.
    pub fn new(reason: &'static str, status: u16) -> Self {
        GatewayResponse {
            reason,
            status,
            retry_after: None,
            id: String::new(),
        }
    }

    /// Creates a 503 response to a request that has not run, with a retry delay.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        GatewayResponse {
            retry_after: Some(retry_after),
            ..GatewayResponse::new(reason, 503)
        }
    }

    /// Sets the request's id and limits the retry delay to a share of the request's time budget.
    pub fn for_request(mut self, params: &RequestParams) -> Self {
        self.id.clone_from(&params.id);
        if let (Some(retry_after), Some(budget)) = (self.retry_after, params.budget) {
            self.retry_after = Some(retry_after.min(budget.mul_f64(RETRY_AFTER_SHARE)));
        }
        self
    }

    /// Logs and counts the response, and builds it.
    pub fn respond(self, app: &App) -> Response {
        metric::count_refusal(self.reason);
        // Only a request that has not run gets status 503.
        let topic = if self.status == 503 {
            Topic::Refused
        } else {
            Topic::Failed
        };
        if let Some(log) = app.log.logger_for(topic) {
            info!(log, "request: Answered by the gateway itself."; "request" => &self.id,
                "reason" => self.reason, "status" => self.status,
                "retry_after_ms" => self.retry_after.map(|w| w.as_millis() as u64));
        }
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut out = Response::build(status);
        if !self.id.is_empty() {
            out.header(responses::id_header(), self.id);
        }
        if let Some(retry_after) = self.retry_after {
            let (name, value) = responses::retry_after(retry_after);
            out.header(name, value);
        }
        if app.stop.is_set() {
            out.force_close();
        }
        out.finish()
    }
}
