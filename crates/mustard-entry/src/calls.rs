//! Calls to plain services through the agents on their VMs.
//!
//! A call with an idempotency key may be sent to several agents: before an agent calls the service
//! it writes a claim, a row for the key in the platform's table, so at most one of them runs the
//! call. If the outcome of such a call stays unknown, its key is voided before the deadline. That
//! either returns the answer of the run or makes sure that the call never runs under this key, so
//! the caller gets a definite outcome where there is one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, sleep};

use mustard_core::ids::{Incarnation, Seq};
use mustard_net::CallError;
use mustard_policy::fleet::{InFlight, ServerKey, ServerStats};
use mustard_policy::route::choose_service;
use mustard_proto::agent::{Call, CallAnswer, VoidAnswer, VoidKey};
use mustard_proto::{Execution, Refusal};

use crate::app::Worker;
use crate::ports::RequestScope;

const MAX_ATTEMPTS: u32 = 6;
/// The longest pause before another agent is tried after one refused the call because it was busy
/// or because the platform was down.
const MAX_BUSY_PAUSE: Duration = Duration::from_millis(50);
/// A quarter of the remaining time, at most [`MAX_VOID_TIME`], is reserved for voiding the key.
const VOID_TIME_DIVISOR: u32 = 4;
const MAX_VOID_TIME: Duration = Duration::from_millis(800);
/// The retry delay for callers if no agent gave one.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);

/// The result of a call to a plain service.
pub type Result<T> = std::result::Result<T, CallFailure>;

/// Why a call has no answer from the service.
#[derive(Clone, Debug, Error)]
pub enum CallFailure {
    /// No server ran the call, and none will.
    #[error("{detail}")]
    NotRun {
        /// The reason.
        detail: String,
        /// How long the caller should wait before it retries.
        retry: Duration,
    },
    /// The deadline passed before any server ran the call.
    #[error("deadline has passed")]
    Deadline,
    /// The catalogue entry no longer allows the call.
    #[error("the catalogue entry no longer allows the call")]
    Revoked,
    /// The idempotency key was used with another request.
    #[error("idempotency key was used with another request")]
    KeyReused,
    /// The idempotency key was voided: the call has not run and never will under this key.
    #[error("idempotency key was voided without a run")]
    Voided,
    /// The call may have run.
    #[error("{detail}")]
    Unknown {
        /// What is known about the outcome.
        detail: String,
    },
}

/// An agent of a plain service, chosen for a call; dropping it ends the call's in-flight count.
#[derive(Debug)]
pub struct ServiceAgent {
    /// The name of the agent's VM.
    pub name: String,
    /// The address at which the agent accepts messages.
    pub addr: SocketAddr,
    /// The incarnation of the agent, which changes with each start.
    pub incarnation: Incarnation,
    /// The call's in-flight count in the fleet; absent if the agent does not come from the fleet.
    pub in_flight: Option<InFlightCall>,
}

/// The server that runs a call, and the guard that counts the call as in flight there.
#[derive(Debug)]
pub struct InFlightCall {
    server_key: ServerKey,
    stats: Arc<ServerStats>,
    _guard: InFlight,
}

/// What a call needs from the process: the choice of agents, and the exchange with them.
#[allow(async_fn_in_trait)]
pub trait CallPorts {
    /// Chooses an agent of a service that is not in `avoid`.
    ///
    /// If there is none, returns how long to wait before a retry.
    fn choose_agent(
        &self,
        service: &str,
        avoid: &[String],
    ) -> std::result::Result<ServiceAgent, Duration>;

    /// Sends a call to an agent and waits at most `limit` for the answer.
    async fn send_call(
        &self,
        agent: &ServiceAgent,
        call: Call,
        limit: Duration,
    ) -> std::result::Result<CallAnswer, CallError>;

    /// Voids an idempotency key, or learns how its call ended.
    async fn send_void(
        &self,
        agent: &ServiceAgent,
        void: VoidKey,
        limit: Duration,
    ) -> std::result::Result<VoidAnswer, CallError>;

    /// Records the duration and the result of an exchange with an agent.
    fn record_exchange(&self, agent: &ServiceAgent, took: Duration, failure: Option<&CallError>);

    /// Returns whether the catalogue entry still allows the call.
    fn is_allowed(&self) -> bool;

    /// Waits until a catalogue change is in force in this process; returns whether it is.
    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool;
}

/// How to go on after a failed attempt.
enum RetryAction {
    /// Try another agent at once.
    Avoid,
    /// Try another agent after a pause.
    Wait(Duration),
    /// Retry after waiting for this catalogue change.
    CatchUp(Seq),
    /// Return the failure.
    Stop(CallFailure),
}

