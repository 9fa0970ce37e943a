//! Calls of plain services through the agents beside them.
//!
//! A call with an idempotency key may be sent to several agents: the claim that each agent
//! writes before the service is called lets at most one of them run it. A key whose answer
//! stays unknown is voided before the deadline, so that the caller gets a firm answer where
//! one exists.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, sleep};

use mustard_core::ids::{Incarnation, Seq};
use mustard_net::CallError;
use mustard_policy::fleet::{InFlight, Live, ServerKey};
use mustard_policy::route::choose_service;
use mustard_proto::agent::{Call, CallAnswer, Void, VoidAnswer};
use mustard_proto::{Ran, Refusal};

use crate::app::Worker;
use crate::ports::Rights;

const MAX_TRIES: u32 = 6;
const BUSY_PAUSE: Duration = Duration::from_millis(50);
const VOID_SHARE: u32 = 4;
const MAX_VOID: Duration = Duration::from_millis(800);
const RETRY: Duration = Duration::from_secs(1);
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);

/// The result of a call of a plain service.
pub type Result<T> = std::result::Result<T, CallFailure>;

/// A call without an answer of the service.
#[derive(Clone, Debug, Error)]
pub enum CallFailure {
    /// No server ran the call and none will.
    #[error("{detail}")]
    NotRun {
        /// Why.
        detail: String,
        /// When to come back.
        retry: Duration,
    },
    /// The deadline passed before any server ran the call.
    #[error("deadline has passed")]
    Deadline,
    /// The catalogue entry no longer allows the call.
    #[error("the catalogue entry no longer allows the call")]
    Revoked,
    /// The key was used with another request.
    #[error("idempotency key was used with another request")]
    KeyReused,
    /// The key is final without a run.
    #[error("idempotency key was made final without a run")]
    Voided,
    /// The call may have run.
    #[error("{detail}")]
    Unknown {
        /// What is known.
        detail: String,
    },
}

/// A plain service's agent that was chosen for a call; dropping it ends the call's count there.
#[derive(Debug)]
pub struct Server {
    /// The name of the VM.
    pub name: String,
    /// Where the agent takes messages.
    pub addr: SocketAddr,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// The server in the view it was chosen from.
    pub chosen: Option<Chosen>,
}

/// A chosen server and the count of the call there.
#[derive(Debug)]
pub struct Chosen {
    key: ServerKey,
    live: Arc<Live>,
    _guard: InFlight,
}

/// The way of a call to the agents.
#[allow(async_fn_in_trait)]
pub trait CallPorts {
    /// Chooses an agent beside a service, or says when to come back.
    fn choose(&self, service: &str, avoid: &[String]) -> std::result::Result<Server, Duration>;

    /// Sends a call.
    async fn call(
        &self,
        to: &Server,
        call: Call,
        limit: Duration,
    ) -> std::result::Result<CallAnswer, CallError>;

    /// Makes a key final.
    async fn void(
        &self,
        to: &Server,
        void: Void,
        limit: Duration,
    ) -> std::result::Result<VoidAnswer, CallError>;

    /// Takes in what became of an exchange with an agent.
    fn report(&self, server: &Server, took: Duration, failure: Option<&CallError>);

    /// Tells whether the catalogue entry still allows the call.
    fn is_allowed(&self) -> bool;

    /// Waits until a catalogue change is in force here; tells whether it is.
    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool;
}

/// What one try says about the next.
enum Next {
    Avoid,
    Wait(Duration),
    CatchUp(Seq),
    Stop(CallFailure),
}

