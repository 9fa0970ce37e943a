//! One call with an idempotency key, from the claim to the kept answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use slog::Logger;
use tokio::sync::oneshot;
use tokio::time::{self, Instant};

use mustard_backend::service::PlainService;
use mustard_net::Process;
use mustard_net::shutdown::Gate;
use mustard_platform::table::{Row, Table};
use mustard_proto::Refusal;
use mustard_proto::agent::{Call, CallAnswer};

use super::in_flight::{Found, Hold, InFlight, Rest, differ};
use super::keeper::Keeper;
use super::key::Key;
use super::liveness::{Liveness, Ports};
use super::op::{Commit, Expect};
use super::row::{ClaimState, KeptAnswer};
use super::send::Claim;
use super::{Result, TABLE};
use crate::calls;

const CLAIM_ROUNDS: usize = 4;
const RETRY_MS: u64 = 1_000;

/// Bounds of calls with an idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The most results that wait to be written.
    pub journal: usize,
    /// How long a call waits for the result of another agent's claim.
    pub join: Duration,
}

/// The aggregate of all keys at this agent.
pub struct Claims {
    pub(super) process: Arc<Process>,
    pub(super) gate: Arc<Gate>,
    pub(super) log: Logger,
    pub(super) keeper: Keeper,
    pub(super) in_flight: Arc<InFlight>,
    pub(super) bounds: Bounds,
    addr: OnceLock<SocketAddr>,
    count: AtomicU64,
}

/// The end of a call and what remains of its key in memory.
pub(super) type Ended = (Result<CallAnswer>, Rest, Option<oneshot::Receiver<Commit>>);

/// Ends a call of which nothing remains in memory.
pub(super) fn plainly(result: Result<CallAnswer>) -> Ended {
    (result, Rest::Nothing, None)
}

pub(super) fn table_down(retry_ms: u64) -> Refusal {
    Refusal::PlatformDown {
        service: TABLE.to_owned(),
        retry_ms,
    }
}

impl Claims {
    /// Creates the aggregate of a process that starts now.
    pub fn new(
        process: Arc<Process>,
        gate: Arc<Gate>,
        log: Logger,
        keeper: Keeper,
        bounds: Bounds,
    ) -> Arc<Self> {
        Arc::new(Claims {
            process,
            gate,
            log,
            keeper,
            in_flight: Arc::default(),
            bounds,
            addr: OnceLock::new(),
            count: AtomicU64::new(0),
        })
    }

    /// Sets where this process takes messages, which its claims name from now on.
    pub fn listens(&self, addr: SocketAddr) {
        // The first address stays.
        let _ = self.addr.set(addr);
    }

    /// Makes a call with an idempotency key, at most once over all agents.
    ///
    /// The future must not be dropped before its end, or the key is left in doubt.
    ///
    /// # Errors
    ///
    /// [`Refusal::ran`] tells whether the service may have run the call.
    pub async fn call<S: PlainService, T: Table, L: Liveness>(
        &self,
        ports: &Ports<S, T, L>,
        call: Call,
    ) -> Result<CallAnswer> {
        let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
        let text = call.key.as_deref().unwrap_or_default();
        let key = Key::new(&call.service, &call.owner, text)?;
        match self.in_flight.enter(&key.row, Some(call.fingerprint)) {
            Found::Reused => Err(Refusal::KeyReused),
            Found::Freeing => Err(table_down(RETRY_MS)),
            Found::Kept(answer) => Ok(replay(&answer)),
            Found::Running(mut joined) => {
                let ended = joined.wait_for(Option::is_some);
                match time::timeout_at(deadline, ended).await {
                    Ok(Ok(result)) => result
                        .clone()
                        .unwrap_or(Err(Refusal::InDoubt))
                        .map(|a| replay(&a)),
                    _ => Err(Refusal::InDoubt),
                }
            }
            Found::Mine(hold) => {
                let ended = self.claim(ports, call, key.clone(), deadline).await;
                self.leave(hold, &key, ended)
            }
        }
    }

    /// Ends the work on a key; what waits to be written stays until it is.
    fn leave(&self, hold: Hold, key: &Key, ended: Ended) -> Result<CallAnswer> {
        let (result, rest, written) = ended;
        hold.end(result.clone(), rest);
        if let Some(written) = written {
            let in_flight = Arc::clone(&self.in_flight);
            let row = key.row.clone();
            tokio::task::spawn_local(async move {
                let _ = written.await;
                in_flight.forget(&row);
            });
        }
        result
    }