/// Runs a call until it is answered or has failed.
///
/// A failure says that the call did not run only if no attempt can have run it.
pub async fn run_call(ports: &impl CallPorts, call: Call, deadline: Instant) -> Result<CallAnswer> {
    let left = deadline.saturating_duration_since(Instant::now());
    // Part of the time is reserved for voiding the key if the outcome stays unknown.
    let reserve = match call.key {
        Some(_) => (left / VOID_TIME_DIVISOR).min(MAX_VOID_TIME),
        None => Duration::ZERO,
    };
    let mut attempts = Attempts {
        ports,
        call,
        send_until: deadline - reserve,
        avoid: Vec::new(),
        execution: Execution::No,
        last_error: String::new(),
    };
    let failure = match attempts.run().await {
        Ok(answer) => return Ok(answer),
        Err(failure) => failure,
    };
    match failure {
        CallFailure::Unknown { detail } if attempts.call.key.is_some() => {
            attempts.void_key(detail, deadline).await
        }
        other => Err(other),
    }
}

/// The attempts at one call, and what is known from the earlier ones.
struct Attempts<'a, P> {
    ports: &'a P,
    call: Call,
    send_until: Instant,
    avoid: Vec<String>,
    /// Whether an earlier attempt may have run the call.
    execution: Execution,
    last_error: String,
}

impl<P: CallPorts> Attempts<'_, P> {
    async fn run(&mut self) -> Result<CallAnswer> {
        let mut retry_delay = None;
        for _ in 0..MAX_ATTEMPTS {
            let left = self.send_until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.deadline_failure());
            }
            let agent = match self.ports.choose_agent(&self.call.service, &self.avoid) {
                Ok(agent) => agent,
                Err(after) => {
                    retry_delay = retry_delay.or(Some(after));
                    break;
                }
            };
            let mut call = self.call.clone();
            call.deadline_ms = left.as_millis().max(1) as u64;
            let started = Instant::now();
            let result = self.ports.send_call(&agent, call, left).await;
            self.ports
                .record_exchange(&agent, started.elapsed(), result.as_ref().err());
            let error = match result {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if let Some(after) = self.handle_error(&agent, &error).await? {
                retry_delay = Some(after);
            }
        }
        Err(self.give_up(retry_delay.unwrap_or(DEFAULT_RETRY)))
    }

    /// Handles the error of an attempt; returns the retry delay if the error gives one.
    async fn handle_error(
        &mut self,
        agent: &ServiceAgent,
        error: &CallError,
    ) -> Result<Option<Duration>> {
        self.last_error = error.to_string();
        if error.execution() == Execution::Maybe {
            self.execution = Execution::Maybe;
        }
        match retry_action(error) {
            RetryAction::Avoid => {
                self.avoid.push(agent.name.clone());
                Ok(None)
            }
            RetryAction::Wait(pause) => {
                self.avoid.push(agent.name.clone());
                let left = self.send_until.saturating_duration_since(Instant::now());
                sleep(pause.min(MAX_BUSY_PAUSE).min(left)).await;
                Ok(Some(pause))
            }
            RetryAction::CatchUp(seq) => {
                let left = self.send_until.saturating_duration_since(Instant::now());
                self.ports.catch_up(seq, left).await;
                match self.ports.is_allowed() {
                    true => Ok(None),
                    false => Err(self.adjust_failure(CallFailure::Revoked)),
                }
            }
            RetryAction::Stop(failure) => Err(self.adjust_failure(failure)),
        }
    }

    fn deadline_failure(&self) -> CallFailure {
        self.adjust_failure(CallFailure::Deadline)
    }

    /// Turns a failure that means "not run" into "unknown" if an earlier attempt may have run.
    ///
    /// A failure that comes from the key's row in the table is kept: the row covers every attempt.
    fn adjust_failure(&self, failure: CallFailure) -> CallFailure {
        match failure {
            CallFailure::Voided | CallFailure::KeyReused => failure,
            _ if self.execution == Execution::Maybe => self.unknown_outcome(),
            other => other,
        }
    }

    fn give_up(&self, retry: Duration) -> CallFailure {
        let detail = match self.last_error.as_str() {
            "" => "no server of the service takes calls".to_owned(),
            last => format!("no server took the call; the last one: {last}"),
        };
        self.adjust_failure(CallFailure::NotRun { detail, retry })
    }

    fn unknown_outcome(&self) -> CallFailure {
        CallFailure::Unknown {
            detail: format!(
                "the call may have run; the last answer: {}",
                self.last_error
            ),
        }
    }

    /// Voids the key of a call that may have run; returns the answer if it did run.
    async fn void_key(&self, detail: String, deadline: Instant) -> Result<CallAnswer> {
        let unknown = CallFailure::Unknown { detail };
        let left = deadline.saturating_duration_since(Instant::now());
        let chosen = self
            .ports
            .choose_agent(&self.call.service, &self.avoid)
            .or_else(|_| self.ports.choose_agent(&self.call.service, &[]));
        let (Ok(agent), Some(key)) = (chosen, &self.call.key) else {
            return Err(unknown);
        };
        let void = VoidKey {
            owner: self.call.owner.clone(),
            service: self.call.service.clone(),
            key: key.clone(),
        };
        match self.ports.send_void(&agent, void, left).await {
            Ok(VoidAnswer::Ran(answer)) => Ok(answer),
            Ok(VoidAnswer::Voided) => Err(CallFailure::Voided),
            Ok(VoidAnswer::InDoubt) | Err(_) => Err(unknown),
        }
    }
}