/// Runs a call to its answer or to a failure that tells the truth about it.
pub async fn run(ports: &impl CallPorts, call: Call, deadline: Instant) -> Result<CallAnswer> {
    let left = deadline.saturating_duration_since(Instant::now());
    // A part of the time is kept to settle a key whose answer stays unknown.
    let reserve = match call.key {
        Some(_) => (left / VOID_SHARE).min(MAX_VOID),
        None => Duration::ZERO,
    };
    let mut tries = Tries {
        ports,
        call,
        end: deadline - reserve,
        avoid: Vec::new(),
        ran: Ran::No,
        last: String::new(),
    };
    let failure = match tries.run().await {
        Ok(answer) => return Ok(answer),
        Err(failure) => failure,
    };
    match failure {
        CallFailure::Unknown { detail } if tries.call.key.is_some() => {
            tries.settle(detail, deadline).await
        }
        other => Err(other),
    }
}

struct Tries<'a, P> {
    ports: &'a P,
    call: Call,
    end: Instant,
    avoid: Vec<String>,
    ran: Ran,
    last: String,
}

impl<P: CallPorts> Tries<'_, P> {
    async fn run(&mut self) -> Result<CallAnswer> {
        let mut retry = None;
        for _ in 0..MAX_TRIES {
            let left = self.end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.expired());
            }
            let server = match self.ports.choose(&self.call.service, &self.avoid) {
                Ok(server) => server,
                Err(after) => {
                    retry = retry.or(Some(after));
                    break;
                }
            };
            let mut call = self.call.clone();
            call.deadline_ms = left.as_millis().max(1) as u64;
            let started = Instant::now();
            let result = self.ports.call(&server, call, left).await;
            self.ports
                .report(&server, started.elapsed(), result.as_ref().err());
            let error = match result {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if let Some(after) = self.learn(&server, &error).await? {
                retry = Some(after);
            }
        }
        Err(self.give_up(retry.unwrap_or(RETRY)))
    }

    /// Takes in the error of a try; returns when to come back if it says so.
    async fn learn(&mut self, server: &Server, error: &CallError) -> Result<Option<Duration>> {
        self.last = error.to_string();
        if error.ran() == Ran::Maybe {
            self.ran = Ran::Maybe;
        }
        match next_of(error) {
            Next::Avoid => {
                self.avoid.push(server.name.clone());
                Ok(None)
            }
            Next::Wait(pause) => {
                self.avoid.push(server.name.clone());
                let left = self.end.saturating_duration_since(Instant::now());
                sleep(pause.min(BUSY_PAUSE).min(left)).await;
                Ok(Some(pause))
            }
            Next::CatchUp(seq) => {
                let left = self.end.saturating_duration_since(Instant::now());
                self.ports.catch_up(seq, left).await;
                match self.ports.is_allowed() {
                    true => Ok(None),
                    false => Err(self.truthful(CallFailure::Revoked)),
                }
            }
            Next::Stop(failure) => Err(self.truthful(failure)),
        }
    }

    fn expired(&self) -> CallFailure {
        self.truthful(CallFailure::Deadline)
    }

    /// Turns a failure that means "not run" into "unknown" if an earlier try may have run.
    ///
    /// What the table has about the key stays as it is: it covers every try.
    fn truthful(&self, failure: CallFailure) -> CallFailure {
        match failure {
            CallFailure::Voided | CallFailure::KeyReused => failure,
            _ if self.ran == Ran::Maybe => self.unknown(),
            other => other,
        }
    }

    fn give_up(&self, retry: Duration) -> CallFailure {
        let detail = match self.last.as_str() {
            "" => "no server of the service takes calls".to_owned(),
            last => format!("no server took the call; the last one: {last}"),
        };
        self.truthful(CallFailure::NotRun { detail, retry })
    }

    fn unknown(&self) -> CallFailure {
        CallFailure::Unknown {
            detail: format!("the call may have run; the last answer: {}", self.last),
        }
    }

    /// Asks for a firm answer on a key whose call may have run.
    async fn settle(&self, detail: String, deadline: Instant) -> Result<CallAnswer> {
        let unknown = CallFailure::Unknown { detail };
        let left = deadline.saturating_duration_since(Instant::now());
        let chosen = self
            .ports
            .choose(&self.call.service, &self.avoid)
            .or_else(|_| self.ports.choose(&self.call.service, &[]));
        let (Ok(server), Some(key)) = (chosen, &self.call.key) else {
            return Err(unknown);
        };
        let void = Void {
            owner: self.call.owner.clone(),
            service: self.call.service.clone(),
            key: key.clone(),
        };
        match self.ports.void(&server, void, left).await {
            Ok(VoidAnswer::Ran(answer)) => Ok(answer),
            Ok(VoidAnswer::Voided) => Err(CallFailure::Voided),
            Ok(VoidAnswer::InDoubt) | Err(_) => Err(unknown),
        }
    }
}

