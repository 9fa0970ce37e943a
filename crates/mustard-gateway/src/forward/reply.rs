//! The gateway's own answers.

use std::time::Duration;

use ntex::http::{Response, StatusCode};
use slog::info;

use mustard_adapter::answers;
use mustard_adapter::asks::Ask;

use crate::app::App;
use crate::journal::Topic;
use crate::metric;

/// The share of the time left that a caller waits at most before it comes back.
const RETURN_SHARE: f64 = 0.3;

/// An answer of the gateway itself.
#[derive(Clone, Debug)]
pub struct Refusal {
    reason: &'static str,
    status: u16,
    wait: Option<Duration>,
    id: String,
}

impl Refusal {
    /// Creates an answer with a status.
    pub fn new(reason: &'static str, status: u16) -> Self {
        Refusal {
            reason,
            status,
            wait: None,
            id: String::new(),
        }
    }

    /// Creates the answer that a request has not run and when to come back.
    pub fn not_run(reason: &'static str, wait: Duration) -> Self {
        Refusal {
            wait: Some(wait),
            ..Refusal::new(reason, 503)
        }
    }

    /// Names the request.
    pub fn of(mut self, ask: &Ask) -> Self {
        self.id.clone_from(&ask.id);
        if let (Some(wait), Some(budget)) = (self.wait, ask.budget) {
            self.wait = Some(wait.min(budget.mul_f64(RETURN_SHARE)));
        }
        self
    }

    /// Logs, counts and builds the answer.
    pub fn respond(self, app: &App) -> Response {
        metric::refused(self.reason);
        let topic = if self.status == 503 {
            Topic::Refused
        } else {
            Topic::Failed
        };
        if let Some(log) = app.journal.admit(topic) {
            info!(log, "request: Answered without a server's answer."; "request" => &self.id,
                "reason" => self.reason, "status" => self.status,
                "retry_after_ms" => self.wait.map(|w| w.as_millis() as u64));
        }
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut out = Response::build(status);
        if !self.id.is_empty() {
            out.header(answers::id_header(), self.id);
        }
        if let Some(wait) = self.wait {
            let (name, value) = answers::retry_after(wait);
            out.header(name, value);
        }
        if app.stopping.has_begun() {
            out.force_close();
        }
        out.finish()
    }
}
