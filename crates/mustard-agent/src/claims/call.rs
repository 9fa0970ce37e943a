//! Runs one call with an idempotency key, from its claim to its recorded answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use slog::Logger;
use tokio::sync::oneshot;
use tokio::time::{self, Instant};

use mustard_backend::service::PlainService;
use mustard_net::Process;
use mustard_net::shutdown::RequestGate;
use mustard_platform::table::{Row, Table};
use mustard_proto::Refusal;
use mustard_proto::agent::{Call, CallAnswer};

use super::in_flight::{InFlight, KeyGuard, KeyStatus, RetainedState, fingerprints_differ};
use super::key::Key;
use super::liveness::{CallClients, LivenessProbe};
use super::restoration::{Restoration, Trust};
use super::row::{ClaimState, StoredAnswer};
use super::send::Claim;
use super::write::{Precondition, WriteOutcome};
use super::write_queue::WriteQueue;
use super::{Result, TABLE};
use crate::calls;

/// The most attempts to write the claim of one call; each retry follows a conflicting write.
const CLAIM_TRIES: usize = 4;
/// When a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Limits of calls with an idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLimits {
    /// The number of unfinished background writes at which new calls are refused.
    pub max_background: usize,
    /// How long a call waits for the result of another agent's claim. If that agent is seen to be
    /// alive, the call waits until shortly before its own deadline instead.
    pub join_wait: Duration,
}

/// Runs and settles the calls with idempotency keys that this agent receives.
pub struct Claims {
    pub(super) process: Arc<Process>,
    /// Counts work in flight, with the background writes, so that a planned stop waits for them.
    pub(super) gate: Arc<RequestGate>,
    pub(super) log: Logger,
    pub(super) write_queue: WriteQueue,
    pub(super) in_flight: Arc<InFlight>,
    pub(super) limits: ClaimLimits,
    restoration: Restoration,
    addr: OnceLock<SocketAddr>,
    /// The number of the next claim of this process.
    claim_counter: AtomicU64,
}

/// The result of a call, the state of its key that stays in memory, and a receiver that tells when
/// the background write has ended and that state can be removed.
pub(super) type CallOutcome = (
    Result<CallAnswer>,
    RetainedState,
    Option<oneshot::Receiver<WriteOutcome>>,
);

/// Returns the outcome of a call that leaves no state of its key in memory.
pub(super) fn retain_nothing(result: Result<CallAnswer>) -> CallOutcome {
    (result, RetainedState::Nothing, None)
}

/// Returns the refusal of a request that has to wait for the table: for its own write, or for the
/// release of its key.
pub(super) fn table_refusal(retry_ms: u64) -> Refusal {
    Refusal::PlatformDown {
        service: TABLE.to_owned(),
        retry_ms,
    }
}

impl Claims {
    /// Creates the state of a process that starts now and works on no key yet.
    pub fn new(
        process: Arc<Process>,
        gate: Arc<RequestGate>,
        log: Logger,
        write_queue: WriteQueue,
        limits: ClaimLimits,
    ) -> Arc<Self> {
        Arc::new(Claims {
            process,
            gate,
            log,
            write_queue,
            in_flight: Arc::default(),
            limits,
            restoration: Restoration::default(),
            addr: OnceLock::new(),
            claim_counter: AtomicU64::new(0),
        })
    }

    /// Sets the address of this process, which is written into its claims from now on.
    pub fn set_address(&self, addr: SocketAddr) {
        // Only the first call has an effect.
        let _ = self.addr.set(addr);
    }

