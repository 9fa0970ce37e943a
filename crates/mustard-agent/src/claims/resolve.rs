//! Resolves a claim whose result is not known, made by another process or by an earlier call of
//! this one.

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
use super::liveness::{CallClients, Liveness, LivenessProbe};
use super::row::{ClaimState, StoredAnswer};
use super::write::Precondition;
use crate::calls;

/// The delay before the row is read again; it doubles up to [`MAX_POLL_DELAY`].
const MIN_POLL_DELAY: Duration = Duration::from_millis(50);
/// Time before the deadline at which a call answers at the latest.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);
const MAX_POLL_DELAY: Duration = Duration::from_millis(800);

impl Claims {
    /// Finds the result of a claim, waiting for its claimant until `wait`, or until shortly before
    /// the deadline if the claimant is seen to be alive. It stops early if the claimant has ended.
    /// Without `wait` it does not wait.
    ///
    /// The call is never made here. Returns none if the claim was released, so that the key may
    /// be claimed again.
    pub(super) async fn resolve_claim<S: PlainService, T: Table, L: LivenessProbe>(
        &self,
        clients: &CallClients<S, T, L>,
        key: &Key,
        row: &Row,
        mut wait: Option<Instant>,
        deadline: Instant,
    ) -> Option<Result<CallAnswer>> {
        let mut row = row.clone();
        let mut poll_delay = MIN_POLL_DELAY;
        let mut seen_ended = false;
        loop {
            let claimant = match ClaimState::from_row(&row) {
                Some(ClaimState::Claimed { addr, by, .. }) => addr.map(|addr| (addr, by)),
                Some(ClaimState::Done { answer, .. }) => {
                    return Some(self.load_answer(&clients.service, key, answer).await);
                }
                Some(ClaimState::Void { .. }) => return Some(Err(Refusal::Voided)),
                // A row of unknown form may stand for a call that ran.
                Some(ClaimState::Other) => return Some(Err(Refusal::InDoubt)),
                Some(ClaimState::Free { .. }) | None => return None,
            };
            if poll_delay > MIN_POLL_DELAY && wait.is_some() {
                match probe_claimant(clients, claimant).await {
                    Liveness::Alive => wait = deadline.checked_sub(DEADLINE_MARGIN),
                    // The first time, the row is read once more, because the claimant may have
                    // written it before it ended. The second time, waiting stops.
                    Liveness::Ended => {
                        wait = wait.filter(|_| !std::mem::replace(&mut seen_ended, true));
                    }
                    Liveness::Unknown => {}
                }
            }
            // The claimant records the answer itself unless it is dead or partitioned, so the
            // service is asked for its record only when the time to wait is over.
            let next_poll = Instant::now() + poll_delay;
            if wait.is_none_or(|until| next_poll > until) {
                let found = self.settle_by_record(&clients.service, key, &row).await;
                return Some(found.ok_or(Refusal::InDoubt));
            }
            time::sleep_until(next_poll).await;
            poll_delay = (poll_delay * 2).min(MAX_POLL_DELAY);
            if let Ok(rows) = clients.table.read(std::slice::from_ref(&key.row_key)).await {
                row = rows.into_iter().next().unwrap_or(row);
            }
        }
    }

    /// Records a call as done if the service has a record of it, and returns the answer.
    pub(super) async fn settle_by_record<S: PlainService>(
        &self,
        service: &S,
        key: &Key,
        row: &Row,
    ) -> Option<CallAnswer> {
        let found = service.lookup(&key.reference).await.ok().flatten()?;
        let answer = calls::into_answer(found, true);
        let state = ClaimState::Done {
            fingerprint: ClaimState::from_row(row).and_then(|s| s.fingerprint()),
            answer: StoredAnswer::from_answer(&answer),
            at: self.process.wall_ms(),
        };
        let guard = self.gate.admit_always();
        // Nobody waits for the write: if another agent writes the row first, it records the same
        // call.
        drop(self.write_queue.write_behind(
            &key.row_key,
            Precondition::Version(row.version),
            &state,
            guard,
        ));
        Some(answer)
    }
}

async fn probe_claimant<S, T, L: LivenessProbe>(
    clients: &CallClients<S, T, L>,
    claimant: Option<(SocketAddr, Incarnation)>,
) -> Liveness {
    match claimant {
        Some((addr, incarnation)) => clients.liveness.probe(addr, incarnation).await,
        None => Liveness::Unknown,
    }
}
