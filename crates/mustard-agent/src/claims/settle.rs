//! Makes keys final: by the wish of an entry, or on the word of an operator.

use std::time::Duration;

use tokio::time::Instant;

use mustard_backend::service::PlainService;
use mustard_core::event::EventKind;
use mustard_platform::table::Row;
use mustard_proto::Refusal;
use mustard_proto::agent::{Settle, Verdict, Void, VoidAnswer};

use super::Result;
use super::call::{Claims, replay, table_down};
use super::in_flight::Found;
use super::key::Key;
use super::op::{Commit, Expect};
use super::row::{ClaimState, KeptAnswer};

const WRITE_LIMIT: Duration = Duration::from_secs(3);
const ROUNDS: usize = 4;
const RETRY_MS: u64 = 1_000;
/// How long after a claim's end an operator may declare its call as not run.
const CLAIM_MARGIN_MS: u64 = 5_000;

impl Claims {
    /// Makes a key final that has not run, so that it never runs.
    ///
    /// # Errors
    ///
    /// [`Refusal::PlatformDown`] if the table does not answer; the wish may be repeated.
    pub async fn void<S: PlainService>(&self, service: &S, void: &Void) -> Result<VoidAnswer> {
        let key = Key::new(&void.service, &void.owner, &void.key)?;
        self.finalize(service, &key, None).await
    }

    /// Ends the doubt about a key.
    ///
    /// # Errors
    ///
    /// [`Refusal::PlatformDown`] if the table does not answer; the message may be repeated.
    pub async fn settle<S: PlainService>(
        &self,
        service: &S,
        settle: &Settle,
    ) -> Result<VoidAnswer> {
        let key = Key::new(&settle.service, &settle.owner, &settle.key)?;
        let verdict = settle.verdict.as_ref();
        self.finalize(service, &key, verdict).await
    }

    async fn finalize<S: PlainService>(
        &self,
        service: &S,
        key: &Key,
        verdict: Option<&Verdict>,
    ) -> Result<VoidAnswer> {
        let _hold = match self.in_flight.enter(&key.row, None) {
            Found::Mine(hold) => hold,
            Found::Kept(answer) => return Ok(VoidAnswer::Ran(replay(&answer))),
            Found::Freeing => return Err(table_down(RETRY_MS)),
            Found::Running(_) | Found::Reused => return Ok(VoidAnswer::InDoubt),
        };
        let mut row = Row::default();
        for _ in 0..ROUNDS {
            let target = match self.judge(service, key, &row, verdict).await {
                Ok(target) => target,
                Err(answer) => return Ok(answer),
            };
            let until = Instant::now() + WRITE_LIMIT;
            let expect = Expect::Version(row.version);
            match self.keeper.write(&key.row, expect, &target, until).await {
                Commit::Done => return Ok(self.announce(key, target)),
                Commit::Found(other) => row = other,
                Commit::Down { retry_ms, .. } => return Err(table_down(retry_ms)),
            }
        }
        let retry_ms = RETRY_MS;
        Err(Refusal::Busy { retry_ms })
    }

    /// Decides what to write over a row, or the answer if it is to stay.
    async fn judge<S: PlainService>(
        &self,
        service: &S,
        key: &Key,
        row: &Row,
        verdict: Option<&Verdict>,
    ) -> std::result::Result<ClaimState, VoidAnswer> {
        let at = self.process.wall_ms();
        let content = ClaimState::read(row).and_then(|s| s.fingerprint());
        match ClaimState::read(row) {
            Some(ClaimState::Void { .. }) => return Err(VoidAnswer::Voided),
            Some(ClaimState::Done { answer, .. }) => {
                let answer = self.recall(service, key, answer).await;
                return Err(answer.map_or(VoidAnswer::InDoubt, VoidAnswer::Ran));
            }
            Some(ClaimState::Claimed { until, .. }) => {
                if let Some(answer) = self.settle_by_record(service, key, row).await {
                    return Err(VoidAnswer::Ran(answer));
                }
                let over = at > until.saturating_add(CLAIM_MARGIN_MS);
                match verdict {
                    Some(Verdict::Void) if over => {}
                    Some(Verdict::Done(_)) => {}
                    _ => return Err(VoidAnswer::InDoubt),
                }
            }
            Some(ClaimState::Other) => return Err(VoidAnswer::InDoubt),
            Some(ClaimState::Free { .. }) | None => {}
        }
        Ok(match verdict {
            Some(Verdict::Done(answer)) => ClaimState::Done {
                fingerprint: content,
                answer: KeptAnswer::of(answer),
                at,
            },
            _ => ClaimState::Void { at },
        })
    }

    fn announce(&self, key: &Key, state: ClaimState) -> VoidAnswer {
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