fn next_of(error: &CallError) -> Next {
    let CallError::Refused(refusal) = error else {
        return Next::Avoid;
    };
    match refusal {
        Refusal::KeyReused => Next::Stop(CallFailure::KeyReused),
        Refusal::Voided => Next::Stop(CallFailure::Voided),
        Refusal::InDoubt => Next::Stop(CallFailure::Unknown {
            detail: refusal.to_string(),
        }),
        Refusal::Expired => Next::Stop(CallFailure::Deadline),
        Refusal::StaleCatalogue { have } => Next::CatchUp(*have),
        Refusal::Busy { retry_ms } | Refusal::PlatformDown { retry_ms, .. } => {
            Next::Wait(Duration::from_millis(*retry_ms))
        }
        _ => Next::Avoid,
    }
}

/// Reaches the agents through the connections of one worker thread.
pub struct NetCalls {
    worker: Rc<Worker>,
    rights: Rights,
}

impl NetCalls {
    /// Creates the ports of a worker thread.
    pub fn new(worker: Rc<Worker>, rights: Rights) -> Self {
        NetCalls { worker, rights }
    }
}

impl CallPorts for NetCalls {
    fn choose(&self, service: &str, avoid: &[String]) -> std::result::Result<Server, Duration> {
        let shared = &self.worker.shared;
        let fleet = shared.servers.view();
        let exclude: Vec<ServerKey> = avoid.iter().filter_map(|n| fleet.find(n)).collect();
        let now = shared.process.now();
        let key = choose_service(&fleet, service, &exclude, now, &mut rand::rng());
        let key = key.map_err(|_| NO_SERVER_RETRY)?;
        let server = fleet.get(key).ok_or(NO_SERVER_RETRY)?;
        let facts = server.facts();
        Ok(Server {
            name: facts.vm.clone(),
            addr: facts.addr,
            incarnation: facts.incarnation,
            chosen: Some(Chosen {
                key,
                live: Arc::clone(server.live()),
                _guard: server.begin(),
            }),
        })
    }

    async fn call(
        &self,
        to: &Server,
        call: Call,
        limit: Duration,
    ) -> std::result::Result<CallAnswer, CallError> {
        let client = &self.worker.client;
        client.call(to.addr, to.incarnation, call, limit).await
    }

    async fn void(
        &self,
        to: &Server,
        void: Void,
        limit: Duration,
    ) -> std::result::Result<VoidAnswer, CallError> {
        let client = &self.worker.client;
        client.call(to.addr, Incarnation(0), void, limit).await
    }

    fn report(&self, server: &Server, took: Duration, failure: Option<&CallError>) {
        let servers = &self.worker.shared.servers;
        match (failure, &server.chosen) {
            (Some(error), _) => servers.failed(&server.name, error),
            (None, Some(chosen)) => {
                chosen.live.observe_call(took.as_micros() as f32);
                servers.worked(chosen.key);
            }
            (None, None) => {}
        }
    }

    fn is_allowed(&self) -> bool {
        let catalogue = self.worker.shared.catalogue.current();
        catalogue
            .find(&self.rights.key, &self.rights.entry)
            .is_some()
    }

    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool {
        self.worker.shared.catalogue.catch_up(seq, limit).await
    }
}
