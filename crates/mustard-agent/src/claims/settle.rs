//! Closes keys, either as void if the call has not run or by an operator's decision.

use std::time::Duration;

use tokio::time::Instant;

use mustard_backend::service::PlainService;
use mustard_core::event::EventKind;
use mustard_platform::table::Row;
use mustard_proto::Refusal;
use mustard_proto::agent::{SettleDecision, SettleKey, VoidAnswer, VoidKey};

use super::Result;
use super::call::{Claims, mark_replayed, table_refusal};
use super::in_flight::KeyStatus;
use super::key::Key;
use super::row::{ClaimState, StoredAnswer};
use super::write::{Precondition, WriteOutcome};

const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The most attempts to write the final state of a key; each retry follows a conflicting write.
const WRITE_TRIES: usize = 4;
/// When a refused request may be repeated, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// The time after a claim's deadline before an operator may declare that its call did not run.
const VOID_DELAY_MS: u64 = 5_000;

impl Claims {
    /// Closes a key whose call has not run, so that it never runs.
    ///
    /// # Errors
    ///
    /// [`Refusal::PlatformDown`] if the table does not answer; the request may be repeated.
    pub async fn void<S: PlainService>(&self, service: &S, void: &VoidKey) -> Result<VoidAnswer> {
        let key = Key::new(&void.service, &void.owner, &void.key)?;
        self.close_key(service, &key, None).await
    }

    /// Settles a key that is in doubt, with the operator's decision if there is one.
    ///
    /// # Errors
    ///
    /// [`Refusal::PlatformDown`] if the table does not answer; the request may be repeated.
    pub async fn settle<S: PlainService>(
        &self,
        service: &S,
        settle: &SettleKey,
    ) -> Result<VoidAnswer> {
        let key = Key::new(&settle.service, &settle.owner, &settle.key)?;
        let decision = settle.verdict.as_ref();
        self.close_key(service, &key, decision).await
    }

    async fn close_key<S: PlainService>(
        &self,
        service: &S,
        key: &Key,
        decision: Option<&SettleDecision>,
    ) -> Result<VoidAnswer> {
        let _guard = match self.in_flight.acquire(&key.row_key, None) {
            KeyStatus::Acquired(guard) => guard,
            KeyStatus::Answered(answer) => return Ok(VoidAnswer::Ran(mark_replayed(&answer))),
            KeyStatus::Releasing => return Err(table_refusal(RETRY_AFTER_MS)),
            KeyStatus::Running(_) | KeyStatus::Reused => return Ok(VoidAnswer::InDoubt),
        };
        let mut row = Row::default();
        for _ in 0..WRITE_TRIES {
            let new_state = match self.decide_state(service, key, &row, decision).await {
                Ok(new_state) => new_state,
                Err(answer) => return Ok(answer),
            };
            let write_deadline = Instant::now() + WRITE_TIMEOUT;
            let precondition = Precondition::Version(row.version);
            match self
                .write_queue
                .write(&key.row_key, precondition, &new_state, write_deadline)
                .await
            {
                WriteOutcome::Done => return Ok(self.report_settled(key, new_state)),
                WriteOutcome::Conflict(current) => row = current,
                WriteOutcome::Unavailable { retry_ms, .. } => return Err(table_refusal(retry_ms)),
            }
        }
        let retry_ms = RETRY_AFTER_MS;
        Err(Refusal::Busy { retry_ms })
    }

    /// Decides the state that replaces a row; returns the answer as error if the row must stay.
    async fn decide_state<S: PlainService>(
        &self,
        service: &S,
        key: &Key,
        row: &Row,
        decision: Option<&SettleDecision>,
    ) -> std::result::Result<ClaimState, VoidAnswer> {
        let at = self.process.wall_ms();
        let known_fingerprint = ClaimState::from_row(row).and_then(|s| s.fingerprint());
        match ClaimState::from_row(row) {
            Some(ClaimState::Void { .. }) => return Err(VoidAnswer::Voided),
            Some(ClaimState::Done { answer, .. }) => {
                let answer = self.load_answer(service, key, answer).await;
                return Err(answer.map_or(VoidAnswer::InDoubt, VoidAnswer::Ran));
            }
            Some(ClaimState::Claimed { until, .. }) => {
                if let Some(answer) = self.settle_by_record(service, key, row).await {
                    return Err(VoidAnswer::Ran(answer));
                }
                let expired = at > until.saturating_add(VOID_DELAY_MS);
                match decision {
                    Some(SettleDecision::Void) if expired => {}
                    Some(SettleDecision::Done(_)) => {}
                    _ => return Err(VoidAnswer::InDoubt),
                }
            }
            Some(ClaimState::Other) => return Err(VoidAnswer::InDoubt),
            Some(ClaimState::Free { .. }) | None => {}
        }
        Ok(match decision {
            Some(SettleDecision::Done(answer)) => ClaimState::Done {
                fingerprint: known_fingerprint,
                answer: StoredAnswer::from_answer(answer),
                at,
            },
            _ => ClaimState::Void { at },
        })
    }

    /// Returns the answer for the state that was written, and emits the event of a void key.
    fn report_settled(&self, key: &Key, state: ClaimState) -> VoidAnswer {
        match state {
            ClaimState::Done {
                answer: Some(answer),
                ..
            } => VoidAnswer::Ran(answer.replay()),
            ClaimState::Done { .. } => VoidAnswer::InDoubt,
            _ => {
                let key = key.reference.clone();
                self.process.emit(None, EventKind::Voided { key });
                VoidAnswer::Voided
            }
        }
    }
}
