//! What a failed engine means for the attempt and for its caller.

use std::sync::PoisonError;

use metrics::counter;

use mustard_backend::BackendError;
use mustard_backend::engine::Engine;
use mustard_core::fingerprint::Fingerprint;
use mustard_proto::{Ran, Refusal};

use super::run::Run;
use crate::names;
use crate::session::Ended;

impl Run<'_> {
    /// Ends or keeps the attempt after a failed call of the engine, and describes the failure.
    pub(super) async fn engine_failed(&self, e: BackendError) -> Refusal {
        let request = self.ticket.request;
        slog::info!(self.worker.shared.log, "stage: Engine failed.";
            "request" => %request, "cause" => %e);
        match e {
            BackendError::Full { retry_ms } => {
                self.unrun();
                Refusal::Busy { retry_ms }
            }
            BackendError::NotHeld(what) => {
                self.end(Ended::Broken);
                Refusal::NotHeld { what }
            }
            BackendError::Unreachable(detail) => {
                self.unrun();
                self.failure(Ran::No, detail, Vec::new())
            }
            BackendError::Broken(detail) => {
                let suspects = self.suspects().await;
                self.end(Ended::Broken);
                self.failure(Ran::Maybe, detail, suspects)
            }
            other => {
                // An engine that lost the sequence may have run a part of it.
                self.end(Ended::Broken);
                self.failure(Ran::Maybe, other.to_string(), Vec::new())
            }
        }
    }

    /// Returns the request contents that the engine ran when it died; none if it lives.
    async fn suspects(&self) -> Vec<Fingerprint> {
        let shared = &self.worker.shared;
        let running = shared.sessions().at_engine();
        if self.worker.server.held().await.is_ok() {
            return Vec::new();
        }
        let now = shared.process.now();
        let mut deaths = shared.deaths.lock().unwrap_or_else(PoisonError::into_inner);
        let broken = self.ticket.opening.fingerprint;
        let (suspects, first) = deaths.report(broken, &running, now);
        if first {
            counter!(names::SERVER_DEATHS).increment(1);
        }
        suspects
    }

    fn failure(&self, ran: Ran, detail: String, suspects: Vec<Fingerprint>) -> Refusal {
        Refusal::ServerFailed {
            ran,
            detail,
            suspects,
        }
    }

    /// Keeps the attempt as it was before the step.
    pub(super) fn unrun(&self) {
        self.worker.shared.sessions().unrun(&self.ticket);
    }

    /// Ends the attempt and cancels its sequence.
    pub(super) fn end(&self, why: Ended) {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let closed = shared.sessions().end(&self.ticket, why, now);
        self.worker.cancel_all(closed);
    }
}
