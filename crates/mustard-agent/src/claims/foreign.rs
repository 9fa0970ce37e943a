//! A key that another process claimed, or this one without a result.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{self, Instant};

use mustard_backend::service::PlainService;
use mustard_core::ids::Incarnation;
use mustard_platform::table::{Row, Table};
use mustard_proto::Refusal;
use mustard_proto::agent::CallAnswer;

use super::Result;
use super::call::Claims;
use super::key::Key;
use super::liveness::{Life, Liveness, Ports};
use super::op::Expect;
use super::row::{ClaimState, KeptAnswer};
use crate::calls;

const FIRST_POLL: Duration = Duration::from_millis(50);
/// Time before the deadline at which a call answers at the latest.
const MARGIN: Duration = Duration::from_millis(50);
const LAST_POLL: Duration = Duration::from_millis(800);

impl Claims {
    /// Finds out what became of a claim, waiting for its claimant until `wait`, or until the
    /// deadline if the claimant is seen to live.
    ///
    /// The call is never made here. Returns none if the claim was given up, so that the key may
    /// be claimed again.
    pub(super) async fn foreign<S: PlainService, T: Table, L: Liveness>(
        &self,
        ports: &Ports<S, T, L>,
        key: &Key,
        row: &Row,
        mut wait: Option<Instant>,
        deadline: Instant,
    ) -> Option<Result<CallAnswer>> {
        let mut row = row.clone();
        let mut pause = FIRST_POLL;
        let mut gone = false;
        loop {
            let claimant = match ClaimState::read(&row) {
                Some(ClaimState::Claimed { addr, by, .. }) => addr.map(|addr| (addr, by)),
                Some(ClaimState::Done { answer, .. }) => {
                    return Some(self.recall(&ports.service, key, answer).await);
                }
                Some(ClaimState::Void { .. }) => return Some(Err(Refusal::Voided)),
                Some(ClaimState::Other) => return Some(Err(Refusal::InDoubt)),
                Some(ClaimState::Free { .. }) | None => return None,
            };
            if pause > FIRST_POLL && wait.is_some() {
                match look(ports, claimant).await {
                    Life::Alive => wait = deadline.checked_sub(MARGIN),
                    // One more look at the row: the claimant may have written it before its end.
                    Life::Ended => wait = wait.filter(|_| !std::mem::replace(&mut gone, true)),
                    Life::Unknown => {}
                }
            }
            // The claimant records the first answer itself unless it is dead or cut off, so the
            // service's own record is asked only when the time to wait is over.
            let next = Instant::now() + pause;
            if wait.is_none_or(|until| next > until) {
                let found = self.settle_by_record(&ports.service, key, &row).await;
                return Some(found.ok_or(Refusal::InDoubt));
            }
            time::sleep_until(next).await;
            pause = (pause * 2).min(LAST_POLL);
            if let Ok(rows) = ports.table.read(std::slice::from_ref(&key.row)).await {
                row = rows.into_iter().next().unwrap_or(row);
            }
        }
    }

    /// Records a call as done if the service has it on record.
    pub(super) async fn settle_by_record<S: PlainService>(
        &self,
        service: &S,
        key: &Key,
        row: &Row,
    ) -> Option<CallAnswer> {
        let found = service.lookup(&key.reference).await.ok().flatten()?;
        let answer = calls::into_answer(found, true);
        let state = ClaimState::Done {
            fingerprint: ClaimState::read(row).and_then(|s| s.fingerprint()),
            answer: KeptAnswer::of(&answer),
            at: self.process.wall_ms(),
        };
        let pass = self.gate.enter_always();
        // Nobody waits: whoever finds the row first records the same call.
        drop(
            self.keeper
                .write_behind(&key.row, Expect::Version(row.version), &state, pass),
        );
        Some(answer)
    }
}

async fn look<S, T, L: Liveness>(
    ports: &Ports<S, T, L>,
    claimant: Option<(SocketAddr, Incarnation)>,
) -> Life {
    match claimant {
        Some((addr, life)) => ports.lives.look(addr, life).await,
        None => Life::Unknown,
    }
}
