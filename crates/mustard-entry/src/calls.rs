//! Calls of plain services through the agents beside them.
//!
//! A call with an idempotency key may be sent to several agents: the claim that each agent
//! writes before the service is called lets at most one of them run it. A key whose answer
//! stays unknown is voided before the deadline, so that the caller gets a firm answer where
//! one exists.

use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, sleep};

use mustard_core::ids::Incarnation;
use mustard_core::ids::Seq;
use mustard_net::CallError;
use mustard_proto::agent::{Call, CallAnswer, Void, VoidAnswer};
use mustard_proto::{Ran, Refusal};

use crate::app::Worker;
use crate::routing::Server;

const MAX_TRIES: u32 = 6;
const BUSY_PAUSE: Duration = Duration::from_millis(50);
const VOID_SHARE: u32 = 4;
const MAX_VOID: Duration = Duration::from_millis(800);
const RETRY: Duration = Duration::from_secs(1);

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
    fn report(&self, agent: &str, failure: Option<&CallError>);

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
        let mut retry = RETRY;
        for _ in 0..MAX_TRIES {
            let left = self.end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.expired());
            }
            let server = match self.ports.choose(&self.call.service, &self.avoid) {
                Ok(server) => server,
                Err(after) => {
                    retry = after;
                    break;
                }
            };
            let mut call = self.call.clone();
            call.deadline_ms = left.as_millis().max(1) as u64;
            let error = match self.ports.call(&server, call, left).await {
                Ok(answer) => {
                    self.ports.report(&server.name, None);
                    return Ok(answer);
                }
                Err(error) => error,
            };
            if let Some(after) = self.learn(&server, &error).await? {
                retry = after;
            }
        }
        Err(self.give_up(retry))
    }

    /// Takes in the error of a try; returns when to come back if it says so.
    async fn learn(&mut self, server: &Server, error: &CallError) -> Result<Option<Duration>> {
        self.last = error.to_string();
        if error.ran() == Ran::Maybe {
            self.ran = Ran::Maybe;
        }
        match next_of(error) {
            Next::Avoid => {
                self.ports.report(&server.name, Some(error));
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
                Ok(None)
            }
            Next::Stop(failure) => Err(failure),
        }
    }

    fn expired(&self) -> CallFailure {
        match self.ran {
            Ran::No => CallFailure::Deadline,
            Ran::Maybe => self.unknown(),
        }
    }

    fn give_up(&self, retry: Duration) -> CallFailure {
        if self.ran == Ran::Maybe {
            return self.unknown();
        }
        let detail = match self.last.as_str() {
            "" => "no server of the service takes calls".to_owned(),
            last => format!("no server took the call; the last one: {last}"),
        };
        CallFailure::NotRun { detail, retry }
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
}

impl NetCalls {
    /// Creates the ports of a worker thread.
    pub fn new(worker: Rc<Worker>) -> Self {
        NetCalls { worker }
    }
}

impl CallPorts for NetCalls {
    fn choose(&self, service: &str, avoid: &[String]) -> std::result::Result<Server, Duration> {
        self.worker.shared.routing.server(service, avoid)
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

    fn report(&self, agent: &str, failure: Option<&CallError>) {
        let routing = &self.worker.shared.routing;
        match failure {
            None => {}
            Some(CallError::Refused(Refusal::Leaving)) => routing.leaving(agent),
            Some(CallError::Refused(_)) => {}
            Some(_) => routing.silent(agent),
        }
    }

    async fn catch_up(&self, seq: Seq, limit: Duration) -> bool {
        self.worker.shared.catalogue.wait_for(seq, limit).await
    }
}
