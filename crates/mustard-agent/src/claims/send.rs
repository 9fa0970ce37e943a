//! Sends a claimed call to the service and settles its key.

use slog::{info, warn};
use tokio::sync::oneshot;
use tokio::time::Instant;

use mustard_backend::service::{PlainService, ServiceCall};
use mustard_core::event::EventKind;
use mustard_core::fingerprint::Fingerprint;
use mustard_core::ids::RequestId;
use mustard_proto::agent::{Call, CallAnswer};
use mustard_proto::{Ran, Refusal};

use super::call::{Claims, Ended, plainly};
use super::in_flight::Rest;
use super::key::Key;
use super::op::{Commit, Expect};
use super::row::{ClaimState, KeptAnswer};
use crate::calls;

/// A claim that was written.
pub(super) struct Claim {
    pub(super) number: u64,
    pub(super) over: u64,
    pub(super) key: Key,
    pub(super) deadline: Instant,
}

impl Claims {
    /// Sends a claimed call to the service.
    pub(super) async fn send<S: PlainService>(
        &self,
        service: &S,
        call: Call,
        claim: Claim,
    ) -> Ended {
        let request = Some(call.request);
        let reference = claim.key.reference.clone();
        let key = reference.clone();
        self.process.emit(request, EventKind::Claimed { key });
        // A claimant that was paused past its deadline must not send any more.
        let left = claim.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return self.give_up(&claim, Refusal::Expired);
        }
        let key = reference.clone();
        self.process.emit(request, EventKind::CallSent { key });
        let content = call.fingerprint;
        let id = call.request;
        let out = ServiceCall {
            method: call.method,
            path: call.path,
            content_type: call.content_type,
            reference: Some(reference),
            body: call.body,
            limit_ms: left.as_millis() as u64,
        };
        match service.call(out).await {
            Ok(answer) => {
                let answer = calls::into_answer(answer, false);
                self.record(id, content, answer, &claim)
            }
            Err(e) if e.ran() == Ran::No => self.give_up(&claim, calls::refuse(&e)),
            Err(e) => {
                warn!(self.log, "claims: Call gave no answer."; "request" => %id, "cause" => %e);
                match service.lookup(&claim.key.reference).await {
                    Ok(Some(found)) => {
                        let answer = calls::into_answer(found, false);
                        self.record(id, content, answer, &claim)
                    }
                    _ => plainly(Err(calls::refuse(&e))),
                }
            }
        }
    }

    /// Keeps the answer of a call and writes it behind.
    fn record(
        &self,
        request: RequestId,
        content: Fingerprint,
        answer: CallAnswer,
        claim: &Claim,
    ) -> Ended {
        let key = claim.key.reference.clone();
        let status = answer.status;
        self.process
            .emit(Some(request), EventKind::CallDone { key, status });
        info!(self.log, "claims: Call done."; "request" => %request, "status" => status);
        let state = ClaimState::Done {
            fingerprint: Some(content),
            answer: KeptAnswer::of(&answer),
            at: self.process.wall_ms(),
        };
        let written = self.behind(claim, &state);
        (
            Ok(answer.clone()),
            Rest::Kept(Some(content), answer),
            Some(written),
        )
    }

    /// Gives up a claim whose call was certainly not sent.
    pub(super) fn give_up(&self, claim: &Claim, refusal: Refusal) -> Ended {
        let at = self.process.wall_ms();
        let written = self.behind(claim, &ClaimState::Free { at });
        (Err(refusal), Rest::Freeing, Some(written))
    }

    fn behind(&self, claim: &Claim, state: &ClaimState) -> oneshot::Receiver<Commit> {
        let expect = Expect::Claim {
            by: self.process.incarnation(),
            number: claim.number,
            over: claim.over,
        };
        let pass = self.gate.enter_always();
        self.keeper
            .write_behind(&claim.key.row, expect, state, pass)
    }
}