fn retry_action(error: &CallError) -> RetryAction {
    let CallError::Refused(refusal) = error else {
        return RetryAction::Avoid;
    };
    match refusal {
        Refusal::KeyReused => RetryAction::Stop(CallFailure::KeyReused),
        Refusal::Voided => RetryAction::Stop(CallFailure::Voided),
        Refusal::InDoubt => RetryAction::Stop(CallFailure::Unknown {
            detail: refusal.to_string(),
        }),
        Refusal::Expired => RetryAction::Stop(CallFailure::Deadline),
        Refusal::StaleCatalogue { have } => RetryAction::CatchUp(*have),
        Refusal::Busy { retry_ms } | Refusal::PlatformDown { retry_ms, .. } => {
            RetryAction::Wait(Duration::from_millis(*retry_ms))
        }
        _ => RetryAction::Avoid,
    }
}

/// Calls agents over the network through the connections of one worker thread.
pub struct NetCalls {
    worker: Rc<Worker>,
    scope: RequestScope,
}

impl NetCalls {
    /// Creates the ports of one call, which runs under the catalogue entry that `scope` names.
    pub fn new(worker: Rc<Worker>, scope: RequestScope) -> Self {
        NetCalls { worker, scope }
    }
}

impl CallPorts for NetCalls {
    fn choose_agent(
        &self,
        service: &str,
        avoid: &[String],
    ) -> std::result::Result<ServiceAgent, Duration> {
        let shared = &self.worker.shared;
        let fleet = shared.servers.view();
        let exclude: Vec<ServerKey> = avoid.iter().filter_map(|n| fleet.find(n)).collect();
        let now = shared.process.now();
        let server_key = choose_service(&fleet, service, &exclude, now, &mut rand::rng());
        let server_key = server_key.map_err(|_| NO_SERVER_RETRY)?;
        let server = fleet.get(server_key).ok_or(NO_SERVER_RETRY)?;
        let info = server.info();
        Ok(ServiceAgent {
            name: info.vm.clone(),
            addr: info.addr,
            incarnation: info.incarnation,
            in_flight: Some(InFlightCall {
                server_key,
                stats: Arc::clone(server.stats()),
                _guard: server.start_request(),
            }),
        })
    }

    async fn send_call(
        &self,
        agent: &ServiceAgent,
        call: Call,
        limit: Duration,
    ) -> std::result::Result<CallAnswer, CallError> {
        let client = &self.worker.client;
        client
            .call(agent.addr, agent.incarnation, call, limit)
            .await
    }

    async fn send_void(
        &self,
        agent: &ServiceAgent,
        void: VoidKey,
        limit: Duration,
    ) -> std::result::Result<VoidAnswer, CallError> {
        let client = &self.worker.client;
        client.call(agent.addr, Incarnation(0), void, limit).await
    }

    fn record_exchange(&self, agent: &ServiceAgent, took: Duration, failure: Option<&CallError>) {
        let servers = &self.worker.shared.servers;
        match (failure, &agent.in_flight) {
            (Some(error), _) => servers.record_failure(&agent.name, error),
            (None, Some(in_flight)) => {
                in_flight.stats.observe_call(took.as_micros() as f32);
                servers.record_success(in_flight.server_key);
            }
            (None, None) => {}
        }
    }

    fn is_allowed(&self) -> bool {
        let catalogue = self.worker.shared.catalogue.current();
        catalogue
            .find(&self.scope.bearer_key, &self.scope.entry)
            .is_some()
    }

    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool {
        self.worker.shared.catalogue.catch_up(seq, limit).await
    }
}
