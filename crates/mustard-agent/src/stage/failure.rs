//! Maps a failed call of the engine to the state of the attempt and the answer to its sender.

use std::sync::PoisonError;

use metrics::counter;

use mustard_backend::BackendError;
use mustard_backend::engine::Engine;
use mustard_core::fingerprint::Fingerprint;
use mustard_proto::{Execution, Refusal};

use super::run::StepRun;
use crate::metric_names;
use crate::session::EndReason;

impl StepRun<'_> {
    /// Handles a failed call of the engine and returns the refusal for the sender.
    ///
    /// The attempt stays open if the engine certainly did not run the step, and ends otherwise.
    /// It also ends if the engine doesn't hold the model, since a retry here can't succeed.
    pub(super) async fn handle_engine_error(&self, e: BackendError) -> Refusal {
        let request = self.handle.request;
        slog::info!(self.worker.shared.log, "stage: Engine call failed.";
            "request" => %request, "cause" => %e);
        match e {
            BackendError::NoRoom { retry_ms } => {
                self.reset_step();
                Refusal::Busy { retry_ms }
            }
            BackendError::NotHeld(what) => {
                self.end_attempt(EndReason::EngineFailed);
                Refusal::NotHeld { what }
            }
            BackendError::Unreachable(detail) => {
                self.reset_step();
                self.server_failure(Execution::No, detail, Vec::new())
            }
            BackendError::ConnectionBroken(detail) => {
                let suspects = self.find_suspects().await;
                self.end_attempt(EndReason::EngineFailed);
                self.server_failure(Execution::Maybe, detail, suspects)
            }
            other => {
                // An engine that lost the sequence may have run a part of the step.
                self.end_attempt(EndReason::EngineFailed);
                self.server_failure(Execution::Maybe, other.to_string(), Vec::new())
            }
        }
    }

    /// Returns the request contents that were running when the engine died, or no contents if
    /// the engine still answers.
    async fn find_suspects(&self) -> Vec<Fingerprint> {
        let shared = &self.worker.shared;
        let running = shared.sessions().running_fingerprints();
        if self.worker.server.loaded_layers().await.is_ok() {
            return Vec::new();
        }
        let now = shared.process.now();
        let mut deaths = shared
            .engine_deaths
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let failed = self.handle.params.fingerprint;
        let (suspects, first_report) = deaths.record_failure(failed, &running, now);
        if first_report {
            counter!(metric_names::SERVER_DEATHS).increment(1);
        }
        suspects
    }

    fn server_failure(
        &self,
        ran: Execution,
        detail: String,
        suspects: Vec<Fingerprint>,
    ) -> Refusal {
        Refusal::ServerFailed {
            ran,
            detail,
            suspects,
        }
    }

    /// Undoes the start of a step that the engine did not run, so that it may be sent again.
    ///
    /// An attempt that has not run any step yet is removed.
    pub(super) fn reset_step(&self) {
        self.worker.shared.sessions().reset_step(&self.handle);
    }

    /// Ends the attempt and cancels its sequence at the engine.
    pub(super) fn end_attempt(&self, reason: EndReason) {
        let shared = &self.worker.shared;
        let now = shared.process.now();
        let ended = shared.sessions().end_attempt(&self.handle, reason, now);
        self.worker.cancel_sessions(ended);
    }
}