    /// Runs a call with an idempotency key, at most once across all agents.
    ///
    /// The future must be polled to completion; dropping it earlier leaves the key in doubt.
    ///
    /// # Errors
    ///
    /// [`Refusal::execution`] tells whether the service may have run the call.
    pub async fn call<S: PlainService, T: Table, L: LivenessProbe>(
        &self,
        clients: &CallClients<S, T, L>,
        call: Call,
    ) -> Result<CallAnswer> {
        let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
        let key_text = call.key.as_deref().unwrap_or_default();
        let key = Key::new(&call.service, &call.owner, key_text)?;
        match self.in_flight.acquire(&key.row_key, Some(call.fingerprint)) {
            KeyStatus::Reused => Err(Refusal::KeyReused),
            KeyStatus::Releasing => Err(table_refusal(RETRY_AFTER_MS)),
            KeyStatus::Answered(answer) => Ok(mark_replayed(&answer)),
            KeyStatus::Running(mut receiver) => {
                let finished = receiver.wait_for(Option::is_some);
                match time::timeout_at(deadline, finished).await {
                    Ok(Ok(result)) => result
                        .clone()
                        .unwrap_or(Err(Refusal::InDoubt))
                        .map(|a| mark_replayed(&a)),
                    _ => Err(Refusal::InDoubt),
                }
            }
            KeyStatus::Acquired(guard) => {
                let outcome = self
                    .claim_and_call(clients, call, key.clone(), deadline)
                    .await;
                self.finish_call(guard, &key, outcome)
            }
        }
    }

    /// Ends the work on a key; state that is not yet written to the table stays in memory until it
    /// is.
    fn finish_call(&self, guard: KeyGuard, key: &Key, outcome: CallOutcome) -> Result<CallAnswer> {
        let (result, retained, written) = outcome;
        guard.finish(result.clone(), retained);
        if let Some(written) = written {
            let in_flight = Arc::clone(&self.in_flight);
            let row_key = key.row_key.clone();
            tokio::task::spawn_local(async move {
                let _ = written.await;
                in_flight.remove(&row_key);
            });
        }
        result
    }

    async fn claim_and_call<S: PlainService, T: Table, L: LivenessProbe>(
        &self,
        clients: &CallClients<S, T, L>,
        call: Call,
        key: Key,
        deadline: Instant,
    ) -> CallOutcome {
        if self.write_queue.background_count() >= self.limits.max_background {
            return retain_nothing(Err(Refusal::Busy {
                retry_ms: RETRY_AFTER_MS,
            }));
        }
        let mut old_version = 0;
        for _ in 0..CLAIM_TRIES {
            let number = self.claim_counter.fetch_add(1, Ordering::Relaxed);
            let state = self.new_claim_state(number, &call, deadline);
            let claim = Claim {
                number,
                old_version,
                key: key.clone(),
                deadline,
            };
            let precondition = Precondition::Version(old_version);
            match self
                .write_queue
                .write(&key.row_key, precondition, &state, deadline)
                .await
            {
                WriteOutcome::Done => return self.send_if_trusted(clients, call, claim).await,
                WriteOutcome::Unavailable {
                    retry_ms,
                    maybe_applied,
                } => {
                    let refusal = table_refusal(retry_ms);
                    return match maybe_applied {
                        true => self.release_claim(&claim, refusal),
                        false => retain_nothing(Err(refusal)),
                    };
                }
                WriteOutcome::Conflict(row) => {
                    let outcome = self.resolve_row(clients, &call, &key, &row, deadline).await;
                    match outcome {
                        Some(outcome) => return outcome,
                        None => old_version = self.find_version(&clients.table, &key, &row).await,
                    }
                }
            }
        }
        retain_nothing(Err(Refusal::Busy {
            retry_ms: RETRY_AFTER_MS,
        }))
    }

    /// Sends a claimed call unless rows of earlier claims may be lost, see [`super::restoration`].
    async fn send_if_trusted<S: PlainService, T: Table, L: LivenessProbe>(
        &self,
        clients: &CallClients<S, T, L>,
        call: Call,
        claim: Claim,
    ) -> CallOutcome {
        let era = self.write_queue.era();
        let wall_ms = self.process.wall_ms();
        let trust = self.restoration.trust(&clients.table, era.get(), wall_ms);
        let trust = match time::timeout_at(claim.deadline, trust).await {
            Ok(Ok((seen, trust))) => {
                era.observe(seen);
                trust
            }
            Ok(Err(_)) | Err(_) => Trust::Unknown,
        };
        let retry_ms = match trust {
            Trust::Complete => return self.send_call(&clients.service, call, claim).await,
            Trust::Wait(wait) => wait.as_millis() as u64,
            Trust::AskService | Trust::Unknown => RETRY_AFTER_MS,
        };
        match clients.service.lookup(&claim.key.reference).await {
            Ok(Some(found)) => {
                let answer = calls::into_answer(found, true);
                self.record_answer(call.request, call.fingerprint, answer, &claim)
            }
            Ok(None) if trust == Trust::AskService => {
                self.send_call(&clients.service, call, claim).await
            }
            Ok(None) | Err(_) => self.release_claim(&claim, table_refusal(retry_ms)),
        }
    }