    async fn claim<S: PlainService, T: Table, L: Liveness>(
        &self,
        ports: &Ports<S, T, L>,
        call: Call,
        key: Key,
        deadline: Instant,
    ) -> Ended {
        if self.keeper.behind() >= self.bounds.journal {
            return plainly(Err(Refusal::Busy { retry_ms: RETRY_MS }));
        }
        let mut over = 0;
        for _ in 0..CLAIM_ROUNDS {
            let number = self.count.fetch_add(1, Ordering::Relaxed);
            let state = self.claimed(number, &call, deadline);
            let claim = Claim {
                number,
                over,
                key: key.clone(),
                deadline,
            };
            let expect = Expect::Version(over);
            match self.keeper.write(&key.row, expect, &state, deadline).await {
                Commit::Done => return self.send(&ports.service, call, claim).await,
                Commit::Down { retry_ms, maybe } => {
                    let refusal = table_down(retry_ms);
                    return match maybe {
                        true => self.give_up(&claim, refusal),
                        false => plainly(Err(refusal)),
                    };
                }
                Commit::Found(row) => {
                    let ended = self.found(ports, &call, &key, &row, deadline).await;
                    match ended {
                        Some(ended) => return ended,
                        None => over = self.free_version(&ports.table, &key, &row).await,
                    }
                }
            }
        }
        plainly(Err(Refusal::Busy { retry_ms: RETRY_MS }))
    }

    /// Returns the version that the next attempt to claim a free row replaces.
    async fn free_version<T: Table>(&self, table: &T, key: &Key, row: &Row) -> u64 {
        if matches!(ClaimState::read(row), Some(ClaimState::Free { .. })) {
            return row.version;
        }
        let rows = table.read(std::slice::from_ref(&key.row)).await;
        let row = rows.ok().and_then(|rows| rows.into_iter().next());
        row.filter(|r| matches!(ClaimState::read(r), Some(ClaimState::Free { .. })))
            .map_or(0, |r| r.version)
    }

    fn claimed(&self, number: u64, call: &Call, deadline: Instant) -> ClaimState {
        let at = self.process.wall_ms();
        let left = deadline.saturating_duration_since(Instant::now());
        ClaimState::Claimed {
            by: self.process.incarnation(),
            number,
            vm: self.process.name().to_owned(),
            addr: self.addr.get().copied(),
            fingerprint: call.fingerprint,
            at,
            until: at + left.as_millis() as u64,
        }
    }

    /// Judges a row that is in the way; none means that the key may be claimed again.
    async fn found<S: PlainService, T: Table, L: Liveness>(
        &self,
        ports: &Ports<S, T, L>,
        call: &Call,
        key: &Key,
        row: &Row,
        deadline: Instant,
    ) -> Option<Ended> {
        let state = ClaimState::read(row)?;
        if differ(state.fingerprint(), Some(call.fingerprint)) {
            return Some(plainly(Err(Refusal::KeyReused)));
        }
        match state {
            ClaimState::Free { .. } => None,
            ClaimState::Void { .. } => Some(plainly(Err(Refusal::Voided))),
            ClaimState::Done { answer, .. } => {
                Some(plainly(self.recall(&ports.service, key, answer).await))
            }
            ClaimState::Claimed { by, .. } => {
                let until = deadline.min(Instant::now() + self.bounds.join);
                let wait = (by != self.process.incarnation()).then_some(until);
                let result = self.foreign(ports, key, row, wait, deadline).await;
                result.map(plainly)
            }
            ClaimState::Other => Some(plainly(Err(Refusal::InDoubt))),
        }
    }

    /// Returns the kept answer, or asks the service's record for one that was too large.
    pub(super) async fn recall<S: PlainService>(
        &self,
        service: &S,
        key: &Key,
        answer: Option<KeptAnswer>,
    ) -> Result<CallAnswer> {
        if let Some(kept) = answer {
            return Ok(kept.replay());
        }
        match service.lookup(&key.reference).await {
            Ok(Some(found)) => Ok(calls::into_answer(found, true)),
            _ => Err(Refusal::InDoubt),
        }
    }
}

/// Marks an answer as a replay.
pub(super) fn replay(answer: &CallAnswer) -> CallAnswer {
    CallAnswer {
        replayed: true,
        ..answer.clone()
    }
}
