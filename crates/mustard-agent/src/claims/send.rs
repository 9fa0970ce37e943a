//! Sends a claimed call to the service and records its result.

use slog::{info, warn};
use tokio::sync::oneshot;
use tokio::time::Instant;

use mustard_backend::service::{PlainService, ServiceCall};
use mustard_core::event::EventKind;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::RequestId;
use mustard_proto::agent::{Call, CallAnswer};
use mustard_proto::{Execution, Refusal};

use super::call::{CallOutcome, Claims, retain_nothing};
use super::in_flight::RetainedState;
use super::key::Key;
use super::row::{ClaimState, StoredAnswer};
use super::write::{Precondition, WriteOutcome};
use crate::calls;

/// A claim that is written to the table, or may be.
pub(super) struct Claim {
    pub(super) number: u64,
    /// The row version that the claim replaced; zero if there was no row.
    pub(super) old_version: u64,
    pub(super) key: Key,
    pub(super) deadline: Instant,
}

impl Claims {
    /// Sends a claimed call to the service.
    pub(super) async fn send_call<S: PlainService>(
        &self,
        service: &S,
        call: Call,
        claim: Claim,
    ) -> CallOutcome {
        let request = Some(call.request);
        let reference = claim.key.reference.clone();
        let key = reference.clone();
        self.process.emit(request, EventKind::Claimed { key });
        // The process may have been paused since the claim was written. After the deadline the
        // call must not be sent.
        let remaining = claim.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return self.release_claim(&claim, Refusal::Expired);
        }
        let key = reference.clone();
        self.process.emit(request, EventKind::CallSent { key });
        let fingerprint = call.fingerprint;
        let id = call.request;
        let outgoing = ServiceCall {
            method: call.method,
            path: call.path,
            content_type: call.content_type,
            reference: Some(reference),
            body: call.body,
            timeout_ms: remaining.as_millis() as u64,
        };
        match service.call(outgoing).await {
            Ok(answer) => {
                let answer = calls::into_answer(answer, false);
                self.record_answer(id, fingerprint, answer, &claim)
            }
            Err(e) if e.execution() == Execution::No => {
                self.release_claim(&claim, calls::to_refusal(&e))
            }
            Err(e) => {
                warn!(self.log, "claims: Service did not answer the call.";
                    "request" => %id, "cause" => %e);
                match service.lookup(&claim.key.reference).await {
                    Ok(Some(found)) => {
                        let answer = calls::into_answer(found, false);
                        self.record_answer(id, fingerprint, answer, &claim)
                    }
                    _ => retain_nothing(Err(calls::to_refusal(&e))),
                }
            }
        }
    }

    /// Records the answer of a call: in memory at once, in the table in the background.
    pub(super) fn record_answer(
        &self,
        request: RequestId,
        fingerprint: Fingerprint,
        answer: CallAnswer,
        claim: &Claim,
    ) -> CallOutcome {
        let key = claim.key.reference.clone();
        let status = answer.status;
        self.process
            .emit(Some(request), EventKind::CallDone { key, status });
        info!(self.log, "claims: Call done."; "request" => %request, "status" => status);
        let state = ClaimState::Done {
            fingerprint: Some(fingerprint),
            answer: StoredAnswer::from_answer(&answer),
            at: self.process.wall_ms(),
        };
        let written = self.replace_claim(claim, &state);
        (
            Ok(answer.clone()),
            RetainedState::Answer(Some(fingerprint), answer),
            Some(written),
        )
    }

    /// Releases a claim whose call certainly did not run, so that the key may be claimed again.
    pub(super) fn release_claim(&self, claim: &Claim, refusal: Refusal) -> CallOutcome {
        let at = self.process.wall_ms();
        let written = self.replace_claim(claim, &ClaimState::Free { at });
        (Err(refusal), RetainedState::Releasing, Some(written))
    }

    /// Replaces a claim by a later state, in the background.
    fn replace_claim(&self, claim: &Claim, state: &ClaimState) -> oneshot::Receiver<WriteOutcome> {
        let precondition = Precondition::Claim {
            claimant: self.process.incarnation(),
            number: claim.number,
            old_version: claim.old_version,
        };
        let guard = self.gate.admit_always();
        self.write_queue
            .write_behind(&claim.key.row_key, precondition, state, guard)
    }
}