    /// Returns the version of a free row, which the next claim replaces, or zero if there is no
    /// free row. `row` is the last known content; it is read again unless it is free.
    async fn find_version<T: Table>(&self, table: &T, key: &Key, row: &Row) -> u64 {
        if matches!(ClaimState::from_row(row), Some(ClaimState::Free { .. })) {
            return row.version;
        }
        let rows = table.read(std::slice::from_ref(&key.row_key)).await;
        let row = rows.ok().and_then(|rows| rows.into_iter().next());
        row.filter(|r| matches!(ClaimState::from_row(r), Some(ClaimState::Free { .. })))
            .map_or(0, |r| r.version)
    }

    fn new_claim_state(&self, number: u64, call: &Call, deadline: Instant) -> ClaimState {
        let at = self.process.wall_ms();
        let remaining = deadline.saturating_duration_since(Instant::now());
        ClaimState::Claimed {
            by: self.process.incarnation(),
            number,
            vm: self.process.name().to_owned(),
            addr: self.addr.get().copied(),
            fingerprint: call.fingerprint,
            at,
            until: at + remaining.as_millis() as u64,
        }
    }

    /// Returns the outcome of a call whose key already has a row, or none if the key may be claimed
    /// again.
    ///
    /// A claim without a result is resolved by waiting for the claimant or by the record of the
    /// service. A key is void after an entry process or an operator has closed it.
    async fn resolve_row<S: PlainService, T: Table, L: LivenessProbe>(
        &self,
        clients: &CallClients<S, T, L>,
        call: &Call,
        key: &Key,
        row: &Row,
        deadline: Instant,
    ) -> Option<CallOutcome> {
        let state = ClaimState::from_row(row)?;
        if fingerprints_differ(state.fingerprint(), Some(call.fingerprint)) {
            return Some(retain_nothing(Err(Refusal::KeyReused)));
        }
        match state {
            ClaimState::Free { .. } => None,
            ClaimState::Void { .. } => Some(retain_nothing(Err(Refusal::Voided))),
            ClaimState::Done { answer, .. } => Some(retain_nothing(
                self.load_answer(&clients.service, key, answer).await,
            )),
            ClaimState::Claimed { by, .. } => {
                let wait_until = deadline.min(Instant::now() + self.limits.join_wait);
                let wait = (by != self.process.incarnation()).then_some(wait_until);
                let result = self.resolve_claim(clients, key, row, wait, deadline).await;
                result.map(retain_nothing)
            }
            ClaimState::Other => Some(retain_nothing(Err(Refusal::InDoubt))),
        }
    }

    /// Returns the stored answer, or asks the service for one that was too large to store.
    pub(super) async fn load_answer<S: PlainService>(
        &self,
        service: &S,
        key: &Key,
        answer: Option<StoredAnswer>,
    ) -> Result<CallAnswer> {
        if let Some(stored) = answer {
            return Ok(stored.replay());
        }
        match service.lookup(&key.reference).await {
            Ok(Some(found)) => Ok(calls::into_answer(found, true)),
            _ => Err(Refusal::InDoubt),
        }
    }
}

/// Returns a copy of an answer that is marked as replayed.
pub(super) fn mark_replayed(answer: &CallAnswer) -> CallAnswer {
    CallAnswer {
        replayed: true,
        ..answer.clone()
    }
}
